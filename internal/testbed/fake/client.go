package fake

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Client is a client's connection to a proxy.
type Client struct {
	ID     string // request ID
	conn   net.Conn
	reader *bufio.Reader
}

// NewID returns a random ID in the form of request and group IDs: 16 hexadecimal digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Answer is the proxy's answer to a request.
type Answer struct {
	Kind    string        // UP, BUSY, ERR, or NONE if no answer came in time
	Text    string        // the whole line without its line end
	Latency time.Duration // time from sending the request
}

// Open connects to a proxy and sends a request. If extra is not empty, Open appends it to the
// request line's fields, for example "at=s1". It waits for the answer a second longer than wait, so
// that callers can tell a late answer from a missing one. The client is nil unless the answer is
// UP.
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
	startedAt := time.Now()
	conn.SetDeadline(startedAt.Add(wait + time.Second))
	fmt.Fprint(conn, line+"\r\n")
	text, err := c.reader.ReadString('\n')
	a := Answer{Kind: "NONE", Text: strings.TrimSpace(text), Latency: time.Since(startedAt)}
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

// Exchange sends a line and waits for its answer. It reports whether the answer was MOVE; then took
// is zero.
func (c *Client) Exchange(text string, within time.Duration) (took time.Duration, migrated bool, err error) {
	startedAt := time.Now()
	c.conn.SetDeadline(startedAt.Add(within))
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
	return time.Since(startedAt), false, nil
}

// ReadLine waits for a line and returns it without its line end.
func (c *Client) ReadLine(within time.Duration) (string, error) {
	c.conn.SetReadDeadline(time.Now().Add(within))
	line, err := c.reader.ReadString('\n')
	return strings.TrimSpace(line), err
}

// Close closes the client's connection.
func (c *Client) Close() { c.conn.Close() }
