// Package soak runs many proxy processes on loopback while faults overlap, and checks the rules from outside: by the answers that clients
// got and the attempts that hosts received. It knows nothing of the program but its protocol and its exit.
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

// The answers that a request can get.
const (
	Unanswered Answer = ""
	Served     Answer = "UP"
	Rejected   Answer = "BUSY"
	Failed     Answer = "ERR"
)

// End is how a client's connection ended.
type End string

// The ends that a connection can have.
const (
	Open         End = ""      // it has not ended
	Migrated     End = "MOVE"  // the proxy has its client migrate
	Finished     End = "BYE"   // its host served it to its end
	Closed       End = "close" // closed by the proxy without a line
	Reset        End = "reset"
	ClientClosed End = "client_close"
)

// Outcome is the state of a client's connection so far.
type Outcome struct {
	Sent             time.Time // when the request was complete; zero: never
	Answer           Answer
	AnsweredAt       time.Time
	End              End
	EndedAt          time.Time
	Lines            int           // lines that were answered
	LongestRoundTrip time.Duration // from a line to its answer
}

// Request is a client's request.
type Request struct {
	Class       string
	Timeout     time.Duration // how long the client waits for the answer
	ExtraFields string        // further values of the request line, such as "again=1"
	Interval    time.Duration // between lines once the request is served; 0: none are sent
}

// ClientConnection is a client's connection to a proxy, from its request to its end. Its methods may be called from any goroutine.
type ClientConnection struct {
	ID               string // of the request
	Request          Request
	SplitRequestLine bool // the request line is sent in two parts
	conn             net.Conn
	ended            chan struct{}

	mu              sync.Mutex
	outcome         Outcome
	unansweredLines []time.Time // lines without an answer yet
}

// Dial connects to a proxy, without sending the request.
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

// partDelay keeps the two parts of a request line apart on the wire.
const partDelay = 30 * time.Millisecond

// SendRequest sends the request line.
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

// Outcome is the connection's state so far. A line that waits for its answer counts with the time that it has waited.
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

// Ended is closed once the connection is over.
func (c *ClientConnection) Ended() <-chan struct{} { return c.ended }

// Close closes the connection from the client's side.
func (c *ClientConnection) Close() {
	c.recordEnd(ClientClosed)
	c.conn.Close()
}

// recordEnd records how the connection ended; the first end counts.
func (c *ClientConnection) recordEnd(end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcome.End == Open {
		c.outcome.End, c.outcome.EndedAt = end, time.Now()
		close(c.ended)
	}
}

// read handles the proxy's lines until the connection ends. A client that is migrated closes its connection.
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

// endOf is the end that a read error stands for.
func endOf(err error) End {
	if strings.Contains(err.Error(), "reset") {
		return Reset
	}
	return Closed
}

// receive records a line, by its first word, and returns whether more may come.
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
		return false // the client has closed it meanwhile
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

// sendLines sends a line each interval, without waiting for answers, until the connection ends.
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
				return // read records how it ended
			}
		}
	}
}
