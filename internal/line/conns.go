package line

import (
	"container/list"
	"net"
	"strings"
	"time"

	"croftlock/internal/netio"
	"croftlock/internal/proxy"
)

const (
	// firstLine is how long after connecting a downstream's first line may take, whole: a client that sends it in
	// pieces gets no more time for each. Who does not send one is owed its end within 3 s.
	firstLine = 2500 * time.Millisecond
	// betweenPings is how long a connection that has asked PING may stay: the front may keep one.
	betweenPings = 30 * time.Second
)

// inputLimit is how much a connection may have sent that nobody has taken before it is read no further: some lines of
// the longest kind.
const inputLimit = 4 * Max

// Front takes in clients. It turns their lines into the core's terms.
type Front struct {
	loop *netio.Loop
	core *proxy.Core
	// newcomers are the connections that hold a descriptor and no request: those without a first line yet, and those
	// that have been turned away and not hung up. They have room of their own, else hundreds of clients that say
	// nothing would turn away the ones that do; and the one that has been there longest makes room for the next.
	newcomers list.List
	room      int
	listener  *netio.Listener
}

// Addr is where it listens.
func (f *Front) Addr() net.Addr { return f.listener.Addr() }

// NewFront is for clients of the line protocol who come to a listener, with room for so many that have no request.
func NewFront(l *netio.Loop, core *proxy.Core, on *netio.Listener, room int) *Front {
	return &Front{loop: l, core: core, room: room, listener: on}
}

// Stop leaves clients that come from now on to another process that holds the listener.
func (f *Front) Stop() { f.listener.Stop() }

// Serve takes clients, after Stop again.
func (f *Front) Serve() error { return netio.Serve(f.loop, f.listener, inputLimit, f.accept) }

func (f *Front) accept(c *netio.Conn) netio.Handler {
	d := &downstream{front: f, conn: c}
	c.WhenGone(d.gone)
	if f.newcomers.Len() >= f.room {
		f.newcomers.Front().Value.(*downstream).drop()
	}
	d.place = f.newcomers.PushBack(d)
	d.idle = f.loop.After(firstLine, d.late)
	return d
}

// downstream is a client's connection.
type downstream struct {
	front   *Front
	conn    *netio.Conn
	req     *proxy.Request
	idle    *netio.Timer
	place   *list.Element // among the newcomers; nil once it has a request
	counted bool          // the core has given it room
	served  bool
}

var _ proxy.Downstream = (*downstream)(nil)

func (d *downstream) Data(c *netio.Conn) {
	if d.req == nil && !d.greet() {
		return
	}
	d.Pump()
}

// greet reads lines up to the one that opens a request, and tells whether it has come.
func (d *downstream) greet() bool {
	for !d.conn.Over() {
		line, err := Cut(d.conn.Input())
		if err != nil {
			d.reject(err)
			return false
		}
		if line == nil {
			return false
		}
		if string(text(line)) == "PING" {
			d.conn.Consume(len(line))
			// A proxy that is on its way out must not be taken in by the front.
			d.idle.Stop()
			d.idle = d.front.loop.After(betweenPings, d.late)
			if !d.front.core.Ready() || !d.conn.Write(pong) {
				d.finish()
				return false
			}
			continue
		}
		o, err := ParseOpen(line)
		d.conn.Consume(len(line))
		if err != nil {
			d.reject(err)
			return false
		}
		d.idle.Stop()
		if !d.front.core.Admit(o.Class) {
			d.Refuse(d.front.core.ComeBack())
			return false
		}
		d.counted = true
		d.front.newcomers.Remove(d.place)
		d.place = nil
		d.req = d.front.core.Open(d, &o.Opening, o)
		return d.req != nil
	}
	return false
}

// reject answers what is no request: a failure, nothing upstream.
func (d *downstream) reject(err error) {
	d.front.core.Rejected(err)
	d.Fail()
}

// Pump hands the client's lines on, as far as the other side takes them.
func (d *downstream) Pump() {
	for d.served && !d.conn.Over() {
		line, err := Cut(d.conn.Input())
		if err != nil {
			d.finish()
			d.req.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Dropped, Detail: err})
			return
		}
		if line == nil || !d.req.FromDownstream(proxy.Message{Text: line}) {
			return
		}
		d.conn.Consume(len(line))
	}
}

func (d *downstream) Writable(c *netio.Conn) {
	if d.req != nil {
		d.req.DownstreamReady()
	}
}

