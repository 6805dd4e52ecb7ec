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

// mostHeld bounds the sealed bytes of a connection that nobody has opened: what netpoll reads at once, while its input is
// at the limit. One record beyond that is crypto/tls's own (16 KiB and some).
const mostHeld = 128 << 10

// handshakeRead is how much is read at once while hands are shaken.
const handshakeRead = 4 << 10

// session is a standing connection's record layer. crypto/tls does the work; instead of a socket it has the wire below,
// which says "not now" where a socket would block. crypto/tls keeps what it has read of a record and takes it up again.
// After the handshake everything happens on the loop.
type session struct {
	wire    *wire
	tls     *tls.Conn
	resumed bool
	ends    time.Time                   // of the first certificate that it rests on
	opened  bool                        // application data has come
	more    bool                        // crypto/tls may hold plain text that the last call of Open had no room for
	failed  func(f *Failure, late bool) // told once of an end that is not in order; nil: nobody is
}

var _ netio.Layer = (*session)(nil)

// Expires is when the first certificate that the connection rests on ends.
func (s *session) Expires() time.Time { return s.ends }

func (s *session) Attach(send func(p []byte)) { s.wire.attach(send) }

func (s *session) Take(p []byte) bool { return s.wire.in.Append(p) == len(p) }

func (s *session) Open(p []byte) (int, error) {
	if !s.more && !s.wire.whole() {
		return 0, nil // crypto/tls could only say so itself, at the price of an error for every line
	}
	n, err := s.tls.Read(p)
	s.opened = s.opened || n > 0
	s.more = n == len(p)
	if errors.Is(err, errNotNow) {
		return n, nil
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	f := classify(err, true)
	late := f.Reason == TurnedDown && !s.opened
	if late {
		err = &lateRefusal{f}
	}
	if s.failed != nil {
		s.failed(f, late)
		s.failed = nil
	}
	return n, err
}

// lateRefusal is a handshake that the host turned down after this side had finished it. In TLS 1.3 a client is done
// before the server has seen its certificate, and may have sent its request by then. The server reads no request of a
// connection whose handshake it refuses, so nothing can have acted on it.
type lateRefusal struct{ *Failure }

func (l *lateRefusal) Unwrap() error    { return l.Failure }
func (l *lateRefusal) NeverStood() bool { return true }

func (s *session) Seal(p []byte) error {
	_, err := s.tls.Write(p)
	return err
}

func (s *session) End() { s.tls.CloseWrite() }

func (s *session) Holds() int { return s.wire.in.Len() }

// errNotNow is what a socket that must not block says. crypto/tls goes on after errors that are temporary.
var errNotNow error = notNow{}

type notNow struct{}

func (notNow) Error() string   { return "no more for now" }
func (notNow) Timeout() bool   { return false }
func (notNow) Temporary() bool { return true }

// wire is the net.Conn below crypto/tls: a socket during the handshake, which counts what this side computes between
// waits, and two ends of the loop afterwards.
type wire struct {
	raw   net.Conn
	turn  chan struct{} // held while this side computes
	mine  bool          // it is held
	heard bool          // something has come
	mark  time.Time     // since when this side computes
	spent time.Duration

	in   netio.Buffer // sealed, not opened
	left int          // of the record that crypto/tls has a part of
	send func(p []byte)
}

// A record begins with its type, a version and the length of what follows.
const recordHead = 5

// record is how much crypto/tls may have next: it is given no more than one record at a time, so that it never holds a
// part of the next one, and how much there is to open can be told from here.
func (w *wire) record() int {
	if w.left > 0 {
		return w.left
	}
	if b := w.in.Bytes(); len(b) >= recordHead {
		return recordHead + int(b[3])<<8 + int(b[4])
	}
	return recordHead
}

// whole tells whether a whole record, or all that is left of one, has come.
func (w *wire) whole() bool { return w.in.Len() >= w.record() }

func (w *wire) attach(send func(p []byte)) { w.raw, w.send = nil, send }

func (w *wire) Read(p []byte) (int, error) {
	for w.in.Len() < min(recordHead, w.record()) {
		if w.raw == nil {
			return 0, errNotNow
		}
		space := w.in.Reserve(handshakeRead)
		w.pause()
		n, err := w.raw.Read(space)
		w.compute()
		w.heard = w.heard || n > 0
		w.in.Extend(n)
		if n == 0 && err != nil {
			return 0, err
		}
	}
	w.left = w.record()
	n := copy(p[:min(len(p), w.left)], w.in.Bytes())
	w.left -= n
	w.in.Consume(n)
	return n, nil
}

func (w *wire) Write(p []byte) (int, error) {
	if w.raw != nil {
		return w.raw.Write(p) // it fits the kernel's buffer
	}
	if w.send == nil {
		return 0, io.ErrClosedPipe
	}
	w.send(p)
	return len(p), nil
}

// compute takes the turn to compute, of which there is one: a worker whose answer has come waits for the others, so that
// the loop, when it wakes, has one piece of a handshake before it in Go's queue and not as many as are out.
func (w *wire) compute() {
	w.turn <- struct{}{}
	w.mine = true
	w.mark = time.Now()
}

// pause gives the turn back, and lets the loop go first.
func (w *wire) pause() {
	if !w.mine {
		return
	}
	w.spent += time.Since(w.mark)
	w.mine = false
	<-w.turn
	runtime.Gosched()
}

// The rest of net.Conn; crypto/tls asks for none of it here but the address, for a cache key that is not used.
func (w *wire) Close() error                     { return nil }
func (w *wire) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (w *wire) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (w *wire) SetDeadline(time.Time) error      { return nil }
func (w *wire) SetReadDeadline(time.Time) error  { return nil }
func (w *wire) SetWriteDeadline(time.Time) error { return nil }
