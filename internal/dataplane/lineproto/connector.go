package lineproto

import (
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// Opener opens a connection to an upstream host. It calls done once, on the loop, with the connection or
// an error, unless the returned function is called first, which cancels the attempt. limit is the number of
// bytes of input at which reading pauses.
type Opener func(to proxy.Target, timeout time.Duration, limit int, h netio.Handler,
	done func(*netio.Conn, *netio.Error)) (cancel func())

// PlainTCP returns an Opener of connections without a layer.
func PlainTCP(d *netio.Dialer) Opener {
	return func(to proxy.Target, timeout time.Duration, limit int, h netio.Handler,
		done func(*netio.Conn, *netio.Error)) func() {
		return d.Dial(to.Address, timeout, limit, h, done).Cancel
	}
}

// Connector starts upstream requests. It implements proxy.Connector.
type Connector struct {
	loop   *netio.Loop
	open   Opener
	fields []string // names of the fields of load reports at the end of answers; empty if hosts send none
}

// NewConnector returns a connector that opens connections with open. fields are the load report fields
// that it reads at the end of hosts' answers; if empty, it reads no reports.
func NewConnector(l *netio.Loop, open Opener, fields []string) *Connector {
	return &Connector{loop: l, open: open, fields: fields}
}

// Start starts an upstream request and reports its progress to events. deadline is the Unix time, in
// nanoseconds, at which the core stops waiting for the host's answer; Start only sends the time left to the
// host. connectTimeout bounds the opening of the connection.
func (c *Connector) Start(to proxy.Target, requestLine proxy.RequestLine, deadline int64, connectTimeout time.Duration,
	events proxy.UpstreamEvents) proxy.Upstream {
	u := &upstream{loop: c.loop, events: events, requestLine: requestLine, deadline: deadline, reportFields: c.fields}
	u.cancelDial = c.open(to, connectTimeout, inputLimit, u, u.connected)
	return u
}
