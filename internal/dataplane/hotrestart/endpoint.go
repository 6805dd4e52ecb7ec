package hotrestart

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"croftlock/internal/dataplane/netio"
)

// acceptRetryDelay is the time from a failed accept until the next one. The process may be out of file
// descriptors, and an accept would fail again at once.
const acceptRetryDelay = 50 * time.Millisecond

// Endpoint is the Unix socket on which the next process of this proxy requests the handover. Its
// methods may be called from any goroutine.
type Endpoint struct {
	listener  *net.UnixListener
	loop      *netio.Loop
	onRequest func(listen string) (*Handoff, error) // see OfferHandover
	onPartner func(*Partner)                        // see OfferHandover
}

// OfferHandover listens in dir for the next process's request for a handover. For each request it
// calls onRequest on the loop with the address that clients use at the new process. onRequest
// returns what to hand over, or an error whose text is sent as the reason for the rejection. This
// process keeps its own copies of the descriptors. After it has sent a handover, successfully or not,
// OfferHandover's goroutine posts onPartner to the loop with the new process as partner. Close ends
// the offer.
func OfferHandover(l *netio.Loop, dir string, onRequest func(listen string) (*Handoff, error), onPartner func(*Partner)) (*Endpoint, error) {
	ln, err := replaceSocket(dir)
	if err != nil {
		return nil, err
	}
	endpoint := &Endpoint{ln, l, onRequest, onPartner}
	go endpoint.serve()
	return endpoint, nil
}

// replaceSocket listens on a temporary socket and renames it over the one in dir. Another process may
// still serve and listen on the old socket, which must stay reachable until the new one replaces it.
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

// Close stops listening for requests. Partners that are already connected stay connected.
func (e *Endpoint) Close() { e.listener.Close() }

// serve answers requests one at a time until Close, because only one new process can take over.
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

// serveRequest reads a request from c, and sends the handover or a rejection. It closes c without an
// answer if the request is invalid. After a handover the Partner that it posts to onPartner owns c.
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
	p := newPartner(c, m.protocol)
	if err := send(c, welcome{*h, protocolVersion}); err != nil {
		slog.Warn("hot_restart_failed", "reason", err)
		p.Close()
	}
	e.loop.Post(func() { e.onPartner(p) })
}

// readRequest reads a request for a handover. ok is false if c fails, sends nothing within
// answerTimeout or sends anything else.
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

// handoffOnLoop calls onRequest on the loop and waits for its result. It must not be called on the loop.
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
	r := <-results
	return r.handoff, r.err
}
