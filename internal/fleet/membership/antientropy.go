package membership

const (
	// viewRequestDelay is how long views, the states of all members as a process sees them, may differ
	// before a process requests a complete view. Gossip alone removes most differences.
	viewRequestDelay = sec
	// viewRequestInterval is the minimum time between two requests for a complete view.
	viewRequestInterval = sec
	// viewPages is the maximum number of pages, which are datagrams with a part of the view, that answer
	// one request for a view.
	viewPages = 4
)

// antiEntropy repairs differences between views that gossip has missed: it compares the digests of
// views that datagrams carry, and determines when to request a complete view.
type antiEntropy struct {
	// differentSince is the time since which received digests differ from this process's digest. It is zero
	// if the last received one was equal.
	differentSince Time
	lastRequest    Time // when a complete view was last requested; zero if never
	// nextEntry counts the entries of this process's view that were sent. Modulo the number of entries it
	// is the index of the one with which the next page starts.
	nextEntry int
}

// recordComparison records whether a received digest equals this process's digest.
func (a *antiEntropy) recordComparison(equal bool, now Time) {
	if equal {
		a.differentSince = 0
	} else if a.differentSince == 0 {
		a.differentSince = now
	}
}

// requestDue reports whether a complete view must be requested now. If so, it records the request.
func (a *antiEntropy) requestDue(now Time) bool {
	if a.differentSince == 0 || now-a.differentSince <= viewRequestDelay || now-a.lastRequest <= viewRequestInterval {
		return false
	}
	a.lastRequest = now
	return true
}

// requestView requests the complete view of a randomly chosen alive member. It may choose none; the next
// attempt follows after viewRequestInterval.
func (c *Core) requestView() {
	for slot, id := range c.addresses.memberAt {
		if m := c.members.get(id); id != 0 && m.State == Alive && c.rng.IntN(2) == 0 {
			d := c.newDatagram()
			d.viewRequest()
			c.send(slot, d)
			return
		}
	}
}

// sendView answers a request for a view from the member at slot, the number of an address, with the
// next pages of this process's view, which include its own entry, until one page holds the whole
// view or viewPages are sent.
func (c *Core) sendView(slot int) {
	for range viewPages {
		d := c.newDatagram()
		complete := c.writePage(d)
		c.transmit(slot, d)
		if complete {
			return
		}
	}
}

// writePage fills datagram d with the next entries of the view and reports whether all entries of the view
// fitted.
func (c *Core) writePage(d *datagram) (complete bool) {
	entries := len(c.members.ids) + 1
	for range entries {
		id := c.selfID
		if i := c.antiEntropy.nextEntry % entries; i < len(c.members.ids) {
			id = c.members.ids[i]
		}
		if !c.writeUpdate(d, id) {
			return false
		}
		c.antiEntropy.nextEntry++
	}
	return true
}
