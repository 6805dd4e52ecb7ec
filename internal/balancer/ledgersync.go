package balancer

import "croftlock/internal/balancer/ledger"

// The ledger server is the balancer that counts the connections of all balancers and assigns hosts.
// A synchronization sends it the connections that one balancer holds, by host and group.
const (
	// syncSpread is the time over which all balancers send their connections to a new ledger
	// server. syncInterval is the mean time after which each does so again, to correct for lost
	// messages. Both are in nanoseconds.
	syncSpread   = 1e9
	syncInterval = 8e9
	// epochUnit is the unit of an epoch in nanoseconds. An epoch is the low byte of the time at which
	// a process started, in this unit. By a new epoch, the others notice that a ledger server has
	// restarted and lost its counts.
	epochUnit = 1e8
)

// maintainLedger does the periodic tasks of the ledger. It sets the epoch at the first call, and
// announces this balancer then if it is a ledger server. It sends the current ledger server all
// connections of this balancer when that is due, and polls an earlier ledger server that may be
// available again. If this balancer may not use a ledger, maintainLedger does nothing and uses no
// random number.
func (b *Balancer) maintainLedger() {
	if !b.ledgerUsable() {
		return
	}
	l := &b.ledger
	if !l.announced {
		l.announced, l.epoch = true, byte(b.now/epochUnit)
		if l.client.IsServer(b.cfg.Instance) {
			b.effects.SendToPeer(-1, ledger.Announcement{Epoch: l.epoch}.Append(nil))
		}
	}
	b.followCurrentServer()
	if b.now >= l.syncDue && l.client.ServerReachable(b.now) {
		b.syncLedger()
	}
	if server := l.client.ServerToPoll(b.now); server == b.cfg.Instance {
		b.followLedgerServer(server, l.epoch)
	} else if server >= 0 {
		b.effects.SendToPeer(server, ledger.Poll{}.Append(nil))
	}
}

// ledgerMessageReceived handles a message of the placement ledger from the balancer with number
// from, and reports whether data is such a message.
func (b *Balancer) ledgerMessageReceived(from int, data []byte) bool {
	message, err := ledger.Decode(data)
	if err != nil {
		return false
	}
	b.handleLedgerMessage(from, message)
	return true
}

// handleLedgerMessage replies to a message or applies it to the state of the ledger.
func (b *Balancer) handleLedgerMessage(from int, message ledger.Message) {
	switch m := message.(type) {
	case ledger.Query:
		b.ledger.followers.MessageReceived(from, b.now)
		reply := ledger.Reply{Seq: m.Seq, Host: b.assignHost(from, m).encode()}
		reply.Epoch = b.ledger.epoch
		b.effects.SendToPeer(from, reply.Append(nil))
	case ledger.Reply:
		b.followLedgerServer(from, m.Epoch)
		b.ledgerReplyReceived(from, m)
	case ledger.Announcement:
		b.followLedgerServer(from, m.Epoch)
	case ledger.Poll:
		b.effects.SendToPeer(from, ledger.Announcement{Epoch: b.ledger.epoch}.Append(nil))
	case ledger.Follow:
		b.ledger.followers.MessageReceived(from, b.now)
	case ledger.Sync:
		b.ledger.followers.MessageReceived(from, b.now)
		b.ledger.placements.RemovePeer(from)
		b.countPlacements(from, m.Entries)
	case ledger.Entries:
		b.countPlacements(from, m)
	}
}

// countPlacements applies the entries that a balancer has reported to this ledger server.
func (b *Balancer) countPlacements(from int, entries ledger.Entries) {
	for _, e := range entries {
		b.countPlacement(from, e)
	}
}

// countPlacement applies one entry that a balancer has reported to this ledger server.
func (b *Balancer) countPlacement(from int, e ledger.Entry) {
	b.ledger.placements.Add(from, e.Host, e.Group, e.Units)
}

// followLedgerServer records a message from a ledger server. If that server does not know the
// connections of this balancer, they are sent after a random wait of up to syncSpread: all balancers
// receive the server's message at the same time and must not answer at the same time.
func (b *Balancer) followLedgerServer(from int, epoch byte) {
	if b.ledgerUsable() && b.ledger.client.ServerMessageReceived(from, epoch) {
		b.ledger.syncDue = b.now + Time(syncSpread*b.rng.Float64())
		b.effects.Report(LedgerServerChanged{LedgerServer: from})
	}
}

// followCurrentServer notifies the current ledger server, if that is due, that this balancer queries it
// and no other one.
func (b *Balancer) followCurrentServer() {
	server := b.ledger.client.Server(b.now)
	if server < 0 || b.now < b.ledger.followDue {
		return
	}
	b.ledger.followDue = b.now + ledger.FollowInterval
	b.sendToLedgerServer(server, ledger.Follow{})
}

// syncLedger sends the ledger server entries for all connections of this balancer that belong to a
// group, and sets the time of the next synchronization. It sends nothing while queries are paused.
func (b *Balancer) syncLedger() {
	server := b.ledger.client.Server(b.now)
	b.ledger.syncDue = b.now + Time(syncInterval*(0.5+b.rng.Float64()))
	if server < 0 {
		return
	}
	var entries ledger.Entries
	for _, h := range b.hosts {
		entries = b.appendConnections(entries, h)
	}
	n := min(len(entries), ledger.MaxEntries)
	b.sendToLedgerServer(server, ledger.Sync{Entries: entries[:n]})
	for entries = entries[n:]; len(entries) > 0; entries = entries[n:] {
		n = min(len(entries), ledger.MaxEntries)
		b.sendToLedgerServer(server, entries[:n])
	}
}

// appendConnections appends entries for this balancer's connections at a host that belong to a
// group. The groups are in the order of their first connections. A group with more than
// ledger.MaxUnits gets several entries.
func (b *Balancer) appendConnections(entries ledger.Entries, h *host) ledger.Entries {
	var groups []uint32
	units := map[uint32]int{}
	for _, r := range h.connections {
		if r.Group == "" {
			continue
		}
		group := ledger.GroupID(stableHash(r.Group))
		if units[group] == 0 {
			groups = append(groups, group)
		}
		units[group] += b.ledgerUnits(r)
	}
	for _, group := range groups {
		for left := units[group]; left > 0; left -= ledger.MaxUnits {
			entries = append(entries,
				ledger.Entry{Host: uint32(h.hash), Group: group, Units: min(left, ledger.MaxUnits)})
		}
	}
	return entries
}

// reportPlacement reports to the ledger server that a host holds the connection of r if sign is 1,
// or holds it no longer if sign is -1. It has no effect if r has no group, if queries are paused, or
// if this balancer may not use a ledger.
func (b *Balancer) reportPlacement(h *host, r *request, sign int) {
	server := b.ledger.client.Server(b.now)
	if r.Group == "" || server < 0 || !b.ledgerUsable() {
		return
	}
	group := ledger.GroupID(stableHash(r.Group))
	entry := ledger.Entry{Host: uint32(h.hash), Group: group, Units: sign * b.ledgerUnits(r)}
	if server == b.cfg.Instance {
		b.countPlacement(server, entry)
		return
	}
	b.effects.SendToPeer(server, entry.Append(nil))
}

// sendToLedgerServer sends a message to the ledger server with the given balancer number, or handles
// the message directly if this balancer is that server.
func (b *Balancer) sendToLedgerServer(server int, m ledger.Message) {
	if server == b.cfg.Instance {
		b.handleLedgerMessage(server, m)
		return
	}
	b.effects.SendToPeer(server, m.Append(nil))
}
