package lineproto

import (
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

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
