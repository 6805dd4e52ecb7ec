package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// newID returns a new id of 16 hexadecimal digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// openLine returns a first line without its end.
func openLine(id, tenant string, wait time.Duration) string {
	return fmt.Sprintf("OPEN %s %s c=catalogue-session,t=%s,d=%d,g=%s", id, newID(), tenant, wait.Milliseconds(), newID())
}

// client is a connection of a client.
type client struct {
	id   string
	conn net.Conn
	in   *bufio.Reader
}

// open connects, sends a first line and waits for the answer, half a second longer than the client's time. The answer is the whole
// line; "" means that the connection ended, or the time was up, without one.
func open(addr, line string, wait time.Duration) (*client, string) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, "unreachable"
	}
	c := &client{id: strings.Fields(line)[1], conn: conn, in: bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(wait + 550*time.Millisecond))
	fmt.Fprintf(conn, "%s\r\n", line)
	text, err := c.in.ReadString('\n')
	if err != nil {
		conn.Close()
		return nil, ""
	}
	conn.SetDeadline(time.Time{})
	return c, strings.TrimRight(text, "\r\n")
}

// exchange sends a line and waits for the line back.
func (c *client) exchange(text string, within time.Duration) (string, error) {
	c.conn.SetDeadline(time.Now().Add(within))
	if _, err := fmt.Fprintf(c.conn, "%s\r\n", text); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}
