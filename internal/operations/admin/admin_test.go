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

// seeds holds valid and invalid requests for FuzzCall. TestCalls uses some of them by their index.
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

// FuzzCall parses every prefix of an input: the result must depend neither on how the input is
// split into reads nor on what follows the request.
func FuzzCall(f *testing.F) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		complete, _, completeFault := parse(in)
		for n := range len(in) {
			r, _, fault := parse(in[:n])
			if r != nil && !reflect.DeepEqual(r, complete) || fault != 0 && completeFault == 0 {
				t.Fatalf("parse(%q) = %+v, fault %d; parse(%q) = %+v, fault %d", in[:n], r, fault, in, complete, completeFault)
			}
			if r != nil || fault != 0 {
				return
			}
		}
	})
}

// fakeProxy is a Proxy that knows only the host a/b. It records the calls of SetSuspended.
type fakeProxy struct{ calls []string }

func (p *fakeProxy) AcceptsClients() bool { return true }
func (p *fakeProxy) Metrics() []byte      { return []byte("concurrent=0\n") }
func (p *fakeProxy) SetSuspended(id string, suspended bool, done func(bool)) {
	p.calls = append(p.calls, fmt.Sprint(id, suspended))
	done(id == "a/b")
}

// startServer starts a server for at most capacity callers on a loop that runs until the test's end.
// It returns a function that opens a connection to the server with a deadline of 10 s.
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

// call sends a request, in one write for each byte if byByte is true, and reads the answer. It returns
// the status line without the version, the value of Allow in brackets if there is one, and the body.
func call(t *testing.T, c net.Conn, request string, byByte bool) string {
	t.Helper()
	if byByte {
		for i := range len(request) {
			c.Write([]byte{request[i]})
		}
	} else {
		io.WriteString(c, request)
	}
	data, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("request %q: reading the answer: %v", request, err)
	}
	head, body, _ := strings.Cut(string(data), "\r\n\r\n")
	status, rest, _ := strings.Cut(head, "\r\n")
	if _, allow, ok := strings.Cut(rest, "Allow: "); ok {
		allow, _, _ = strings.Cut(allow, "\r\n")
		status += " [" + allow + "]"
	}
	return strings.TrimPrefix(status, "HTTP/1.1 ") + " " + strings.TrimSpace(body)
}

// TestCalls tests the answer to each call, sent in one piece and byte by byte.
func TestCalls(t *testing.T) {
	dial := startServer(t, 4)
	for _, tc := range [][2]string{
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
		for _, byByte := range []bool{false, true} {
			if got := call(t, dial(), tc[0], byByte && len(tc[0]) < 200); got != tc[1] {
				t.Errorf("request %.60q, byte by byte %t: got %q, want %q", tc[0], byByte, got, tc[1])
			}
		}
	}
}

// TestExpectContinue tests that a caller that waits for 100 Continue before its body gets it, once.
func TestExpectContinue(t *testing.T) {
	c := startServer(t, 1)()
	io.WriteString(c, "POST /v1/catalogue-servers/a%2Fb/suspend HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	got := make([]byte, 25)
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "HTTP/1.1 100 Continue\r\n\r\n" {
		t.Fatalf("before the body: got %q, error %v, want 100 Continue", got, err)
	}
	if got, want := call(t, c, "hi", false), `200 OK suspend "a/b"`; got != want {
		t.Errorf("after the body: got %q, want %q", got, want)
	}
}

// TestIncompleteCallsDoNotDelayOthers tests that a complete call is answered while 200 callers with
// incomplete calls are connected, and that those get status 408 or no answer.
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
				t.Fatalf("complete call after %d incomplete ones: got %q, want %q", i+1, got, "200 OK ready")
			}
		}
	}
	for _, c := range incomplete {
		if data, _ := io.ReadAll(c); len(data) > 0 && !strings.HasPrefix(string(data), "HTTP/1.1 408 ") {
			t.Fatalf("an incomplete call got %q, want status 408 or nothing", data)
		}
	}
}
