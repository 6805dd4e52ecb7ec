package experiment

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"croftlock/internal/testbed/fake"
)

// badClientKind is one kind of bad client: what one client does until stop is closed.
type badClientKind struct {
	name    string
	clients int // how many run at once
	run     func(c *badClient)
}

// badClientKinds lists the kinds of the operators' pictures: many slow clients and long first lines, and one
// client at full speed.
var badClientKinds = []badClientKind{
	{"600 slow, stalled and whole first lines", 600, func(c *badClient) { c.runMixed(shortLine) }},
	{"600 slow, stalled and whole first lines of 4 KB", 600, func(c *badClient) { c.runMixed(longLine) }},
	{"one with unreadable lines before UP", 1, func(c *badClient) { c.repeat(func(conn net.Conn) { c.flood(conn, garbage) }) }},
	{"one with unreadable lines after UP, read", 1, func(c *badClient) { c.repeat(func(conn net.Conn) { c.floodAfterUp(conn, true) }) }},
	{"one with unreadable lines after UP, not read", 1, func(c *badClient) { c.repeat(func(conn net.Conn) { c.floodAfterUp(conn, false) }) }},
	{"one with ever new classes, tenants and groups", 1, func(c *badClient) { c.repeat(func(conn net.Conn) { c.exchange(conn, c.freshNames()) }) }},
	{"200 that leave with 300 KB unread", 200, func(c *badClient) { c.repeat(c.leaveUnread) }},
}

// badClientTimeout limits each step of a bad client. A proxy has to answer it or close within 3 s.
const badClientTimeout = 4 * time.Second

// garbage is what a client sends that sends no line of the protocol.
var garbage = bytes.Repeat([]byte("QUERY \x00\x01 no line of the protocol\r\n"), 1000)

// badClient is one bad client of a kind.
type badClient struct {
	proxy  string // address
	number int    // among the clients of its kind, from 0
	stop   <-chan struct{}
	counts *badClientCounts
}

// badClientCounts counts what bad clients did.
type badClientCounts struct {
	connections atomic.Int64 // that have ended
	overdue     atomic.Int64 // that the proxy neither answered nor closed within badClientTimeout
	ids         atomic.Int64 // names made up so far
}

// stopped reports whether the client has to end.
func (c *badClient) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// repeat connects again and again, and calls do with each connection.
func (c *badClient) repeat(do func(conn net.Conn)) {
	for !c.stopped() {
		conn, err := net.DialTimeout("tcp", c.proxy, badClientTimeout)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn.SetDeadline(time.Now().Add(badClientTimeout))
		do(conn)
		conn.Close()
		c.counts.connections.Add(1)
	}
}

// runMixed is a third of clients each: a byte each 20 ms, half a line and silence, and a whole first line.
func (c *badClient) runMixed(line func() string) {
	switch c.number % 3 {
	case 0:
		c.repeat(func(conn net.Conn) { c.trickle(conn, line()) })
	case 1:
		c.repeat(func(conn net.Conn) {
			text := line()
			fmt.Fprint(conn, text[:len(text)/2])
			c.awaitEnd(conn)
		})
	case 2:
		c.repeat(func(conn net.Conn) { c.exchange(conn, line()) })
	}
}

// trickle sends a byte of a line each 20 ms until the proxy ends the connection.
func (c *badClient) trickle(conn net.Conn, line string) {
	ended := make(chan struct{})
	go func() {
		c.awaitEnd(conn)
		close(ended)
	}()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		case <-tick.C:
			conn.Write([]byte{line[min(i, len(line)-3)]}) // never its end
		}
	}
}

// awaitEnd reads until the proxy ends the connection.
func (c *badClient) awaitEnd(conn net.Conn) {
	_, err := io.Copy(io.Discard, conn)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		c.counts.overdue.Add(1)
	}
}

// exchange sends a first line and reads the answer.
func (c *badClient) exchange(conn net.Conn, line string) {
	fmt.Fprint(conn, line)
	if _, err := conn.Read(make([]byte, 64)); err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			c.counts.overdue.Add(1)
		}
	}
}

// flood sends data at full speed until the proxy ends the connection.
func (c *badClient) flood(conn net.Conn, data []byte) {
	for !c.stopped() {
		if _, err := conn.Write(data); err != nil {
			return
		}
	}
}

// floodAfterUp opens a connection and then sends what is no line of the protocol. If read is set, it reads
// what comes back.
func (c *badClient) floodAfterUp(conn net.Conn, read bool) {
	c.exchange(conn, shortLine())
	if read {
		go io.Copy(io.Discard, conn)
	}
	c.flood(conn, garbage)
}

// leaveUnread sends a first line and 300 KB, and leaves.
func (c *badClient) leaveUnread(conn net.Conn) {
	fmt.Fprint(conn, shortLine())
	conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	conn.Write(bytes.Repeat(garbage[:1000], 300))
	time.Sleep(50 * time.Millisecond)
}

// shortLine returns a valid first line of some 100 bytes.
func shortLine() string {
	return fmt.Sprintf("OPEN %s %s c=%s,d=4000,g=%s\r\n", fake.NewID(), fake.NewID(), requestClass, fake.NewID())
}

// longLine returns a valid first line of nearly the longest length, with some 600 short fields.
func longLine() string {
	return fmt.Sprintf("OPEN %s %s c=%s,d=4000%s\r\n", fake.NewID(), fake.NewID(), requestClass, manyFields())
}

// manyFields returns the fields of longLine. They are made once: clients must not be slower than the proxy.
var manyFields = sync.OnceValue(func() string {
	const length = 4000
	var fields strings.Builder
	for i := 0; fields.Len() < length; i++ {
		fmt.Fprintf(&fields, ",%xz=1", i)
	}
	return fields.String()
})

// freshNames returns a first line with a class, a tenant and a group that no line had before.
func (c *badClient) freshNames() string {
	n := c.counts.ids.Add(1)
	class := requestClass
	if n%2 == 0 {
		class = fmt.Sprintf("class-%d", n)
	}
	return fmt.Sprintf("OPEN %s %s c=%s,d=4000,t=tenant-%d,g=%s\r\n", fake.NewID(), fake.NewID(), class, n, fake.NewID())
}
