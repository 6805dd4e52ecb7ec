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

// handshakeJob is one handshake on a worker.
type handshakeJob struct {
	requestID uint64
	peer      *tlsPeer
	endpoint  string
	until     time.Time

	mu      sync.Mutex
	conn    net.Conn
	aborted bool
}

// abort ends the handshake from the loop.
func (j *handshakeJob) abort() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.aborted = true
	if j.conn != nil {
		j.conn.Close()
	}
}

// runWorker is a worker, for good.
func (k *Dialer) runWorker() {
	for j := range k.jobs {
		s, fd, spent, f := j.run(k.computeToken)
		k.loop.Post(func() { k.handshakeEnded(j, s, fd, spent, f) })
	}
}

// run connects and does the handshake. It gives the session and its socket, which nothing else watches.
func (j *handshakeJob) run(computeToken chan struct{}) (s *session, fd int, spent time.Duration, f *Failure) {
	w := &sealedSocket{computeToken: computeToken, sealed: netio.NewBuffer(maxSealedBytes)}
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "handshake", "reason", p, "stack", string(debug.Stack()))
			s, fd, f = nil, -1, &Failure{Reason: ProtocolError, Step: "finish", Err: fmt.Errorf("panic: %v", p)}
		}
		w.releaseToken()
		spent = w.computed
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
	raw.SetDeadline(j.until)
	w.handshakeConn = raw
	w.acquireToken()
	s = &session{socket: w, tlsConn: tls.Client(w, j.peer.config)}
	err = s.tlsConn.Handshake()
	if err != nil {
		return nil, -1, 0, classify(err, w.received)
	}
	s.resumed, s.certificateEnd = s.tlsConn.ConnectionState().DidResume, j.peer.ends()
	fd, err = detachSocket(raw.(*net.TCPConn))
	if err != nil {
		return nil, -1, 0, &Failure{Reason: ConnectionLost, Step: "finish", Err: err}
	}
	return s, fd, 0, nil
}

// detachSocket gives a descriptor of the socket that Go's own poller does not watch.
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

// handshakeEnded handles a worker's result.
func (k *Dialer) handshakeEnded(j *handshakeJob, s *session, fd int, spent time.Duration, f *Failure) {
	k.counts.cpu += spent
	k.budget.Done(k.loop.Now(), j.requestID, s != nil && s.resumed, spent, f == nil)
	d := k.dials[j.requestID]
	switch {
	case d == nil && f == nil:
		unix.Close(fd) // dropped meanwhile: nothing was sent on it
	case d == nil:
	case f != nil:
		d.fail(f)
	case j.peer.material != k.material && !k.stillTrusted(j.peer, s):
		unix.Close(fd)
		d.fail(newFailure(UnknownCA, "the trust bundle was replaced during the handshake, and the host's certificate is not valid by the new one"))
	default:
		if s.resumed {
			k.counts.resumed++
		} else {
			k.counts.full++
		}
		d.end()
		s.onFailure = func(f *Failure, late bool) { k.logBrokenSession(d.host.ID, f, late) }
		netio.Adopt(k.loop, netio.Socket{FD: fd, Layer: s, InputLimit: d.inputLimit}, d.handler, func(c *netio.Conn) { d.done(c, nil) })
	}
	k.beginAllowed()
}

// stillTrusted reports whether a host that was verified in an epoch that ended during the handshake is valid in the new one.
func (k *Dialer) stillTrusted(p *tlsPeer, s *session) bool {
	_, err := k.material.Verify(s.tlsConn.ConnectionState().PeerCertificates, p.key.name, k.wallClock())
	return err == nil
}
