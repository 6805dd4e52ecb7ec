package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"croftlock/internal/testbed/experiment"
)

// shimEnv is the environment variable with the path of the program that a process executes behind
// the system call filter.
const shimEnv = "CROFTLOCK_SOAK_SHIM"

// Shim makes some system calls of a proxy's processes fail with errors that the kernel documents
// for them. It installs a seccomp filter with user notification in these processes only, which
// needs no privileges.
type Shim struct {
	failed atomic.Int64  // number of injected failures
	ended  chan struct{} // closed by Close

	mu              sync.Mutex // protects the fields below
	rng             *rand.Rand
	failing         bool    // whether calls fail now
	failProbability float64 // probability that a call fails while failing is set
}

// NewShim returns a shim for the processes of one proxy. seed determines which calls fail, when and
// how.
func NewShim(seed uint64) *Shim {
	return &Shim{rng: rand.New(rand.NewPCG(seed, 5)), ended: make(chan struct{})}
}

// errnos lists the errors that are injected, by system call. A call that fails with one of them has
// no effect.
var errnos = map[int32][]syscall.Errno{
	unix.SYS_ACCEPT:    {unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINTR, unix.EPROTO},
	unix.SYS_ACCEPT4:   {unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINTR, unix.EPROTO},
	unix.SYS_CONNECT:   {unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.ECONNREFUSED, unix.EAGAIN, unix.ENOBUFS, unix.EINTR},
	unix.SYS_SOCKET:    {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
	unix.SYS_SENDMSG:   {unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM},
	unix.SYS_READV:     {unix.EINTR, unix.EAGAIN},
	unix.SYS_EPOLL_CTL: {unix.ENOMEM, unix.ENOSPC},
	unix.SYS_FSYNC:     {unix.EIO, unix.ENOSPC},
	unix.SYS_RENAMEAT:  {unix.EIO, unix.ENOSPC},
}

// proxyFlags are the sendmsg flags by which the filter recognizes the proxy's own writes. Writes of
// the standard library, which also pass descriptors to other processes, never fail.
const proxyFlags = unix.MSG_NOSIGNAL | unix.MSG_DONTWAIT

// seccompFilter returns a seccomp program that sends a notification for each call in errnos.
func seccompFilter() []unix.SockFilter {
	const callNumber, flags = 0, 16 + 2*8 // offsets in struct seccomp_data of the call's number and the low half of its third argument
	load := func(at uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: at}
	}
	ret := func(k uint32) unix.SockFilter { return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: k} }
	equal := func(k uint32, skipIfNot uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: k, Jf: skipIfNot}
	}
	program := []unix.SockFilter{load(callNumber)}
	for call := range errnos {
		if call != unix.SYS_SENDMSG {
			program = append(program, equal(uint32(call), 1), ret(unix.SECCOMP_RET_USER_NOTIF))
		}
	}
	return append(program, equal(unix.SYS_SENDMSG, 3), load(flags), equal(proxyFlags, 1), ret(unix.SECCOMP_RET_USER_NOTIF), ret(unix.SECCOMP_RET_ALLOW))
}

// ExecBehindShim replaces this process by the program that its shim is to run. It does nothing if
// no shim started the process. Call it at the start of main.
func ExecBehindShim() {
	program := os.Getenv(shimEnv)
	if program == "" {
		return
	}
	os.Unsetenv(shimEnv)
	if err := execBehindFilter(program); err != nil {
		fmt.Fprintln(os.Stderr, "shim:", err)
		os.Exit(1)
	}
}

// execBehindFilter installs the filter, sends its notification descriptor to the shim and executes
// the program. It returns only if one of them fails.
func execBehindFilter(program string) error {
	lockThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	code := seccompFilter()
	fprog := unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_NEW_LISTENER, uintptr(unsafe.Pointer(&fprog)))
	if errno != 0 {
		return errno
	}
	if err := unix.Sendmsg(shimFD, []byte{1}, unix.UnixRights(int(fd)), nil, 0); err != nil {
		return err
	}
	unix.Close(shimFD)
	unix.Close(int(fd))
	return syscall.Exec(program, os.Args, os.Environ())
}

// shimFD is the descriptor of the socket on which a process sends its notification descriptor to
// the shim.
const shimFD = 3

// Launch starts a process behind the shim and waits until it is ready. No call fails until then,
// since Go's runtime ends a process whose first epoll_ctl fails.
func (s *Shim) Launch(e *experiment.Env, p experiment.Setup) (*experiment.Process, error) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	processEnd, shimEnd := os.NewFile(uintptr(pair[0]), "shim"), os.NewFile(uintptr(pair[1]), "shim")
	defer processEnd.Close()
	ready := new(atomic.Bool)
	go s.serveProcess(shimEnd, ready)
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p.Env = append(p.Env[:len(p.Env):len(p.Env)], shimEnv+"="+e.Croftlock)
	p.Program, p.Files = self, []*os.File{processEnd}
	proc, err := e.Proxy(p)
	ready.Store(true)
	return proc, err
}

// serveProcess receives a process's notification descriptor and answers its notifications until the
// process has ended or the shim is closed.
func (s *Shim) serveProcess(from *os.File, ready *atomic.Bool) {
	c, err := net.FileConn(from)
	from.Close()
	if err != nil {
		return
	}
	defer c.Close()
	oob := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := c.(*net.UnixConn).ReadMsgUnix(make([]byte, 1), oob)
	if err != nil {
		return
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:n])
	if err != nil || len(messages) == 0 {
		return
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) == 0 {
		return
	}
	defer unix.Close(fds[0])
	s.serveNotifications(fds[0], ready)
}

// InjectFailures alternates random periods without and with failures until the given time.
func (s *Shim) InjectFailures(until time.Time) {
	for time.Now().Before(until) {
		s.mu.Lock()
		quiet, failing, probability := randomDuration(s.rng, 200, 3000), randomDuration(s.rng, 100, 1500), 0.02+0.4*s.rng.Float64()
		s.mu.Unlock()
		time.Sleep(quiet)
		s.setFailing(true, probability)
		time.Sleep(failing)
		s.setFailing(false, 0)
	}
}

// setFailing sets whether calls fail from now on, and with which probability.
func (s *Shim) setFailing(on bool, probability float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing, s.failProbability = on, probability
}

// FailedCalls returns the number of injected failures.
func (s *Shim) FailedCalls() int { return int(s.failed.Load()) }

// Close stops the shim. Its processes must have ended.
func (s *Shim) Close() { close(s.ended) }

// randomError returns a random error for a call, or zero if the call is not to fail. Of epoll_ctl
// calls only those that add a descriptor fail; secondArgument is their operation.
func (s *Shim) randomError(call int32, secondArgument uint64) syscall.Errno {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := errnos[call]
	if !s.failing || len(all) == 0 || s.rng.Float64() >= s.failProbability || call == unix.SYS_EPOLL_CTL && secondArgument != unix.EPOLL_CTL_ADD {
		return 0
	}
	s.failed.Add(1)
	return all[s.rng.IntN(len(all))]
}