func (d *downstream) Closed(c *netio.Conn, err *netio.Error) {
	d.idle.Stop()
	if d.req != nil {
		d.req.DownstreamEnded(err)
	}
}

// gone gives back the room of a connection that holds no descriptor any more.
func (d *downstream) gone() {
	if d.counted {
		d.counted = false
		d.front.core.Left()
	}
	if d.place != nil {
		d.front.newcomers.Remove(d.place)
		d.place = nil
	}
}

// late ends a connection whose first line has not come in time: what began as a line gets an answer.
func (d *downstream) late() {
	if len(d.conn.Input()) > 0 {
		d.reject(errLate)
		return
	}
	d.conn.Close() // nothing was said, so nothing is lost
}

// drop ends a newcomer for the sake of the next.
func (d *downstream) drop() {
	d.idle.Stop()
	if !d.conn.Over() && len(d.conn.Input()) > 0 {
		d.conn.Write(fault)
	}
	d.conn.Drop()
	d.gone()
}

func (d *downstream) finish() {
	d.idle.Stop()
	d.conn.Finish()
}

// Serve passes the host's own acceptance on.
func (d *downstream) Serve(receipt proxy.Message) {
	d.conn.Write(receipt.Text)
	d.served = true
	// What the client sent along with its first line waits in the buffer.
	d.front.loop.Post(d.Pump)
}

// Pass hands on a line of the host's; false: not now.
func (d *downstream) Pass(m proxy.Message) bool { return d.conn.Write(m.Text) }

func (d *downstream) Refuse(after time.Duration) { d.last(busy(after)) }
func (d *downstream) Fail()                      { d.last(fault) }
func (d *downstream) Move()                      { d.last(move) }

// Goodbye is what Move says.
func (d *downstream) Goodbye() []byte { return move }

// Release lets go of the client's connection without ending it.
func (d *downstream) Release(done func(netio.Parts)) {
	d.idle.Stop()
	d.conn.Release(done)
}

// Resume goes on with an open connection that another process has handed over.
func (f *Front) Resume(s *proxy.Standing) {
	d := &downstream{front: f, counted: true, served: true}
	u := &upstream{loop: f.loop, stage: netio.Up}
	d.req, u.events = f.core.Resume(s, d, u)
	if err := netio.Resume(f.loop, s.Down, inputLimit, d, func(c *netio.Conn) {
		d.conn = c
		c.WhenGone(d.gone)
	}); err != nil {
		s.Up.Discard(nil)
		d.gone()
		d.req.DownstreamEnded(&netio.Error{Stage: netio.Up, Cause: netio.Broke, Detail: err})
		return
	}
	if err := netio.Resume(f.loop, s.Up, inputLimit, u, func(c *netio.Conn) { u.conn = c }); err != nil {
		u.finish(&netio.Error{Stage: netio.Up, Cause: netio.Broke, Detail: err})
		return
	}
	// What was read and not passed on waits in both buffers.
	f.loop.Post(d.Pump)
	f.loop.Post(u.Pump)
}

func (d *downstream) last(p []byte) {
	d.conn.Write(p)
	d.finish()
}

// End ends the client's connection as the host's ended.
func (d *downstream) End(cause netio.Cause) {
	d.idle.Stop()
	if cause == netio.Broke {
		d.conn.Abort()
		return
	}
	d.conn.Finish()
}

// Opener opens a connection to an upstream host within the time given, and calls done on the loop, once, unless what it
// gives back is called first.
type Opener func(to proxy.Target, within time.Duration, limit int, h netio.Handler,
	done func(*netio.Conn, *netio.Error)) (drop func())

// Plain opens connections without any layer.
func Plain(d *netio.Dialer) Opener {
	return func(to proxy.Target, within time.Duration, limit int, h netio.Handler,
		done func(*netio.Conn, *netio.Error)) func() {
		return d.Dial(to.Endpoint, within, limit, h, done).Drop
	}
}

// Hosts opens upstream requests.
type Hosts struct {
	loop   *netio.Loop
	open   Opener
	fields []string // of the load reports that answers end with; none: they hold none
}

// NewHosts uses the given way to connect, and reads load reports of the given fields behind hosts' answers.
func NewHosts(l *netio.Loop, open Opener, fields []string) *Hosts {
	return &Hosts{loop: l, open: open, fields: fields}
}

