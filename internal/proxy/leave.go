package proxy

import (
	"log/slog"
	"time"

	"croftlock/brain"
)

const (
	// frontNotices is how long after its SIGTERM a proxy still gets new connections; clients moved before could come
	// straight back to it.
	frontNotices = 450 * time.Millisecond
	// moveOver is the time over which the clients are then moved, so that they do not all arrive elsewhere at once.
	moveOver = 1500 * time.Millisecond
	// moveOverHanded is the same where another process of this proxy takes them in again: it is alone with them, and cold
	// hosts take only so many a second. What is left until the end is for clients to hang up.
	moveOverHanded = 2500 * time.Millisecond
	// handAtOnce is how many connections are handed to another process in one step.
	handAtOnce = 16
	// leaveEvery is how often leaving makes progress.
	leaveEvery = 50 * time.Millisecond
	// shortestStay is what the platform grants at least between SIGTERM and SIGKILL, less a margin.
	shortestStay = 3400 * time.Millisecond
)

// Newcomers are the connections on which no request has come yet.
type Newcomers interface {
	// Dismiss ends those that rest without having sent anything, and tells how many are left.
	Dismiss() int
}

// SetNewcomers has a proxy that leaves end the connections without a request, and wait for those on which one is coming.
func (c *Core) SetNewcomers(n Newcomers) { c.newcomers = n }

// Leave ends the proxy's service in order: clients that still come are refused with advice, requests under way get
// their answer, and every open connection is moved. done is called once nothing is left, or when the time that the
// platform grants is nearly over.
func (c *Core) Leave(done func()) {
	if c.leaving {
		return
	}
	c.leaving = true
	unnoticed, over := int64(frontNotices), int64(moveOver)
	if c.handed {
		unnoticed, over = 0, int64(moveOverHanded) // nothing new comes here
	}
	moved, all := 0, 0
	began := c.loop.Now()
	longest := int64(shortestStay)
	for _, k := range c.opt.Settings.Classes {
		longest = max(longest, k.Deadline+int64(400*time.Millisecond))
	}
	var step func()
	step = func() {
		passed := c.loop.Now() - began
		open, pending := c.standing()
		unasked := 0
		if passed > unnoticed && c.newcomers != nil {
			unasked = c.newcomers.Dismiss()
		}
		if passed > unnoticed && open+pending+c.handing+unasked == 0 && c.sessions == 0 || passed > longest {
			slog.Info("left", "open", open, "pending", pending)
			done()
			return
		}
		switch {
		case c.handed && open > 0 && c.keeper.CanHand() && passed < over:
			c.someOpen(handAtOnce, c.handOne)
		case passed > unnoticed && open > 0:
			// Evenly: as many as this part of the time asks for, also where there are fewer of them than steps. Those that
			// come up meanwhile count, and after the time all go.
			all = max(all, moved+open)
			due := min(open, int(int64(all)*(passed-unnoticed)/over)-moved)
			if passed-unnoticed >= over {
				due = open
			}
			c.someOpen(due, func(r *Request) { r.move(brain.Cancelled) })
			moved += max(0, due)
		}
		c.loop.After(leaveEvery, step)
	}
	step()
}

// standing counts open connections and requests without an answer.
func (c *Core) standing() (open, pending int) {
	for _, r := range c.requests {
		switch {
		case r.out != nil && r.out.up:
			open++
		case !r.answered:
			pending++
		}
	}
	return open, pending
}

// someOpen does something to n open connections.
func (c *Core) someOpen(n int, do func(r *Request)) {
	for _, r := range c.requests {
		if n <= 0 {
			return
		}
		if r.out != nil && r.out.up {
			do(r)
			n--
		}
	}
}
