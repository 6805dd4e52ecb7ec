package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// crowd is the clients that a front sends to one or more proxies.
type crowd struct {
	s       *stage
	addrs   func() []string // of the proxies that the front sends clients to now
	tenant  string          // of all clients; if it is empty, they have one by the shares of the settings
	groups  []string        // the groups that clients belong to; if there are none, each client is a group
	stopped chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// outcome is what became of one request.
type outcome struct {
	id       string
	addr     string
	sentAt   time.Time
	answer   string // the first line; "refused" if the connection was not accepted, "" if it ended or stayed without a line
	answerAt time.Time
	detail   string
}

const clientWait = 4800 * time.Millisecond

// newCrowd starts clients at a rate a second, each of which stays for some seconds, sends a line every 2 s, and comes again if it is told to move.
func newCrowd(s *stage, perSecond float64, stay time.Duration, addrs func() []string) *crowd {
	return newGroupedCrowd(s, perSecond, stay, addrs, nil)
}

// newGroupedCrowd is newCrowd with clients that belong to groups.
func newGroupedCrowd(s *stage, perSecond float64, stay time.Duration, addrs func() []string, groups []string) *crowd {
	return (&crowd{s: s, addrs: addrs, groups: groups, stopped: make(chan struct{})}).start(perSecond, stay)
}

// start starts the clients.
func (c *crowd) start(perSecond float64, stay time.Duration) *crowd {
	s := c.s
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		for {
			select {
			case <-c.stopped:
				return
			case <-time.After(time.Duration(float64(time.Second) / perSecond)):
				c.wg.Add(1)
				go func() {
					defer c.wg.Done()
					c.client(time.Now().Add(time.Duration(float64(stay) * (0.5 + rand.Float64()))))
				}()
			}
		}
	}()
	s.onEnd(c.stop)
	return c
}

func (c *crowd) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stopped:
	default:
		close(c.stopped)
	}
}

func (c *crowd) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// hex returns 16 hexadecimal digits.
func hex() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client plays one client until a time.
func (c *crowd) client(until time.Time) {
	group, key, more := hex(), hex(), ""
	if len(c.groups) > 0 {
		group = c.groups[rand.IntN(len(c.groups))]
	}
	for time.Now().Before(until) && !c.isStopped() {
		if !c.connection(until, key, group, more) {
			return
		}
		more = ",again=1"
		time.Sleep(time.Duration(50+rand.IntN(1650)) * time.Millisecond)
	}
}

// connection plays one connection, and reports whether the client comes again.
func (c *crowd) connection(until time.Time, key, group, more string) (again bool) {
	addrs := c.addrs()
	if len(addrs) == 0 {
		return true
	}
	addr := addrs[rand.IntN(len(addrs))]
	tenant := "central-library" // by the shares of the settings
	switch n := rand.IntN(100); {
	case n >= 93:
		tenant = "kirtipur-branch"
	case n >= 79:
		tenant = "bhaktapur-branch"
	case n >= 46:
		tenant = "lalitpur-branch"
	}
	if c.tenant != "" {
		tenant = c.tenant
	}
	o := outcome{id: hex(), addr: addr}
	line := fmt.Sprintf("OPEN %s %s c=catalogue-session,t=%s,d=%d,g=%s%s\r\n", o.id, key, tenant, clientWait.Milliseconds(), group, more)
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		o.sentAt, o.answer, o.detail = time.Now(), "refused", err.Error()
		c.done(o)
		return true
	}
	defer conn.Close()
	fmt.Fprint(conn, line)
	o.sentAt = time.Now()
	in := bufio.NewReader(conn)
	conn.SetReadDeadline(o.sentAt.Add(clientWait + time.Second))
	answer, err := in.ReadString('\n')
	o.answer, o.answerAt = strings.TrimSpace(answer), time.Now()
	if err != nil {
		o.answer, o.detail = "", err.Error()
	}
	c.done(o)
	if !strings.HasPrefix(o.answer, "UP ") {
		return true
	}
	return c.session(conn, in, o, until)
}

// session sends a line every 2 s, and reads until the connection ends. It reports whether the client comes again.
func (c *crowd) session(conn net.Conn, in *bufio.Reader, o outcome, until time.Time) bool {
	lines := make(chan string)
	go func() {
		defer close(lines)
		conn.SetReadDeadline(time.Time{})
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			lines <- line
		}
	}()
	defer func() {
		conn.Close()
		for range lines {
		}
	}()
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for n := 0; ; {
		select {
		case <-c.stopped:
			return false
		case <-time.After(time.Until(until)):
			return false
		case <-tick.C:
			n++
			fmt.Fprintf(conn, "LINE %d\r\n", n)
		case line, open := <-lines:
			if !open || line == "MOVE\r\n" {
				return true
			}
		}
	}
}

func (c *crowd) done(o outcome) {
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	c.s.noteAt(o.sentAt, "request %s at %s: %q after %d ms %s", o.id, o.addr, o.answer, o.answerAt.Sub(o.sentAt).Milliseconds(), o.detail)
}

// addrsByID returns the address of the proxy to which each request went.
func (c *crowd) addrsByID() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addrs := map[string]string{}
	for _, o := range c.outcomes {
		addrs[o.id] = o.addr
	}
	return addrs
}

// summary writes how many requests had which answer.
func (c *crowd) summary() {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, o := range c.outcomes {
		kind, _, _ := strings.Cut(o.answer, " ")
		counts[kind]++
	}
	c.s.say("requests by answer: %v", counts)
}
