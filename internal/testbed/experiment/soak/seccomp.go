package soak

import (
	"runtime"
	"sync/atomic"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// notification is the kernel's struct seccomp_notif.
type notification struct {
	requestID   uint64
	pid         uint32
	flags       uint32
	call        int32
	arch        uint32
	instruction uint64
	args        [6]uint64
}

// notificationReply is the kernel's struct seccomp_notif_resp.
type notificationReply struct {
	requestID uint64
	value     int64
	errno     int32
	flags     uint32
}

// The requests on a notification descriptor, and the flag that lets the kernel make the call.
const (
	notifyReceive  = 0xc0502100
	notifySend     = 0xc0182101
	notifyContinue = 1
)

// pollTimeoutMS is how soon the shim notices its Close, in milliseconds.
const pollTimeoutMS = 100

// lockThread keeps the calling goroutine on its thread: a filter belongs to the thread that installs it.
func lockThread() { runtime.LockOSThread() }

// serveNotifications answers the notifications of a process until it has ended, or the shim is closed.
func (s *Shim) serveNotifications(fd int, ready *atomic.Bool) {
	for {
		select {
		case <-s.ended:
			return
		default:
		}
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, pollTimeoutMS)
		switch {
		case err == unix.EINTR || n == 0 && err == nil:
			continue
		case err != nil || poll[0].Revents&unix.POLLIN == 0:
			return // the process has ended
		}
		s.answerNotification(fd, ready.Load())
	}
}

// answerNotification answers one notification: the kernel makes the call, or it fails.
func (s *Shim) answerNotification(fd int, ready bool) {
	var q notification
	if ioctl(fd, notifyReceive, unsafe.Pointer(&q)) != 0 {
		return // the caller has been killed meanwhile
	}
	v := notificationReply{requestID: q.requestID}
	v.flags = notifyContinue
	if ready {
		if errno := s.randomError(q.call, q.args[1]); errno != 0 {
			v.errno, v.flags = -int32(errno), 0
		}
	}
	ioctl(fd, notifySend, unsafe.Pointer(&v))
}

// ioctl is the system call, repeated when it is interrupted.
func ioctl(fd int, request uintptr, arg unsafe.Pointer) syscall.Errno {
	for {
		_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), request, uintptr(arg))
		if errno != unix.EINTR {
			return errno
		}
	}
}
