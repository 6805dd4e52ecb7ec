package soak

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"croftlock/internal/testbed/fake"
)

// Host is an upstream host in which a run injects the faults that the platform injects. It records
// each attempt that it receives.
type Host struct {
	UID    string
	Zone   string
	addr   string
	record *Record

	hanging         atomic.Bool  // reads lines but does not answer them
	resetting       atomic.Bool  // resets each connection on its request line
	failingRequests atomic.Bool  // answers each request with ERR
	draining        atomic.Bool  // rejects each request with BUSY
	acceptDelay     atomic.Int64 // delay before a request is answered with UP, in nanoseconds
	startedAtMS     atomic.Int64 // start time, Unix milliseconds; zero if unknown

	claimed atomic.Bool // whether a fault that changes the host's state in the lists is in progress

	mu       sync.Mutex // protects the fields below
	listener net.Listener
	conns    map[net.Conn]*hostAttempt // open connections whose request line has arrived
}

// NewHost returns a host that listens at addr, which no other process may use.
func NewHost(uid, zone, addr string, r *Record) (*Host, error) {
	h := &Host{UID: uid, Zone: zone, addr: addr, record: r, conns: map[net.Conn]*hostAttempt{}}
	return h, h.Listen()
}

// Listen starts accepting connections. It is called again after Crash.
func (h *Host) Listen() error {
	l, err := net.Listen("tcp", h.addr)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener = l
	go h.accept(l)
	return nil
}

// Crash stops accepting connections and resets those whose request line has arrived, as a crash of
// the host's process does.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener.Close()
	for c, a := range h.conns {
		a.recordEnd(hostSide)
		fake.Reset(c)
	}
}

// Restart crashes the host and starts it again after down, without hanging and with a new start
// time.
func (h *Host) Restart(down time.Duration) error {
	h.Crash()
	time.Sleep(down)
	h.hanging.Store(false)
	h.startedAtMS.Store(time.Now().UnixMilli())
	return h.Listen()
}

// Entry returns the host's entry in an endpoint list, with the given state.
func (h *Host) Entry(state string) fake.Entry {
	return fake.Entry{UID: h.UID, Endpoint: h.addr, Zone: h.Zone, Model: "type-a", State: state, Weight: 1, BootMS: h.startedAtMS.Load()}
}

// MigrateClients migrates all clients that the host serves, as a draining host does.
func (h *Host) MigrateClients() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c, a := range h.conns {
		if a.served() {
			a.recordEnd(hostSide)
			c.SetWriteDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "MOVE\r\n")
			c.Close()
		}
	}
}

// ResetEveryNth resets every nth of the open connections, whether or not the request was answered.
func (h *Host) ResetEveryNth(nth int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := 0
	for c, a := range h.conns {
		if i++; i%nth == 0 {
			a.recordEnd(hostSide)
			fake.Reset(c)
		}
	}
}

// accept serves each connection to l on its own goroutine until accepting fails.
func (h *Host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go h.serve(c)
	}
}

// serve handles one connection from its request line to its end. It always has a read in progress,
// so that it notices at once when the proxy closes the connection.
func (h *Host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 512)
	first, err := in.ReadString('\n')
	words := strings.Fields(first)
	if err != nil || len(words) < 3 {
		return
	}
	a := h.record.recordAttempt(words[1], h.UID)
	h.mu.Lock()
	h.conns[c] = a
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		a.recordEnd(proxySide)
	}()
	lines := make(chan string, 64)
	go readLines(in, a, lines)
	if !h.answer(c, a, lines) {
		return
	}
	for line := range lines {
		if !h.hanging.Load() {
			fmt.Fprint(c, "GOT "+line)
		}
	}
}

// readLines forwards lines until the connection ends. It then closes lines and records that the
// proxy ended the attempt, unless the host did.
func readLines(in *bufio.Reader, a *hostAttempt, lines chan<- string) {
	defer close(lines)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			a.recordEnd(proxySide)
			return
		}
		lines <- line
	}
}

// answer answers a request. It reports whether the request was served, so that the connection stays
// open.
func (h *Host) answer(c net.Conn, a *hostAttempt, lines <-chan string) bool {
	switch {
	case h.draining.Load():
		a.recordAnswer(Rejected)
		fmt.Fprint(c, "BUSY\r\n")
		return false
	case h.resetting.Load():
		a.recordEnd(hostSide)
		fake.Reset(c)
		return false
	case h.failingRequests.Load():
		a.recordAnswer(Failed)
		fmt.Fprint(c, "ERR\r\n")
		return false
	}
	if wait := time.Duration(h.acceptDelay.Load()); wait > 0 {
		select {
		case <-lines: // the proxy has closed the connection, or has sent a line before the answer
			return false
		case <-time.After(wait):
		}
	}
	for h.hanging.Load() {
		select {
		case <-lines:
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
	a.recordAnswer(Served)
	fmt.Fprintf(c, "UP %s-%s\r\n", h.UID, a.requestID)
	return true
}
