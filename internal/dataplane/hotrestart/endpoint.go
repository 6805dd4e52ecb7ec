package hotrestart

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"croftlock/internal/dataplane/netio"
)

// acceptRetryDelay is the pause after a failed accept: the process may be out of descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Endpoint is where the next process requests the handover.
type Endpoint struct {
	listener  *net.UnixListener
	loop      *netio.Loop
	onRequest func(listen string) (*Handoff, error)
	onPartner func(*Partner)
}

// OfferHandover listens in dir for the next process's request to hand over. welcome is called on the loop when it comes, with the address that clients
// use at that process; it gives what is handed over, which stays this process's as well, or why not. come is called on the loop with the
// partner. Close ends the offer.
func OfferHandover(l *netio.Loop, dir string, onRequest func(listen string) (*Handoff, error), onPartner func(*Partner)) (*Endpoint, error) {
	ln, err := replaceSocket(dir)
	if err != nil {
		return nil, err
	}
	endpoint := &Endpoint{ln, l, onRequest, onPartner}
	go endpoint.serve()
	return endpoint, nil
}

// replaceSocket puts a listener into the place of the socket in dir. Another process may listen there still, and must not be cut off before
// this one is in its place.
func replaceSocket(dir string) (*net.UnixListener, error) {
	path, release := socketPath(dir)
	defer release()
	tempPath := path + ".new"
	os.Remove(tempPath)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	err = os.Chmod(tempPath, 0o600)
	if err == nil {
		err = os.Rename(tempPath, path)
	}
	if err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// Close ends the offer.
func (e *Endpoint) Close() { e.listener.Close() }

// serve answers one caller after the other, until Close: there is never more than one that matters.
func (e *Endpoint) serve() {
	for {
		c, err := e.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		e.serveRequest(c)
	}
}

// serveRequest reads a caller's request and hands over, or says why not.
func (e *Endpoint) serveRequest(c *net.UnixConn) {
	m, ok := readRequest(c)
	if !ok {
		c.Close()
		return
	}
	h, err := e.handoffOnLoop(m.listen)
	if err != nil {
		send(c, rejection{reason: err.Error()})
		c.Close()
		return
	}
	c.SetReadDeadline(time.Time{})
	p := newPartner(c)
	if err := send(c, welcome{*h}); err != nil {
		slog.Warn("hot_restart_failed", "reason", err)
		p.Close()
	}
	e.loop.Post(func() { e.onPartner(p) })
}

// readRequest reads a caller's request; false: it is not a request to hand over.
func readRequest(c *net.UnixConn) (m handoverRequest, ok bool) {
	c.SetReadDeadline(time.Now().Add(answerTimeout))
	e, fds, err := receive(c)
	if err != nil {
		return m, false
	}
	closeDescriptors(fds)
	m, ok = decode(e, nil).(handoverRequest)
	return m, ok
}

// handoffOnLoop calls welcome on the loop and waits for its result.
func (e *Endpoint) handoffOnLoop(listen string) (*Handoff, error) {
	type result struct {
		handoff *Handoff
		err     error
	}
	results := make(chan result, 1)
	e.loop.Post(func() {
		h, err := e.onRequest(listen)
		results <- result{h, err}
	})
	a := <-results
	return a.handoff, a.err
}
