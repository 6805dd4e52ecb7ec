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

// maxSealedBytes is the maximum number of bytes of a connection that are buffered before decryption. It
// is what netpoll reads at once while the input is at its limit. crypto/tls buffers one record more.
const maxSealedBytes = 128 << 10

// handshakeReadSize is the size of a read during the handshake, in bytes.
const handshakeReadSize = 4 << 10

// session is the record layer of an established connection. It runs crypto/tls on a sealedSocket, which
// returns a temporary error when a socket would block; crypto/tls keeps the part of a record that it has
// read and continues later. After the handshake all methods are called on the loop.
type session struct {
	socket              *sealedSocket
	tlsConn             *tls.Conn
	resumed             bool                        // whether the handshake resumed a cached session
	certificateNotAfter time.Time                   // the earliest end of the certificates of either side
	dataReceived        bool                        // whether application data was received
	mayHaveBuffered     bool                        // whether crypto/tls may have decrypted more than the last call of Open returned
	onFailure           func(f *Failure, late bool) // called at most once, if the connection breaks (see logBrokenSession); may be nil
}

var _ netio.Layer = (*session)(nil)

// Expires returns the earliest end of the certificates of either side.
func (s *session) Expires() time.Time { return s.certificateNotAfter }

// Attach sets the function that sends encrypted bytes. It is called once, after the handshake.
func (s *session) Attach(send func(p []byte)) { s.socket.attach(send) }

// Receive buffers bytes from the socket until they are decrypted. It returns false if they exceed the
// limit of the buffer.
func (s *session) Receive(p []byte) bool { return s.socket.sealed.Append(p) == len(p) }

// Open decrypts into p what can be decrypted now, and returns the number of bytes. It returns 0, nil if
// no complete record has arrived, and io.EOF after the peer's close_notify alert.
func (s *session) Open(p []byte) (int, error) {
	if !s.mayHaveBuffered && !s.socket.hasCompleteRecord() {
		return 0, nil // calling crypto/tls would allocate an error for every line
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
	f := classifyTLSError(err, true)
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

// lateRejection is the error of a handshake that the host rejected after this side had finished it. In
// TLS 1.3 a client finishes before the server has seen its certificate, and may have sent its request
// by then. The server reads no request on a connection whose handshake it rejects, so it cannot have
// acted on the request.
type lateRejection struct{ *Failure }

// Unwrap returns the failure, with its reason.
func (l *lateRejection) Unwrap() error { return l.Failure }

// RefusedBeforeRead returns true, because the host has read no application data of this connection.
func (l *lateRejection) RefusedBeforeRead() bool { return true }

// Seal encrypts and sends p.
func (s *session) Seal(p []byte) error {
	_, err := s.tlsConn.Write(p)
	return err
}

// End sends TLS's close_notify alert.
func (s *session) End() { s.tlsConn.CloseWrite() }

// Buffered returns the number of bytes that are not decrypted yet.
func (s *session) Buffered() int { return s.socket.sealed.Len() }

// errWouldBlock is returned by a read that would block. crypto/tls can continue after a temporary error.
var errWouldBlock error = wouldBlock{}

// wouldBlock is a temporary net.Error.
type wouldBlock struct{}

// Error implements error. crypto/tls passes the error to Open, which does not return it.
func (wouldBlock) Error() string { return "no more for now" }

// Timeout returns false, since no deadline has passed.
func (wouldBlock) Timeout() bool { return false }

// Temporary returns true, so that crypto/tls can continue later.
func (wouldBlock) Temporary() bool { return true }

// sealedSocket is the net.Conn below crypto/tls. During the handshake it reads from and writes to a
// blocking socket, and measures the time that this side computes between reads. Afterwards it reads
// from a buffer that the loop fills, and writes through the loop.
type sealedSocket struct {
	handshakeConn  net.Conn      // nil after the handshake
	computeToken   chan struct{} // of capacity 1, shared by all handshakes; holds a value while one of them computes
	hasToken       bool          // whether this socket holds computeToken
	received       bool          // whether any byte was received
	computingSince time.Time     // when hasToken was last set
	computeTime    time.Duration // total time that this side held computeToken

	sealed          netio.Buffer   // bytes that were received and that crypto/tls has not read yet
	recordRemaining int            // bytes of the current record that crypto/tls has not read
	send            func(p []byte) // nil until attach
}

// recordHeaderLength is the length of a TLS record header, in bytes: the type, the version and the
// length of what follows.
const recordHeaderLength = 5

// nextReadLimit returns how many bytes crypto/tls may read next. It is at most the rest of one record,
// so that crypto/tls never buffers part of the next and the bytes left to decrypt are known here.
func (w *sealedSocket) nextReadLimit() int {
	if w.recordRemaining > 0 {
		return w.recordRemaining
	}
	if b := w.sealed.Bytes(); len(b) >= recordHeaderLength {
		return recordHeaderLength + int(b[3])<<8 + int(b[4])
	}
	return recordHeaderLength
}

// hasCompleteRecord reports whether a complete record, or the rest of the current one, was received.
func (w *sealedSocket) hasCompleteRecord() bool { return w.sealed.Len() >= w.nextReadLimit() }

// attach ends the use of the handshake socket. From then on Write calls send, and Read reads from sealed.
func (w *sealedSocket) attach(send func(p []byte)) { w.handshakeConn, w.send = nil, send }

// Read reads at most the rest of one record. After the handshake it returns errWouldBlock if too few
// bytes are buffered.
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

// Write sends bytes that crypto/tls has encrypted.
func (w *sealedSocket) Write(p []byte) (int, error) {
	if w.handshakeConn != nil {
		return w.handshakeConn.Write(p) // does not block: a handshake fits the kernel's buffer
	}
	if w.send == nil {
		return 0, io.ErrClosedPipe
	}
	w.send(p)
	return len(p), nil
}

// acquireToken waits for the token that allows one handshake at a time to compute. When the event loop wakes,
// at most one handshake's computation is then ahead of it in Go's run queue, and not one of each
// handshake in flight.
func (w *sealedSocket) acquireToken() {
	w.computeToken <- struct{}{}
	w.hasToken = true
	w.computingSince = time.Now()
}

// releaseToken returns the token, if it is held, and yields so that the loop can run first.
func (w *sealedSocket) releaseToken() {
	if !w.hasToken {
		return
	}
	w.computeTime += time.Since(w.computingSince)
	w.hasToken = false
	<-w.computeToken
	runtime.Gosched()
}

// Close implements net.Conn and does nothing. Of the results of this and the following methods,
// crypto/tls uses only that of RemoteAddr, as a session key that tlsPeer ignores.
func (w *sealedSocket) Close() error { return nil }

// LocalAddr implements net.Conn and returns an empty address.
func (w *sealedSocket) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn and returns an empty address.
func (w *sealedSocket) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn and does nothing.
func (w *sealedSocket) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn and does nothing.
func (w *sealedSocket) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn and does nothing.
func (w *sealedSocket) SetWriteDeadline(time.Time) error { return nil }
