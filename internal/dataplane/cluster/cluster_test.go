package cluster

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/netio/netiotest"
	"croftlock/internal/dataplane/proxy"
)

// responseSeeds are inputs for parseResponse. The first four and "HTTP/1.1 200\r\n\r\n" are valid.
var responseSeeds = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: x\r\n\r\nrest",
	"HTTP/1.0 200 OK\r\n\r\nuntil the end",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\nConnection: close\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
	"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 20", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200\r\n\r\n",
	"SSH-2.0-x\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 200 OK\r\nbad\r\n\r\n", "",
}

// FuzzResponse parses each prefix of the input. A prefix may be incomplete. The first result or error that a
// prefix yields must agree with the result for the complete input, and no input may cause a panic or exceed
// the limits.
func FuzzResponse(f *testing.F) {
	for _, s := range responseSeeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		complete, completeErr := parseResponse(in, true)
		if complete != nil && (complete.length > len(in) || len(complete.body) > maxBodyBytes) {
			t.Fatalf("parseResponse used %d of %d bytes and returned a body of %d bytes, want at most %d", complete.length, len(in), len(complete.body), maxBodyBytes)
		}
		for n := range len(in) {
			r, err := parseResponse(in[:n], false)
			if r != nil && (complete == nil || r.status != complete.status || r.length != complete.length ||
				!bytes.Equal(r.body, complete.body)) {
				t.Fatalf("the first %d bytes parse to %+v, the complete input to %+v, %v", n, r, complete, completeErr)
			}
			if err != nil && completeErr == nil {
				t.Fatalf("the first %d bytes cause the error %v, the complete input none", n, err)
			}
			if r != nil || err != nil {
				return
			}
		}
	})
}

// Valid responses of all supported forms are parsed, and invalid or incomplete ones cause an error.
func TestResponses(t *testing.T) {
	for i, want := range []string{"200 hello 43 false", "200 abcde 77 false", "200 until the end 32 true", "204  65 true"} {
		r, err := parseResponse([]byte(responseSeeds[i]), true)
		if err != nil {
			t.Errorf("parseResponse(%q) returned the error %v, want none", responseSeeds[i], err)
		} else if got := fmt.Sprintf("%d %s %d %t", r.status, r.body, r.length, r.closes); got != want {
			t.Errorf("parseResponse(%q) = %s, want %s (status, body, length, closes)", responseSeeds[i], got, want)
		}
	}
	for _, s := range responseSeeds[4:] {
		if r, err := parseResponse([]byte(s), true); err == nil && s != "HTTP/1.1 200\r\n\r\n" {
			t.Errorf("parseResponse(%q) = %+v, want an error", s, r)
		}
	}
	if _, err := parseResponse([]byte("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", maxHeadBytes)), false); err == nil {
		t.Errorf("parseResponse of a head with more than %d bytes returned no error", maxHeadBytes)
	}
}

// ParseList parses a change of an endpoint list with all fields of a host. Invalid lists cause an error.
func TestParse(t *testing.T) {
	ch, err := ParseList([]byte(`{"rev":43,"all":false,"targets":[{"uid":"s","endpoint":"1.2.3.4:5","az":"a","model":"m",
		"pod_group":3,"state":"draining","capacity_hint":1.5,"boot_ms":1700000000123,"new":1},
		{"uid":"t","state":"removed"}]}`))
	if err != nil || ch.Kind != balancer.ListDelta || ch.Version != 43 || len(ch.Hosts) != 2 {
		t.Fatalf("ParseList returned %+v and the error %v; want a change with version 43 and 2 hosts", ch, err)
	}
	if h := ch.Hosts[0]; h.StartedAt != 1700000000123000000 || h.State != balancer.Draining || h.Address != "1.2.3.4:5" ||
		h.Weight != 1.5 || h.Cell != 3 || h.Zone != "a" || h.Kind != "m" {
		t.Fatalf("the first host is %+v, want StartedAt 1700000000123000000, draining, 1.2.3.4:5, weight 1.5, cell 3, zone a, kind m", h)
	}
	for _, bad := range []string{"", "[]", `{"all":true}`, `{"rev":1,"targets":[{"uid":"s","endpoint":"x","state":"odd"}]}`,
		`{"rev":1,"targets":[{"uid":"s","state":"up"}]}`, `{"rev":1,"targets":[{"endpoint":"x","state":"up"}]}`} {
		if _, err := ParseList([]byte(bad)); err == nil {
			t.Errorf("ParseList(%s) returned no error, want one", bad)
		}
	}
}

