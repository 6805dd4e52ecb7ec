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

// Probes against a host that says what the test has it say, in two pieces where it can be cut.
func TestProbes(t *testing.T) {
	said, asked := make(chan string, 8), make(chan net.Conn, 64)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go func() {
				for in := bufio.NewScanner(c); in.Scan() && in.Text() == "STATS"; {
					asked <- c
					answer := <-said
					fmt.Fprint(c, answer[:len(answer)/2])
					time.Sleep(5 * time.Millisecond)
					fmt.Fprint(c, answer[len(answer)/2:])
				}
				c.Close()
			}()
		}
	}()
	l := netio.NewLoop()
	netiotest.Run(t, l)
	p := NewHealthChecks(l, PlainTCP(netio.NewDialer(l, 4)), []string{"x0", "pending"}, 1)
	results := make(chan string, 8)
	probe := func(host string) {
		l.Post(func() {
			p.Check(proxy.Target{ID: host, Address: ln.Addr().String()}, func(s balancer.AttemptStatus, load []float64) { results <- fmt.Sprint(s, load) })
		})
	}
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-results:
			if got != want {
				t.Fatalf("%s, want %s", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("no result, want %s", want)
		}
	}
	said <- "PONG x0=0.5,queue=2\r\n"
	probe("s1")
	expect("ok [0.5 2]")
	said <- "ERR x0=0.75,queue=0\r\n"
	probe("s1")
	expect("error [0.75 0]")
	if first, second := <-asked, <-asked; first != second {
		t.Error("two connections for two probes of one host")
	}
	probe("s2") // there is room for one connection: the first one's goes; this one is never answered
	expect("timeout []")
	<-asked
	probe("s3")
	(<-asked).Close()
	expect("reset []")
	probe("s4")
	probe("s5") // the one connection is in use
	expect("moot []")
	l.Post(func() { p.Forget("s4") })
	expect("cancelled []")
	for range 3 {
		said <- strings.Repeat("x", 10) + "\r\n" // the answers that nobody waits for any more
	}
	said <- "NO\r\n"
	for range 2 {
		probe("s6")
		time.Sleep(20 * time.Millisecond)
	}
	for done := false; !done; {
		select {
		case got := <-results:
			done = got == "moot []"
		default:
			probe("s6")
			time.Sleep(20 * time.Millisecond)
		}
	}
}
