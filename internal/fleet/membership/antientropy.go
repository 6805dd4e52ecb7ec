package membership

const (
	// viewRequestDelay is how long views may differ before a complete view is requested: gossip removes most differences by itself.
	viewRequestDelay = sec
	// viewRequestInterval is the least time between two requests for a complete view.
	viewRequestInterval = sec
	// viewPages is how many datagrams answer one request.
	viewPages = 4
)

// antiEntropy repairs differences between views that gossip has missed: digests are compared, and complete views are requested.
type antiEntropy struct {
	differentSince Time // 0: the last digest received is this process's
	lastRequest    Time
	nextEntry      int // where the next page of the own view begins
}

// recordComparison records whether another's digest equals the own one.
func (a *antiEntropy) recordComparison(equal bool, now Time) {
	if equal {
		a.differentSince = 0
	} else if a.differentSince == 0 {
		a.differentSince = now
	}
}

// requestDue reports whether it is time to request a complete view, and counts that as done.
func (a *antiEntropy) requestDue(now Time) bool {
	if a.differentSince == 0 || now-a.differentSince <= viewRequestDelay || now-a.lastRequest <= viewRequestInterval {
		return false
	}
	a.lastRequest = now
	return true
}

// requestView requests the complete view of one alive member, drawn at random.
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

// sendView answers a request with the next pages of the view, this process included.
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

// writePage fills a datagram with the next entries of the view and reports whether it holds all of them.
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
