package upstreamtls

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"croftlock/internal/dataplane/netio"
)

// job is one handshake on a worker.
type job struct {
	id       uint64
	peer     *peer
	endpoint string
	until    time.Time

	mu      sync.Mutex
	raw     net.Conn
	aborted bool
}

// abort ends the handshake from the loop.
func (j *job) abort() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.aborted = true
	if j.raw != nil {
		j.raw.Close()
	}
}

// work is a worker, for good.
func (k *Link) work() {
	for j := range k.jobs {
		s, fd, spent, f := j.run(k.turn)
		k.loop.Post(func() { k.ended(j, s, fd, spent, f) })
	}
}

// run connects and shakes hands. It gives a socket that is in nobody's hands.
func (j *job) run(turn chan struct{}) (s *session, fd int, spent time.Duration, f *Failure) {
	w := &wire{turn: turn, in: netio.NewBuffer(mostHeld)}
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "handshake", "reason", p, "stack", string(debug.Stack()))
			s, fd, f = nil, -1, &Failure{Reason: Protocol, Step: "finish", Err: fmt.Errorf("panic: %v", p)}
		}
		w.pause()
		spent = w.spent
	}()
	dialer := net.Dialer{Deadline: j.until, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, kernelBuffer)
		})
	}}
	raw, err := dialer.Dial("tcp", j.endpoint)
	if err != nil {
		f = &Failure{Reason: Unreachable, Step: "connect", Err: err}
		switch {
		case !time.Now().Before(j.until):
			f.Reason = TimedOut
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.ENOTCONN):
			f.Reason = BrokenOff // it was there, and gone before the connect returned
		}
		return nil, -1, 0, f
	}
	defer raw.Close()
	j.mu.Lock()
	j.raw = raw
	aborted := j.aborted
	j.mu.Unlock()
	if aborted {
		return nil, -1, 0, &Failure{Reason: TimedOut, Step: "connect"}
	}
	raw.SetDeadline(j.until)
	w.raw = raw
	w.compute()
	s = &session{wire: w, tls: tls.Client(w, j.peer.config)}
	err = s.tls.Handshake()
	if err != nil {
		return nil, -1, 0, classify(err, w.heard)
	}
	s.resumed, s.ends = s.tls.ConnectionState().DidResume, j.peer.ends()
	fd, err = release(raw.(*net.TCPConn))
	if err != nil {
		return nil, -1, 0, &Failure{Reason: BrokenOff, Step: "finish", Err: err}
	}
	return s, fd, 0, nil
}

// release takes the socket out of the hands of Go's own poller.
func release(c *net.TCPConn) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return -1, err
	}
	fd := -1
	if e := raw.Control(func(p uintptr) { fd, err = unix.FcntlInt(p, unix.F_DUPFD_CLOEXEC, 0) }); e != nil {
		err = e
	}
	return fd, err
}

// ended takes a worker's result.
func (k *Link) ended(j *job, s *session, fd int, spent time.Duration, f *Failure) {
	k.counts.cpu += spent
	k.budget.Done(k.loop.Now(), j.id, s != nil && s.resumed, spent, f == nil)
	d := k.dials[j.id]
	switch {
	case d == nil && f == nil:
		unix.Close(fd) // given up meanwhile: nothing was sent on it
	case d == nil:
	case f != nil:
		d.fail(f)
	case j.peer.material != k.material && !k.still(j.peer, s):
		unix.Close(fd)
		d.fail(fault(UnknownCA, "trust was replaced during the handshake, and does not hold the host's certificate any more"))
	default:
		if s.resumed {
			k.counts.resumed++
		} else {
			k.counts.full++
		}
		d.settle()
		s.failed = func(f *Failure, late bool) { k.broke(d.host.ID, f, late) }
		netio.Adopt(k.loop, fd, s, d.limit, d.handler, func(c *netio.Conn) { d.done(c, nil) })
	}
	k.kick()
}

// still tells whether what was verified under an epoch that ended during the handshake holds under the new one.
func (k *Link) still(p *peer, s *session) bool {
	_, err := k.material.Verify(s.tls.ConnectionState().PeerCertificates, p.key.name, k.wall())
	return err == nil
}
