package proxy

import (
	"log/slog"
	"runtime/debug"

	"croftlock/internal/balancer"
)

// decide has the module take one event, then carries out what it did, in order, and then whatever that caused. about
// is the request that is answered for should the module panic; it may be nil.
func (c *Core) decide(about *Request, f func(now balancer.Time)) {
	c.calls = append(c.calls, decisionEvent{about, f})
	if c.deciding {
		return
	}
	c.deciding = true
	defer func() { c.deciding = false }()
	for len(c.calls) > 0 {
		next := c.calls[0]
		c.calls = c.calls[1:]
		c.guard(next.about, func() { next.handle(c.loop.Now()) })
		for len(c.effects) > 0 {
			do := c.effects[0]
			c.effects = c.effects[1:]
			c.guard(next.about, do)
		}
	}
	c.calls, c.effects = nil, nil
}

// guard keeps a panic from reaching beyond the request it happened for, which still gets its one answer.
func (c *Core) guard(about *Request, f func()) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "core", "reason", p, "stack", string(debug.Stack()))
			if about != nil {
				about.failUnresponsive()
			}
		}
	}()
	f()
}
