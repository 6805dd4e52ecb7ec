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

// reports are load reports, of which the first four and the last are valid for the fields x0 and pending.
var reports = []string{"x0=0.5,queue=2", "queue=2,x0=0.5", "x0=0.5,new=1,queue=2", "x0=0.5", "x0", "x0=", "x0=soon", "x0=NaN", "=1", ",", "", "x0=0x1p4",
	"pending=2,x0=0.5"}

// A report is read into the settings' order of fields. Its own order does not matter, and unknown fields are
// ignored.
func TestParseReport(t *testing.T) {
	fields := []string{"x0", "pending"}
	for i, s := range reports {
		r := ParseReport(s, fields)
		if want := i < 4 || i == 12; (r != nil) != want {
			t.Errorf("ParseReport(%q, %q) = %v, want a report: %t", s, fields, r, want)
		} else if want && (r[0] != 0.5 || !(r[1] == 2 || i == 3 && math.IsNaN(r[1]))) {
			t.Errorf("ParseReport(%q, %q) = %v, want 0.5 and 2, or NaN if the second is missing", s, fields, r)
		}
	}
	if ParseReport("x0=1", nil) != nil {
		t.Error("ParseReport(\"x0=1\", nil) returned a report, want nil")
	}
}

// FuzzReport checks that ParseReport returns nil or one figure for each field, for any input.
func FuzzReport(f *testing.F) {
	for _, s := range reports {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if r := ParseReport(s, []string{"x0", "pending", "x1"}); r != nil && len(r) != 3 {
			t.Fatalf("ParseReport(%q) = %v, want 3 figures or nil", s, r)
		}
	})
}

// checkRig is a host that sends the given answers to health checks, and a checker with capacity for one
// connection.
type checkRig struct {
	t        *testing.T
	loop     *netio.Loop
	checks   *HealthChecks
	address  string
	answers  chan string   // the host's answers in order; each is sent in two pieces
	received chan net.Conn // the connection of each health check that the host has read
	results  chan string   // the status and the load of each health check that has ended
}

// newCheckRig starts a host and a health checker that checks it.
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

// serve answers health checks on one connection of the host.
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

// check starts a health check of a host. All hosts have the same address.
func (r *checkRig) check(host string) {
	r.loop.Post(func() {
		r.checks.Check(proxy.Target{ID: host, Address: r.address}, func(s balancer.AttemptStatus, load []float64) { r.results <- fmt.Sprint(s, load) })
	})
}

// expect waits for the next result and checks it.
func (r *checkRig) expect(want string) {
	r.t.Helper()
	select {
	case got := <-r.results:
		if got != want {
			r.t.Fatalf("the health check ended with %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		r.t.Fatalf("no health check ended within 20 s, want %q", want)
	}
}

// Health checks of hosts that answer, fail, never answer, close the connection, and answer NO; checks
// beyond the capacity; and cancelled ones.
func TestHealthChecks(t *testing.T) {
	r := newCheckRig(t)
	r.answers <- "PONG x0=0.5,queue=2\r\n"
	r.check("s1")
	r.expect("ok [0.5 2]")
	r.answers <- "ERR x0=0.75,queue=0\r\n"
	r.check("s1")
	r.expect("error [0.75 0]")
	if first, second := <-r.received, <-r.received; first != second {
		t.Error("two health checks of one host used two connections, want one")
	}
	r.check("s2") // evicts the connection of s1, and is never answered
	r.expect("timeout []")
	<-r.received
	r.check("s3")
	(<-r.received).Close()
	r.expect("reset []")
	r.check("s4")
	r.check("s5") // the only connection is in use
	r.expect("moot []")
	r.loop.Post(func() { r.checks.Forget("s4") })
	r.expect("cancelled []")
	for range 3 {
		r.answers <- strings.Repeat("x", 10) + "\r\n" // answers to the checks that have ended
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
