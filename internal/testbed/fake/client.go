package fake

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Client is one connection of a line client's.
type Client struct {
	ID     string
	conn   net.Conn
	reader *bufio.Reader
}

// NewID makes an id that no other has.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Answer is what a client got for its first line.
type Answer struct {
	Kind string // UP, BUSY, ERR, or NONE where none came in time
	Text string
	Took time.Duration
}

// Open connects to a proxy and asks for a connection; extra is added to its first line, such as "at=s1". It waits for an
// answer as long as the client would, and a second longer, so that an answer that is late shows as one.
func Open(proxy, class, extra string, wait time.Duration) (*Client, Answer, error) {
	conn, err := net.DialTimeout("tcp", proxy, 5*time.Second)
	if err != nil {
		return nil, Answer{Kind: "NONE"}, err
	}
	c := &Client{ID: NewID(), conn: conn, reader: bufio.NewReaderSize(conn, 512)}
	line := fmt.Sprintf("OPEN %s %s c=%s,d=%d", c.ID, NewID(), class, wait.Milliseconds())
	if extra != "" {
		line += "," + extra
	}
	began := time.Now()
	conn.SetDeadline(began.Add(wait + time.Second))
	fmt.Fprint(conn, line+"\r\n")
	text, err := c.reader.ReadString('\n')
	a := Answer{Kind: "NONE", Text: strings.TrimSpace(text), Took: time.Since(began)}
	if err != nil {
		conn.Close()
		return nil, a, err
	}
	conn.SetDeadline(time.Time{})
	a.Kind, _, _ = strings.Cut(a.Text, " ")
	if a.Kind != "UP" {
		if a.Kind != "BUSY" {
			a.Kind = "ERR"
		}
		conn.Close()
		return nil, a, nil
	}
	return c, a, nil
}

// Ask sends a line and waits for the one that answers it. moved says that the answer was MOVE.
func (c *Client) Ask(text string, within time.Duration) (took time.Duration, moved bool, err error) {
	began := time.Now()
	c.conn.SetDeadline(began.Add(within))
	if _, err = fmt.Fprint(c.conn, text+"\r\n"); err != nil {
		return 0, false, err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return 0, false, err
	}
	if strings.HasPrefix(line, "MOVE") {
		return 0, true, nil
	}
	if line != "GOT "+text+"\r\n" {
		return 0, false, fmt.Errorf("sent %q, got %q", text, line)
	}
	return time.Since(began), false, nil
}

// Wait waits for a line that nobody asked for.
func (c *Client) Wait(within time.Duration) (string, error) {
	c.conn.SetReadDeadline(time.Now().Add(within))
	line, err := c.reader.ReadString('\n')
	return strings.TrimSpace(line), err
}

// Close ends it.
func (c *Client) Close() { c.conn.Close() }
