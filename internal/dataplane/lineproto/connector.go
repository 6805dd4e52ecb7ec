package lineproto

import (
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// Opener opens a connection to an upstream host within the time given, and calls done on the loop, once, unless drop is called first.
type Opener func(to proxy.Target, timeout time.Duration, limit int, h netio.Handler,
	done func(*netio.Conn, *netio.Error)) (drop func())

// PlainTCP opens connections without any layer.
func PlainTCP(d *netio.Dialer) Opener {
	return func(to proxy.Target, timeout time.Duration, limit int, h netio.Handler,
		done func(*netio.Conn, *netio.Error)) func() {
		return d.Dial(to.Address, timeout, limit, h, done).Cancel
	}
}

// Connector opens upstream requests.
type Connector struct {
	loop   *netio.Loop
	open   Opener
	fields []string // of the load reports that answers end with; none: they have none
}

// NewConnector opens connections by open, and reads load reports of the given fields behind hosts' answers.
func NewConnector(l *netio.Loop, open Opener, fields []string) *Connector {
	return &Connector{loop: l, open: open, fields: fields}
}

// Start begins one upstream request.
func (c *Connector) Start(to proxy.Target, requestLine proxy.RequestLine, deadline int64, connect time.Duration,
	events proxy.UpstreamEvents) proxy.Upstream {
	u := &upstream{loop: c.loop, events: events, requestLine: requestLine, deadline: deadline, reportFields: c.fields}
	u.cancelDial = c.open(to, connect, inputLimit, u, u.connected)
	return u
}
