// Package admin is the operators' front: a listener for their calls, HTTP/1.1 with one call a connection. It owns the
// callers' connections and what HTTP asks of them; what a call means is the core's.
package admin

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"croftlock/internal/dataplane/netio"
)

const (
	// wholeCall is how long after connecting a call may take to be whole.
	wholeCall = 2 * time.Second
	// inputLimit holds the longest call with room to spare.
	inputLimit = maxHead + 2*maxBody
)

// Proxy is what the calls are about.
type Proxy interface {
	// Serves tells whether this process serves.
	Serves() bool
	// Metrics is the text of all figures.
	Metrics() []byte
	// Suspend has nothing more go to a host, or ends that. done is called once the change will outlive this process, or
	// with false at once where no list has ever named the host.
	Suspend(id string, out bool, done func(known bool))
}

// Front takes operators' calls.
type Front struct {
	loop *netio.Loop
	to   Proxy
	// callers are the connections, the one that has been quiet longest first. They have room of their own, so that
	// hundreds that say nothing take no descriptor that a client needs, and the longest quiet makes room for the next.
	callers list.List
	room    int
	addr    net.Addr
}

// Listen serves calls on addr, with room for so many callers at a time.
func Listen(l *netio.Loop, to Proxy, addr string, room int) (*Front, error) {
	f := &Front{loop: l, to: to, room: room}
	var err error
	f.addr, err = netio.Listen(l, addr, inputLimit, f.accept)
	return f, err
}

// Addr is where it listens.
func (f *Front) Addr() net.Addr { return f.addr }

func (f *Front) accept(c *netio.Conn) netio.Handler {
	k := &caller{front: f, conn: c}
	c.WhenGone(k.gone)
	if f.callers.Len() >= f.room {
		f.callers.Front().Value.(*caller).drop()
	}
	k.place = f.callers.PushBack(k)
	k.limit = f.loop.After(wholeCall, k.late)
	return k
}

// caller is one operator's connection.
type caller struct {
	front   *Front
	conn    *netio.Conn
	place   *list.Element
	limit   *netio.Timer
	told    bool // it has been told to go on with its body
	called  bool // its call is whole, and answered or being so
	replied bool
}

func (k *caller) Data(c *netio.Conn) {
	if k.called {
		c.Consume(len(c.Input())) // one call a connection; what follows it is not read
		return
	}
	if k.place != nil {
		k.front.callers.MoveToBack(k.place)
	}
	r, expecting, f := parse(c.Input())
	switch {
	case f != 0:
		k.called = true
		k.reply(int(f), "", nil, false)
	case r != nil:
		k.called = true
		k.limit.Stop()
		k.serve(r)
	case expecting && !k.told:
		k.told = true
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// Writable is nothing to a caller: what it is told fits the kernel's buffer, or is finished by the connection.
func (k *caller) Writable(*netio.Conn) {}

func (k *caller) Closed(*netio.Conn, *netio.Error) {
	k.replied = true
	k.limit.Stop()
}

func (k *caller) gone() {
	if k.place != nil {
		k.front.callers.Remove(k.place)
		k.place = nil
	}
}

// late ends a call that has not become whole.
func (k *caller) late() {
	if len(k.conn.Input()) == 0 && !k.called {
		k.conn.Close() // nothing was said, so nothing is answered
		return
	}
	k.called = true
	k.reply(http.StatusRequestTimeout, "", nil, false)
}

// drop makes room for the next caller.
func (k *caller) drop() {
	if !k.conn.Over() && len(k.conn.Input()) > 0 {
		k.late()
	}
	k.limit.Stop()
	k.conn.Drop()
	k.gone()
}

// serve answers a whole call.
func (k *caller) serve(r *request) {
	head := r.method == http.MethodHead
	get := r.method == http.MethodGet || head
	p := r.path
	allow := ""
	switch {
	case len(p) == 2 && p[0] == "v1" && p[1] == "readyz":
		switch {
		case !get:
			allow = "GET, HEAD"
		case k.front.to.Serves():
			k.reply(http.StatusOK, "", []byte("ready\n"), head)
			return
		default:
			k.reply(http.StatusServiceUnavailable, "", []byte("not ready\n"), head)
			return
		}
	case len(p) == 2 && p[0] == "v1" && p[1] == "metrics":
		if get {
			k.reply(http.StatusOK, "", k.front.to.Metrics(), head)
			return
		}
		allow = "GET, HEAD"
	case len(p) == 4 && p[0] == "v1" && p[1] == "catalogue-servers" && p[2] != "" && (p[3] == "suspend" || p[3] == "resume"):
		if r.method == http.MethodPost {
			k.front.to.Suspend(p[2], p[3] == "suspend", func(known bool) {
				if !known {
					k.reply(http.StatusNotFound, "", []byte("no list has named this server\n"), false)
					return
				}
				k.reply(http.StatusOK, "", []byte(p[3]+" "+strconv.Quote(p[2])+"\n"), false)
			})
			return
		}
		allow = "POST"
	}
	if allow != "" {
		k.reply(http.StatusMethodNotAllowed, allow, nil, head)
		return
	}
	k.reply(http.StatusNotFound, "", nil, head)
}

// reply is the one answer of a call. A body of nil is the status in words.
func (k *caller) reply(status int, allow string, body []byte, head bool) {
	if k.replied || k.conn.Over() {
		return
	}
	k.replied = true
	k.limit.Stop()
	if body == nil {
		body = []byte(http.StatusText(status) + "\n")
	}
	if status >= 400 {
		slog.Debug("admin_call_rejected", "status", status)
	}
	out := []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) +
		"\r\nContent-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\n")
	if allow != "" {
		out = append(out, "Allow: "+allow+"\r\n"...)
	}
	out = append(out, "Content-Length: "+strconv.Itoa(len(body))+"\r\nConnection: close\r\n\r\n"...)
	if !head {
		out = append(out, body...)
	}
	k.conn.Write(out)
	k.conn.Finish()
}
