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

// The ioctl requests on a notification descriptor, and the reply flag that makes the kernel execute
// the call.
const (
	notifyReceive  = 0xc0502100
	notifySend     = 0xc0182101
	notifyContinue = 1
)

// pollTimeoutMS is the time in milliseconds within which serveNotifications notices that the shim
// was closed.
const pollTimeoutMS = 100

// lockThread locks the calling goroutine to its thread, since a filter applies only to the thread
// that installs it.
func lockThread() { runtime.LockOSThread() }

// serveNotifications answers the notifications of a process until the process has ended or the shim
// is closed.
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

// answerNotification answers one notification. It makes the call fail with a random error or lets
// the kernel execute it. Before the process is ready no call fails.
func (s *Shim) answerNotification(fd int, ready bool) {
	var request notification
	if ioctl(fd, notifyReceive, unsafe.Pointer(&request)) != 0 {
		return // the calling process has been killed
	}
	reply := notificationReply{requestID: request.requestID}
	reply.flags = notifyContinue
	if ready {
		if errno := s.randomError(request.call, request.args[1]); errno != 0 {
			reply.errno, reply.flags = -int32(errno), 0
		}
	}
	ioctl(fd, notifySend, unsafe.Pointer(&reply))
}

// ioctl makes the system call and repeats it while it is interrupted by signals.
func ioctl(fd int, request uintptr, arg unsafe.Pointer) syscall.Errno {
	for {
		_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), request, uintptr(arg))
		if errno != unix.EINTR {
			return errno
		}
	}
}
