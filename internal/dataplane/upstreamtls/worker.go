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

// handshakeJob is a handshake for a worker to run.
type handshakeJob struct {
	requestID uint64 // identifies the dial in the handshake budget
	peer      *tlsPeer
	address   string // "host:port"
	deadline  time.Time

	mu      sync.Mutex // guards conn and aborted, which the loop and the worker use
	conn    net.Conn   // nil until connected
	aborted bool       // whether abort was called
}

// abort ends the handshake. A connect in progress is not interrupted, but its connection is not used.
// It is called on the loop.
func (j *handshakeJob) abort() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.aborted = true
	if j.conn != nil {
		j.conn.Close()
	}
}

// runWorker runs handshakes until the process exits.
func (d *Dialer) runWorker() {
	for j := range d.jobs {
		s, fd, computeTime, f := j.run(d.computeToken)
		d.loop.Post(func() { d.handshakeEnded(j, s, fd, computeTime, f) })
	}
}

// run connects and runs the handshake. It returns the session and the descriptor of its socket, which no
// poller watches, or a failure and the descriptor -1. computeTime is the time this side spent computing.
func (j *handshakeJob) run(computeToken chan struct{}) (s *session, fd int, computeTime time.Duration, f *Failure) {
	w := &sealedSocket{computeToken: computeToken, sealed: netio.NewBuffer(maxSealedBytes)}
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "handshake", "reason", p, "stack", string(debug.Stack()))
			s, fd, f = nil, -1, &Failure{Reason: ProtocolError, Step: "finish", Err: fmt.Errorf("panic: %v", p)}
		}
		w.releaseToken()
		computeTime = w.computeTime
	}()
	dialer := net.Dialer{Deadline: j.deadline, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, kernelBuffer)
		})
	}}
	raw, err := dialer.Dial("tcp", j.address)
	if err != nil {
		f = &Failure{Reason: Unreachable, Step: "connect", Err: err}
		switch {
		case !time.Now().Before(j.deadline):
			f.Reason = TimedOut
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.ENOTCONN):
			f.Reason = ConnectionLost // reset before the connect returned
		}
		return nil, -1, 0, f
	}
	defer raw.Close()
	j.mu.Lock()
	j.conn = raw
	aborted := j.aborted
	j.mu.Unlock()
	if aborted {
		return nil, -1, 0, &Failure{Reason: TimedOut, Step: "connect"}
	}
	raw.SetDeadline(j.deadline)
	w.handshakeConn = raw
	w.acquireToken()
	s = &session{socket: w, tlsConn: tls.Client(w, j.peer.config)}
	err = s.tlsConn.Handshake()
	if err != nil {
		return nil, -1, 0, classifyTLSError(err, w.received)
	}
	s.resumed, s.certificateNotAfter = s.tlsConn.ConnectionState().DidResume, j.peer.notAfter()
	fd, err = detachSocket(raw.(*net.TCPConn))
	if err != nil {
		return nil, -1, 0, &Failure{Reason: ConnectionLost, Step: "finish", Err: err}
	}
	return s, fd, 0, nil
}

// detachSocket returns a duplicate descriptor of the socket, which Go's poller does not watch.
func detachSocket(c *net.TCPConn) (int, error) {
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

// handshakeEnded handles the result of a job on the loop: it passes the new connection or the failure to the
// dial, unless the dial has ended meanwhile, and starts the next handshakes.
func (d *Dialer) handshakeEnded(j *handshakeJob, s *session, fd int, computeTime time.Duration, f *Failure) {
	d.counts.totalComputeTime += computeTime
	d.budget.Done(d.loop.Now(), j.requestID, s != nil && s.resumed, computeTime, f == nil)
	dial := d.dials[j.requestID]
	switch {
	case dial == nil && f == nil:
		unix.Close(fd) // the dial was cancelled or timed out; no request was sent
	case dial == nil: // the dial was cancelled or timed out, and the handshake failed
	case f != nil:
		dial.fail(f)
	case j.peer.material != d.material && !d.stillTrusted(j.peer, s):
		unix.Close(fd)
		dial.fail(newCertificateFailure(UnknownCA, "the trust bundle was replaced during the handshake, and the host's certificate is not valid by the new one"))
	default:
		if s.resumed {
			d.counts.resumed++
		} else {
			d.counts.full++
		}
		dial.markEnded()
		s.onFailure = func(f *Failure, late bool) { d.logBrokenSession(dial.host.ID, f, late) }
		netio.Adopt(d.loop, netio.Socket{FD: fd, Layer: s, InputLimit: dial.inputLimit}, dial.handler, func(c *netio.Conn) { dial.done(c, nil) })
	}
	d.startAllowed()
}

// stillTrusted reports whether a host whose certificates were verified with files that were replaced during
// the handshake (an earlier epoch) is also valid by the current files.
func (d *Dialer) stillTrusted(p *tlsPeer, s *session) bool {
	_, err := d.material.Verify(s.tlsConn.ConnectionState().PeerCertificates, p.key.name, d.wallClock())
	return err == nil
}
