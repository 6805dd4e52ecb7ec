package admin

import (
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/netio/netiotest"
)

var seeds = []string{
	"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /v1/catalogue-servers/s%2D1/suspend?why=x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
	"POST /v1/catalogue-servers/a/resume HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2;q\r\nab\r\n0\r\nT: u\r\n\r\n",
	"\r\nGET http://x:1/v1/metrics HTTP/1.0\r\n\r\n", "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=c,d=1\r\n",
	"GET / HTTP/1.1\r\n\r\n", "GET / HTTP/2.0\r\nHost: x\r\n\r\n", "GET /%zz HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\nHost: x\n\n",
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "\x16\x03\x01\x02",
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "GET /" + strings.Repeat("x", maxTargetBytes) + " HTTP/1.1\r\n",
	"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", maxHeadBytes), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n",
}

// FuzzCall feeds a call byte by byte: what it comes to must not depend on the cut, nor on what follows it.
func FuzzCall(f *testing.F) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		complete, _, completeFault := parse(in)
		for n := range len(in) {
			r, _, fault := parse(in[:n])
			if r != nil && !reflect.DeepEqual(r, complete) || fault != 0 && completeFault == 0 {
				t.Fatalf("%d bytes gave %+v %d, all %+v %d", n, r, fault, complete, completeFault)
			}
			if r != nil || fault != 0 {
				return
			}
		}
	})
}

// fakeProxy is what the calls are about: it knows host a/b, and is called on the loop.
type fakeProxy struct{ calls []string }

func (p *fakeProxy) AcceptsClients() bool { return true }
func (p *fakeProxy) Metrics() []byte      { return []byte("concurrent=0\n") }
func (p *fakeProxy) SetSuspended(id string, out bool, done func(bool)) {
	p.calls = append(p.calls, fmt.Sprint(id, out))
	done(id == "a/b")
}

// startServer starts a server and gives what dials it.
func startServer(t *testing.T, capacity int) func() net.Conn {
	t.Helper()
	l := netio.NewLoop()
	if err := netio.Attach(l); err != nil {
		t.Fatal(err)
	}
	s, err := Listen(l, &fakeProxy{}, "127.0.0.1:0", capacity)
	if err != nil {
		t.Fatal(err)
	}
	netiotest.Start(t, l)
	return func() net.Conn {
		c, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(10 * time.Second))
		return c
	}
}

// call sends a call in one piece or, cut, byte by byte, and gives the status line, Allow and the body.
func call(t *testing.T, c net.Conn, call string, cut bool) string {
	t.Helper()
	if cut {
		for i := range len(call) {
			c.Write([]byte{call[i]})
		}
	} else {
		io.WriteString(c, call)
	}
	data, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%q: %v", call, err)
	}
	head, body, _ := strings.Cut(string(data), "\r\n\r\n")
	status, rest, _ := strings.Cut(head, "\r\n")
	if _, allow, ok := strings.Cut(rest, "Allow: "); ok {
		allow, _, _ = strings.Cut(allow, "\r\n")
		status += " [" + allow + "]"
	}
	return strings.TrimPrefix(status, "HTTP/1.1 ") + " " + strings.TrimSpace(body)
}

// Each call gets its answer, in one piece or byte by byte.
func TestCalls(t *testing.T) {
	dial := startServer(t, 4)
	for _, x := range [][2]string{
		{"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n", "200 OK ready"},
		{"HEAD /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n", "200 OK "},
		{"GET /v1/metrics?all HTTP/1.0\r\nConnection: close\r\n\r\n", "200 OK concurrent=0"},
		{"DELETE /v1/metrics HTTP/1.1\r\nHost: x\r\n\r\n", "405 Method Not Allowed [GET, HEAD] Method Not Allowed"},
		{"GET /v1/catalogue-servers/a/suspend HTTP/1.1\r\nHost: x\r\n\r\n", "405 Method Not Allowed [POST] Method Not Allowed"},
		{"POST /v1/catalogue-servers/a%2Fb/suspend HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi", `200 OK suspend "a/b"`},
		{"POST /v1/catalogue-servers/a%2Fb/resume HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
			`200 OK resume "a/b"`},
		{"POST /v1/catalogue-servers/c/resume HTTP/1.1\r\nHost: x\r\n\r\n", "404 Not Found no list has named this server"},
		{"GET /v2 HTTP/1.1\r\nHost: x\r\n\r\n", "404 Not Found Not Found"},
		{"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", "404 Not Found Not Found"},
		{"GET /v1/readyz HTTP/1.1\r\n\r\n", "400 Bad Request Bad Request"},
		{"GET /v1/readyz HTTP/3.1\r\nHost: x\r\n", "505 HTTP Version Not Supported HTTP Version Not Supported"},
		{seeds[4], "400 Bad Request Bad Request"},
		{seeds[15], "414 Request URI Too Long Request URI Too Long"},
		{seeds[16], "431 Request Header Fields Too Large Request Header Fields Too Large"},
		{seeds[17], "413 Request Entity Too Large Request Entity Too Large"},
	} {
		for _, cut := range []bool{false, true} {
			if got := call(t, dial(), x[0], cut && len(x[0]) < 200); got != x[1] {
				t.Errorf("%.60q cut=%t: got %q, want %q", x[0], cut, got, x[1])
			}
		}
	}
}

// A caller that waits for 100 Continue before its body gets it, once.
func TestExpectContinue(t *testing.T) {
	c := startServer(t, 1)()
	io.WriteString(c, "POST /v1/catalogue-servers/a%2Fb/suspend HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	got := make([]byte, 25)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "HTTP/1.1 100 Continue\r\n\r\n" {
		t.Fatalf("got %q, %v", got, err)
	}
	if got := call(t, c, "hi", false); got != `200 OK suspend "a/b"` {
		t.Errorf("got %q", got)
	}
}

// Two hundred callers stay whose calls are incomplete; a complete call among them is answered all the same, and the others get 408 or an end.
func TestIncompleteCallsDoNotDelayOthers(t *testing.T) {
	dial := startServer(t, 4)
	var incomplete []net.Conn
	for i := range 200 {
		c := dial()
		if i%2 == 0 {
			io.WriteString(c, "GET /v1/readyz HTTP/1.1\r\nHo")
		}
		incomplete = append(incomplete, c)
		if i%10 == 9 {
			if got := call(t, dial(), seeds[0], false); got != "200 OK ready" {
				t.Fatalf("after %d incomplete callers: %q", i+1, got)
			}
		}
	}
	for _, c := range incomplete {
		if data, _ := io.ReadAll(c); len(data) > 0 && !strings.HasPrefix(string(data), "HTTP/1.1 408 ") {
			t.Fatalf("an incomplete call got %q", data)
		}
	}
}
