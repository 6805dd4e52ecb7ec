package upstreamtls

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"runtime"
	"time"

	"croftlock/internal/dataplane/netio"
)

// maxSealedBytes bounds the bytes of a connection that are not decrypted yet: what netpoll reads at once while the input is at its limit.
// crypto/tls buffers one record more.
const maxSealedBytes = 128 << 10

// handshakeReadSize is how much, in bytes, is read at once during the handshake.
const handshakeReadSize = 4 << 10

// session is an established connection's record layer. crypto/tls does the work; instead of a socket it has a sealedSocket,
// which returns a temporary error where a socket would block. crypto/tls keeps what it has read of a record and continues.
// After the handshake everything happens on the loop.
type session struct {
	socket              *sealedSocket
	tlsConn             *tls.Conn
	resumed             bool
	certificateNotAfter time.Time                   // the first end of a certificate of either side
	dataReceived        bool                        // application data has come
	mayHaveBuffered     bool                        // crypto/tls may have decrypted more than the last call of Open took
	onFailure           func(f *Failure, late bool) // called once at an end that is not in order; may be nil
}

var _ netio.Layer = (*session)(nil)

// Expires is when the first certificate of either side ends.
func (s *session) Expires() time.Time { return s.certificateNotAfter }

// Attach gives the session its way to send once its handshake is done.
func (s *session) Attach(send func(p []byte)) { s.socket.attach(send) }

// Receive buffers bytes of the socket's until they are decrypted; false: more than it may buffer.
func (s *session) Receive(p []byte) bool { return s.socket.sealed.Append(p) == len(p) }

// Open gives what can be decrypted now.
func (s *session) Open(p []byte) (int, error) {
	if !s.mayHaveBuffered && !s.socket.hasCompleteRecord() {
		return 0, nil // crypto/tls would allocate an error for that, for every line
	}
	n, err := s.tlsConn.Read(p)
	s.dataReceived = s.dataReceived || n > 0
	s.mayHaveBuffered = n == len(p)
	if errors.Is(err, errWouldBlock) {
		return n, nil
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	f := classifyHandshakeError(err, true)
	late := f.Reason == RejectedByHost && !s.dataReceived
	if late {
		err = &lateRejection{f}
	}
	if s.onFailure != nil {
		s.onFailure(f, late)
		s.onFailure = nil
	}
	return n, err
}

// lateRejection is a handshake that the host rejected after this side had finished it. In TLS 1.3 a client is done before the server has seen
// its certificate, and may have sent its request by then. The server reads no request of a connection whose handshake it rejects, so it cannot
// have acted on it.
type lateRejection struct{ *Failure }

// Unwrap gives the failure.
func (l *lateRejection) Unwrap() error { return l.Failure }

// RefusedBeforeRead is true: the host has read nothing of this connection.
func (l *lateRejection) RefusedBeforeRead() bool { return true }

// Seal encrypts and sends.
func (s *session) Seal(p []byte) error {
	_, err := s.tlsConn.Write(p)
	return err
}

// End sends TLS's own end.
func (s *session) End() { s.tlsConn.CloseWrite() }

// Buffered is how many bytes are not decrypted yet.
func (s *session) Buffered() int { return s.socket.sealed.Len() }

// errWouldBlock is the error of a socket that must not block. crypto/tls continues after errors that are temporary.
var errWouldBlock error = wouldBlock{}

type wouldBlock struct{}

// Error says that there is no more for now.
func (wouldBlock) Error() string { return "no more for now" }

// Timeout says that no time is over.
func (wouldBlock) Timeout() bool { return false }

// Temporary has crypto/tls go on later.
func (wouldBlock) Temporary() bool { return true }

// sealedSocket is the net.Conn below crypto/tls: a socket during the handshake, which counts what this side computes between
// waits, and two ends of the loop afterwards.
type sealedSocket struct {
	handshakeConn  net.Conn
	computeToken   chan struct{} // held while this side computes
	hasToken       bool          // it is held
	received       bool          // something has come
	computingSince time.Time     // since when this side computes
	computeTime    time.Duration

	sealed          netio.Buffer // sealed, not opened
	recordRemaining int          // of the record that crypto/tls has a part of
	send            func(p []byte)
}

// A record begins with its type, a version and the length of what follows.
const recordHeaderLength = 5

// nextReadLimit is how much crypto/tls may read next: no more than one record at a time, so that it never buffers part of the next one and what is
// left to decrypt is known here.
func (w *sealedSocket) nextReadLimit() int {
	if w.recordRemaining > 0 {
		return w.recordRemaining
	}
	if b := w.sealed.Bytes(); len(b) >= recordHeaderLength {
		return recordHeaderLength + int(b[3])<<8 + int(b[4])
	}
	return recordHeaderLength
}

// hasCompleteRecord reports whether a complete record, or all that is left of one, has come.
func (w *sealedSocket) hasCompleteRecord() bool { return w.sealed.Len() >= w.nextReadLimit() }

// attach has the socket send by send, and read nothing but what is appended to sealed.
func (w *sealedSocket) attach(send func(p []byte)) { w.handshakeConn, w.send = nil, send }

// Read gives crypto/tls at most the rest of one record.
func (w *sealedSocket) Read(p []byte) (int, error) {
	for w.sealed.Len() < min(recordHeaderLength, w.nextReadLimit()) {
		if w.handshakeConn == nil {
			return 0, errWouldBlock
		}
		buf := w.sealed.Reserve(handshakeReadSize)
		w.releaseToken()
		n, err := w.handshakeConn.Read(buf)
		w.acquireToken()
		w.received = w.received || n > 0
		w.sealed.Extend(n)
		if n == 0 && err != nil {
			return 0, err
		}
	}
	w.recordRemaining = w.nextReadLimit()
	n := copy(p[:min(len(p), w.recordRemaining)], w.sealed.Bytes())
	w.recordRemaining -= n
	w.sealed.Consume(n)
	return n, nil
}

// Write sends what crypto/tls has sealed.
func (w *sealedSocket) Write(p []byte) (int, error) {
	if w.handshakeConn != nil {
		return w.handshakeConn.Write(p) // it fits the kernel's buffer
	}
	if w.send == nil {
		return 0, io.ErrClosedPipe
	}
	w.send(p)
	return len(p), nil
}

// acquireToken waits for the one token to compute, so that the loop, when it wakes, has one piece of a handshake before it in Go's run queue and
// not as many as are in flight.
func (w *sealedSocket) acquireToken() {
	w.computeToken <- struct{}{}
	w.hasToken = true
	w.computingSince = time.Now()
}

// releaseToken gives the token back, and lets the loop run first.
func (w *sealedSocket) releaseToken() {
	if !w.hasToken {
		return
	}
	w.computeTime += time.Since(w.computingSince)
	w.hasToken = false
	<-w.computeToken
	runtime.Gosched()
}

// Close is part of net.Conn. Of what follows crypto/tls uses the address alone, for a cache key that is not used.
func (w *sealedSocket) Close() error { return nil }

// LocalAddr is part of net.Conn.
func (w *sealedSocket) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr is part of net.Conn.
func (w *sealedSocket) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline is part of net.Conn.
func (w *sealedSocket) SetDeadline(time.Time) error { return nil }

// SetReadDeadline is part of net.Conn.
func (w *sealedSocket) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline is part of net.Conn.
func (w *sealedSocket) SetWriteDeadline(time.Time) error { return nil }
