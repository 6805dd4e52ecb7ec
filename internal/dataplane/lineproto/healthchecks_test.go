package lineproto

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/netio/netiotest"
	"croftlock/internal/dataplane/proxy"
)

var reports = []string{"x0=0.5,queue=2", "queue=2,x0=0.5", "x0=0.5,new=1,queue=2", "x0=0.5", "x0", "x0=", "x0=soon", "x0=NaN", "=1", ",", "", "x0=0x1p4",
	"pending=2,x0=0.5"}

func TestParseReport(t *testing.T) {
	fields := []string{"x0", "pending"}
	for i, s := range reports {
		r := ParseReport(s, fields)
		if want := i < 4 || i == 12; (r != nil) != want {
			t.Errorf("%q: %v", s, r)
		} else if want && (r[0] != 0.5 || !(r[1] == 2 || i == 3 && math.IsNaN(r[1]))) {
			t.Errorf("%q: %v", s, r)
		}
	}
	if ParseReport("x0=1", nil) != nil {
		t.Error("a report is read that the settings do not name")
	}
}

// FuzzReport: whatever a host says, the figures are as many as the settings name, and finite or missing.
func FuzzReport(f *testing.F) {
	for _, s := range reports {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if r := ParseReport(s, []string{"x0", "pending", "x1"}); r != nil && len(r) != 3 {
			t.Fatalf("%q: %v", s, r)
		}
	})
}

// checkRig is a host that answers health checks as the test has it, and a checker with capacity for one connection.
type checkRig struct {
	t        *testing.T
	loop     *netio.Loop
	checks   *HealthChecks
	address  string
	answers  chan string   // of the host, in order; each is sent in two pieces
	received chan net.Conn // the connection of each health check that the host has read
	results  chan string
}

func newCheckRig(t *testing.T) *checkRig {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	r := &checkRig{t: t, loop: netio.NewLoop(), address: ln.Addr().String(), answers: make(chan string, 8), received: make(chan net.Conn, 64), results: make(chan string, 8)}
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go r.serve(c)
		}
	}()
	netiotest.Run(t, r.loop)
	r.checks = NewHealthChecks(r.loop, PlainTCP(netio.NewDialer(r.loop, 4)), []string{"x0", "pending"}, 1)
	return r
}

// serve is the host's side of a connection.
func (r *checkRig) serve(c net.Conn) {
	for in := bufio.NewScanner(c); in.Scan() && in.Text() == "STATS"; {
		r.received <- c
		answer := <-r.answers
		fmt.Fprint(c, answer[:len(answer)/2])
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(c, answer[len(answer)/2:])
	}
	c.Close()
}

// check begins a health check of a host, at the one address that there is.
func (r *checkRig) check(host string) {
	r.loop.Post(func() {
		r.checks.Check(proxy.Target{ID: host, Address: r.address}, func(s balancer.AttemptStatus, load []float64) { r.results <- fmt.Sprint(s, load) })
	})
}

// expect waits for the next result.
func (r *checkRig) expect(want string) {
	r.t.Helper()
	select {
	case got := <-r.results:
		if got != want {
			r.t.Fatalf("%s, want %s", got, want)
		}
	case <-time.After(20 * time.Second):
		r.t.Fatalf("no result, want %s", want)
	}
}

// Health checks of hosts that answer, answer late, break off, and refuse the connection.
func TestHealthChecks(t *testing.T) {
	r := newCheckRig(t)
	r.answers <- "PONG x0=0.5,queue=2\r\n"
	r.check("s1")
	r.expect("ok [0.5 2]")
	r.answers <- "ERR x0=0.75,queue=0\r\n"
	r.check("s1")
	r.expect("error [0.75 0]")
	if first, second := <-r.received, <-r.received; first != second {
		t.Error("two connections for two health checks of one host")
	}
	r.check("s2") // the first host's connection ends, since there is capacity for one; this one is never answered
	r.expect("timeout []")
	<-r.received
	r.check("s3")
	(<-r.received).Close()
	r.expect("reset []")
	r.check("s4")
	r.check("s5") // the one connection is in use
	r.expect("moot []")
	r.loop.Post(func() { r.checks.Forget("s4") })
	r.expect("cancelled []")
	for range 3 {
		r.answers <- strings.Repeat("x", 10) + "\r\n" // the answers that nobody waits for any more
	}
	r.answers <- "NO\r\n"
	for range 2 {
		r.check("s6")
		time.Sleep(20 * time.Millisecond)
	}
	for denied := false; !denied; {
		select {
		case got := <-r.results:
			denied = got == "moot []"
		default:
			r.check("s6")
			time.Sleep(20 * time.Millisecond)
		}
	}
}
