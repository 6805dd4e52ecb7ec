// Package soak runs many proxy processes on loopback under overlapping faults. It checks rules from
// outside, by the answers that clients get and the attempts that hosts receive. Of the program it
// uses only the protocol, the log and the exit status.
package soak

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"croftlock/internal/testbed/fake"
)

// Answer is the first word of the proxy's answer to a request.
type Answer string

// The possible answers to a request.
const (
	Unanswered Answer = ""
	Served     Answer = "UP"
	Rejected   Answer = "BUSY"
	Failed     Answer = "ERR"
)

// End specifies how a client's connection ended.
type End string

// The possible ends of a connection.
const (
	Open         End = ""             // the connection has not ended
	Migrated     End = "MOVE"         // the client was migrated
	Finished     End = "BYE"          // its host ended it with BYE
	Closed       End = "close"        // closed by the proxy without MOVE or BYE, also after BUSY or ERR
	Reset        End = "reset"        // reset by the proxy
	ClientClosed End = "client_close" // closed by the client
)

// Outcome is the state of a client's connection so far.
type Outcome struct {
	Sent             time.Time // when the request line was complete; zero if it was not sent
	Answer           Answer
	AnsweredAt       time.Time // zero if there is no answer
	End              End
	EndedAt          time.Time     // zero while the connection is open
	Lines            int           // number of answered lines after the request
	LongestRoundTrip time.Duration // longest time from sending a line to its answer
}

// Request is a client's request.
type Request struct {
	Class       string
	Timeout     time.Duration // how long the client waits for the answer
	ExtraFields string        // further fields of the request line, such as "again=1"; may be empty
	Interval    time.Duration // between lines that the client sends once it is served; zero means that it sends none
}

// ClientConnection is a client's connection to a proxy. Its methods are safe for concurrent use.
type ClientConnection struct {
	ID               string // request ID
	Request          Request
	SplitRequestLine bool // whether SendRequest sends the request line in two parts
	conn             net.Conn
	ended            chan struct{} // closed when the connection has ended

	mu              sync.Mutex // protects the fields below
	outcome         Outcome
	unansweredLines []time.Time // when the lines without an answer were sent, oldest first
}

// Dial connects to a proxy. The caller sends the request with SendRequest.
func Dial(proxy string, request Request) (*ClientConnection, error) {
	conn, err := net.DialTimeout("tcp", proxy, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &ClientConnection{ID: fake.NewID(), Request: request, conn: conn, ended: make(chan struct{})}
	go c.read()
	return c, nil
}

// DialAndRequest connects to a proxy and sends the request.
func DialAndRequest(proxy string, request Request) (*ClientConnection, error) {
	c, err := Dial(proxy, request)
	if err != nil {
		return nil, err
	}
	return c, c.SendRequest()
}

// partDelay is the time between the two parts of a request line, so that they arrive separately.
const partDelay = 30 * time.Millisecond

// SendRequest sends the request line. If it fails, Outcome().Sent is zero.
func (c *ClientConnection) SendRequest() error {
	line := fmt.Sprintf("OPEN %s %s c=%s,d=%d", c.ID, fake.NewID(), c.Request.Class, c.Request.Timeout.Milliseconds())
	if c.Request.ExtraFields != "" {
		line += "," + c.Request.ExtraFields
	}
	if c.SplitRequestLine {
		fmt.Fprint(c.conn, line[:len(line)/2])
		line = line[len(line)/2:]
		time.Sleep(partDelay)
	}
	c.mu.Lock()
	c.outcome.Sent = time.Now()
	c.mu.Unlock()
	if _, err := fmt.Fprint(c.conn, line+"\r\n"); err != nil {
		c.mu.Lock()
		c.outcome.Sent = time.Time{}
		c.mu.Unlock()
		return err
	}
	return nil
}

// Outcome returns the connection's state so far. While the connection is open, LongestRoundTrip
// includes the time for which unanswered lines have waited.
func (c *ClientConnection) Outcome() Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.outcome
	for _, at := range c.unansweredLines {
		if out.End == Open {
			out.LongestRoundTrip = max(out.LongestRoundTrip, time.Since(at))
		}
	}
	return out
}

// Ended returns a channel that is closed when the connection has ended.
func (c *ClientConnection) Ended() <-chan struct{} { return c.ended }

// Close closes the connection from the client's side.
func (c *ClientConnection) Close() {
	c.recordEnd(ClientClosed)
	c.conn.Close()
}

// recordEnd records how the connection ended. Only the first end is recorded.
func (c *ClientConnection) recordEnd(end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcome.End == Open {
		c.outcome.End, c.outcome.EndedAt = end, time.Now()
		close(c.ended)
	}
}

// read handles the proxy's lines until the connection ends, and then closes it. It also closes the
// connection of a client that is migrated.
func (c *ClientConnection) read() {
	defer c.conn.Close()
	in := bufio.NewReaderSize(c.conn, 512)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			c.recordEnd(endOf(err))
			return
		}
		if word, _, _ := strings.Cut(strings.TrimSpace(line), " "); !c.receive(word) {
			return
		}
	}
}

// endOf returns the end of a connection that a read error indicates.
func endOf(err error) End {
	if strings.Contains(err.Error(), "reset") {
		return Reset
	}
	return Closed
}

// receive handles a line whose first word is word. It reports whether more lines may follow.
func (c *ClientConnection) receive(word string) bool {
	c.mu.Lock()
	if c.outcome.Answer == Unanswered {
		c.outcome.Answer, c.outcome.AnsweredAt = Answer(word), time.Now()
		c.mu.Unlock()
		if Answer(word) != Served {
			c.recordEnd(Closed)
			return false
		}
		if c.Request.Interval > 0 {
			go c.sendLines()
		}
		return true
	}
	defer c.mu.Unlock()
	switch {
	case c.outcome.End != Open:
		return false // the client has closed the connection
	case word == string(Migrated) || word == string(Finished):
		c.outcome.End, c.outcome.EndedAt = End(word), time.Now()
		close(c.ended)
		return false
	case word == "GOT" && len(c.unansweredLines) > 0:
		c.outcome.Lines++
		c.outcome.LongestRoundTrip = max(c.outcome.LongestRoundTrip, time.Since(c.unansweredLines[0]))
		c.unansweredLines = c.unansweredLines[1:]
	}
	return true
}

// sendLines sends a line at each interval until the connection ends. It does not wait for answers.
func (c *ClientConnection) sendLines() {
	ticker := time.NewTicker(c.Request.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ended:
			return
		case <-ticker.C:
			c.mu.Lock()
			c.unansweredLines = append(c.unansweredLines, time.Now())
			c.mu.Unlock()
			if _, err := fmt.Fprint(c.conn, "M "+c.ID+"\r\n"); err != nil {
				return // read records how the connection ended
			}
		}
	}
}