// Start begins one upstream request.
func (h *Hosts) Start(to proxy.Target, first proxy.First, until int64, connect time.Duration,
	ev proxy.UpstreamEvents) proxy.Upstream {
	u := &upstream{loop: h.loop, events: ev, first: first, until: until, fields: h.fields}
	u.drop = h.open(to, connect, inputLimit, u, u.connected)
	return u
}

// upstream is the connection of one upstream request.
type upstream struct {
	loop   *netio.Loop
	events proxy.UpstreamEvents
	first  proxy.First
	fields []string // of a load report behind an answer
	until  int64
	drop   func() // gives the connection up while it opens
	conn   *netio.Conn
	stage  netio.Stage
	ended  *netio.Error // the host is gone; its last lines may still wait for the client
	done   bool
}

var _ proxy.Upstream = (*upstream)(nil)

func (u *upstream) connected(c *netio.Conn, err *netio.Error) {
	u.drop = nil
	if err != nil {
		u.finish(err)
		return
	}
	u.conn = c
	if !u.events.MaySend() {
		c.Close()
		return
	}
	u.stage = netio.Sending
	c.Write(u.first.WithWait(time.Duration(u.until - u.loop.Now())))
	if !c.Blocked() {
		u.sent()
	}
}

func (u *upstream) sent() {
	u.stage = netio.Sent
	u.events.UpstreamSent()
}

func (u *upstream) Data(c *netio.Conn) { u.Pump() }

// Pump hands the host's lines on, as far as the other side takes them.
func (u *upstream) Pump() {
	for !u.done && u.conn != nil {
		line, err := Cut(u.conn.Input())
		if err != nil {
			u.conn.Close()
			u.finish(&netio.Error{Stage: u.stage, Cause: netio.Dropped, Detail: err})
			return
		}
		if line == nil {
			if u.ended != nil {
				u.finish(u.ended)
			}
			return
		}
		m := ParseHost(line)
		if len(u.fields) > 0 && (m.Kind == proxy.Busy || m.Kind == proxy.Fault || m.Kind == proxy.Farewell) {
			_, rest := word(line)
			m.Report = ParseReport(strings.TrimSpace(rest), u.fields)
		}
		if m.Kind == proxy.Receipt && u.stage < netio.Up {
			u.stage = netio.Up
		}
		if !u.events.FromUpstream(m) {
			return
		}
		u.conn.Consume(len(line))
	}
}

func (u *upstream) Writable(c *netio.Conn) {
	if u.stage == netio.Sending {
		u.sent()
		return
	}
	u.events.UpstreamReady()
}

func (u *upstream) Closed(c *netio.Conn, err *netio.Error) {
	// The connection knows that it stood; how far the request on it had come is known here.
	// Its layer may know that it never stood: then the host has read nothing, whatever was written.
	u.ended = &netio.Error{Stage: min(u.stage, err.Stage), Cause: err.Cause, Detail: err.Detail}
	u.Pump() // a slow client still gets what the host said before it ended
}

func (u *upstream) finish(err *netio.Error) {
	if !u.done {
		u.done = true
		u.events.UpstreamEnded(err)
	}
}

// Release lets go of the host's connection without ending it. What a host that has ended said last is not left behind.
func (u *upstream) Release(done func(netio.Parts)) {
	u.done = true
	if u.conn == nil || u.ended != nil {
		u.loop.Post(func() { done(netio.Parts{FD: -1}) })
		return
	}
	u.conn.Release(done)
}

// Pass hands on a line of the client's; false: not now.
func (u *upstream) Pass(m proxy.Message) bool { return u.conn.Write(m.Text) }

// Expires is when what the connection rests on ends; the zero time where it rests on nothing.
func (u *upstream) Expires() time.Time {
	if u.conn != nil {
		if l, ok := u.conn.Layer().(proxy.Expiring); ok {
			return l.Expires()
		}
	}
	return time.Time{}
}

// Stage is how far the request has come.
func (u *upstream) Stage() netio.Stage { return u.stage }

// End gives the request up, or ends the connection as the client's ended. Nothing more is told.
func (u *upstream) End(cause netio.Cause) {
	u.done = true
	if u.drop != nil {
		u.drop()
		u.drop = nil
	}
	if u.conn != nil {
		if cause == netio.Broke {
			u.conn.Abort()
		} else {
			u.conn.Close()
		}
	}
}
