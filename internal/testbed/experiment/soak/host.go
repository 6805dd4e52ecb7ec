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

// Host is an upstream host that can be broken in the ways that the platform breaks them. It records what it received of each request.
type Host struct {
	UID    string
	Zone   string
	addr   string
	record *Record

	hangs  atomic.Bool  // it reads and says nothing
	resets atomic.Bool  // it resets a connection as soon as it has a first line
	errs   atomic.Bool  // it answers ERR
	drains atomic.Bool  // it rejects new requests
	slow   atomic.Int64 // nanoseconds that an acceptance takes
	booted atomic.Int64 // its start, Unix milliseconds; 0: unknown

	claimed atomic.Bool // a fault that lists it anew is under way

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]*arrival
}

// NewHost serves at an address that no other process uses.
func NewHost(uid, zone, addr string, r *Record) (*Host, error) {
	h := &Host{UID: uid, Zone: zone, addr: addr, record: r, conns: map[net.Conn]*arrival{}}
	return h, h.Up()
}

// Up begins to accept, anew after Down.
func (h *Host) Up() error {
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

// Down refuses connections from now on and resets those that stand, as a process that dies does.
func (h *Host) Down() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener.Close()
	for c, a := range h.conns {
		a.recordEnd(hostSide)
		fake.Reset(c)
	}
}

// Restart is Down and Up again, with another start.
func (h *Host) Restart(down time.Duration) error {
	h.Down()
	time.Sleep(down)
	h.hangs.Store(false)
	h.booted.Store(time.Now().UnixMilli())
	return h.Up()
}

// Entry is how an endpoint list has it.
func (h *Host) Entry(state string) fake.Entry {
	return fake.Entry{UID: h.UID, Endpoint: h.addr, Zone: h.Zone, Model: "type-a", State: state, Weight: 1, BootMS: h.booted.Load()}
}

// SendAway has all its clients migrated, as a draining server does.
func (h *Host) SendAway() {
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

// ResetSome resets a part of the connections that stand, with requests that have begun among them.
func (h *Host) ResetSome(part int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := 0
	for c, a := range h.conns {
		if i++; i%part == 0 {
			a.recordEnd(hostSide)
			fake.Reset(c)
		}
	}
}

func (h *Host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go h.serve(c)
	}
}

// serve takes one connection from its first line to its end. It goes on reading whatever it says, so that it sees when the proxy gives it up.
func (h *Host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 512)
	first, err := in.ReadString('\n')
	words := strings.Fields(first)
	if err != nil || len(words) < 3 {
		return
	}
	a := h.record.recordArrival(words[1], h.UID)
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
		if !h.hangs.Load() {
			fmt.Fprint(c, "GOT "+line)
		}
	}
}

// readLines passes lines on until the proxy ends the connection, and notes that.
func readLines(in *bufio.Reader, a *arrival, lines chan<- string) {
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

// answer answers a request, and returns whether the connection goes on.
func (h *Host) answer(c net.Conn, a *arrival, lines <-chan string) bool {
	switch {
	case h.drains.Load():
		a.recordAnswer(Rejected)
		fmt.Fprint(c, "BUSY\r\n")
		return false
	case h.resets.Load():
		a.recordEnd(hostSide)
		fake.Reset(c)
		return false
	case h.errs.Load():
		a.recordAnswer(Failed)
		fmt.Fprint(c, "ERR\r\n")
		return false
	}
	if wait := time.Duration(h.slow.Load()); wait > 0 {
		select {
		case <-lines: // the proxy has given it up, or sends what it should not yet
			return false
		case <-time.After(wait):
		}
	}
	for h.hangs.Load() {
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