// listen listens on a free port until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// discoveryWithAnswers starts a discovery service that sends the answers in order, and does not answer later
// calls. An answer is a status of three digits, a blank and the body. The service sends name and the target
// of each call to calls.
func discoveryWithAnswers(t *testing.T, calls chan<- string, name string, answers ...string) (addr string) {
	t.Helper()
	ln := listen(t)
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			t.Cleanup(func() { c.Close() })
			in := bufio.NewScanner(c)
			for in.Scan() && strings.HasPrefix(in.Text(), "GET ") {
				calls <- name + " " + strings.Fields(in.Text())[1]
				for in.Scan() && in.Text() != "" {
				}
				if len(answers) == 0 {
					continue // the call gets no answer
				}
				fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", answers[0][:3], len(answers[0])-4, answers[0][4:])
				answers = answers[1:]
			}
		}
	}()
	return ln.Addr().String()
}

// After a redirect the client at once fetches the complete list of the new service, since its versions are
// not comparable with those of the old one. Neither the end of the call in flight at the old service nor a
// first failure of the new one is reported.
func TestRedirect(t *testing.T) {
	calls := make(chan string, 16)
	l := netio.NewLoop()
	netiotest.Run(t, l)
	changes := make(chan proxy.WatchEvent, 16)
	old := discoveryWithAnswers(t, calls, "old")
	c := NewClient(l, netio.NewDialer(l, 4), Options{Address: old, ProxyCount: 3, Revision: 90, Notify: func(ch proxy.WatchEvent) { changes <- ch }})
	l.Post(func() { c.WatchList(true) })
	expect := func(want string) {
		t.Helper()
		if got := <-calls; got != want {
			t.Fatalf("the client called %s, want %s", got, want)
		}
	}
	expect("old /discovery/hosts?from=90&hold_ms=4000")
	addr := discoveryWithAnswers(t, calls, "new", "503 ", `200 {"rev":3,"all":true,"targets":[]}`)
	l.Post(func() { c.Redirect(addr); c.WatchList(true) })
	expect("new /discovery/hosts")
	expect("new /discovery/hosts")
	expect("new /discovery/hosts?from=3&hold_ms=4000")
	if ch := <-changes; ch.Kind != balancer.ListFull || ch.Version != 3 || len(changes) > 0 {
		t.Errorf("the client reported %+v and %d more events, want the complete list with version 3 and no more events", ch, len(changes))
	}
}

// The more proxies use a discovery service, the longer their watches wait, so that up to 80 proxies together
// make at most four calls a second and the discovery service can answer them. A watch waits for at least 4 s
// and at most 20 s.
func TestWatchesWaitLongerInALargerFleet(t *testing.T) {
	for _, c := range []struct {
		proxies int
		want    time.Duration
	}{{0, 4 * time.Second}, {1, 4 * time.Second}, {3, 4 * time.Second}, {16, 4 * time.Second}, {40, 10 * time.Second},
		{80, 20 * time.Second}, {1000, 20 * time.Second}} {
		k := NewClient(nil, nil, Options{Address: "127.0.0.1:1", ProxyCount: c.proxies})
		if k.watchTimeout != c.want {
			t.Errorf("the watch timeout for %d proxies is %v, want %v", c.proxies, k.watchTimeout, c.want)
		}
		if k.watchTimeout+watchAnswerTimeout >= k.watchTimeout+2*time.Second {
			t.Errorf("for %d proxies a call without an answer ends after %v, want less than 2 s after the watch timeout, since a later list counts as late",
				c.proxies, k.watchTimeout+watchAnswerTimeout)
		}
	}
}

// fullList returns a complete list of n hosts in the format of the discovery service.
func fullList(n int) []byte {
	var b strings.Builder
	b.WriteString(`{"rev":7,"all":true,"targets":[`)
	for i := 0; i < n; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"uid":"s-%08x","endpoint":"10.1.%d.%d:8081","az":"a","model":"m2","pod_group":3,"state":"up","capacity_hint":1.0,"boot_ms":0}`,
			i, i/250, i%250)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// Parsing a large list must cost at most 12 allocations a host. The cost of a host must not grow much with
// the length of the list.
func TestAllocationsOfParseList(t *testing.T) {
	allocationsPerHost := func(n int) float64 {
		data := fullList(n)
		return testing.AllocsPerRun(5, func() {
			ch, err := ParseList(data)
			if err != nil || len(ch.Hosts) != n {
				t.Fatalf("ParseList of %d hosts returned %d hosts and the error %v", n, len(ch.Hosts), err)
			}
		}) / float64(n)
	}
	small, large := allocationsPerHost(60), allocationsPerHost(1000)
	if large > 12 || large > small*1.5 {
		t.Errorf("ParseList of 1,000 hosts makes %.1f allocations a host, want at most 12, and at most 1.5 times the %.1f for a list of 60 hosts", large, small)
	}
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 60, 1000} {
		data := fullList(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				if _, err := ParseList(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
