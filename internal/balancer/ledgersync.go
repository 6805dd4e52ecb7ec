package balancer

import "croftlock/internal/balancer/ledger"

const (
	// syncSpread is the time over which all balancers send their connections to a new ledger server, and
	// syncInterval the mean time after which each does so again, in nanoseconds, to correct for lost
	// messages.
	syncSpread   = 1e9
	syncInterval = 8e9
	// epochUnit makes an epoch from the time of the process's start, in nanoseconds.
	epochUnit = 1e8
)

// maintainLedger announces once that this balancer is a ledger server, sends the current one all
// connections of this balancer when that is due, and polls an earlier one that may be back. Where there is
// no ledger nothing is sent and no random number drawn.
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
	if b.now >= l.syncDue && l.client.ServerReachable(b.now) {
		b.syncLedger()
	}
	if server := l.client.ServerToPoll(b.now); server == b.cfg.Instance {
		b.followLedgerServer(server, l.epoch)
	} else if server >= 0 {
		b.effects.SendToPeer(server, ledger.Poll{}.Append(nil))
	}
}

// ledgerMessageReceived handles a message of the ledger; false: it is none.
func (b *Balancer) ledgerMessageReceived(from int, data []byte) bool {
	message, err := ledger.Decode(data)
	if err != nil {
		return false
	}
	b.handleLedgerMessage(from, message)
	return true
}

func (b *Balancer) handleLedgerMessage(from int, message ledger.Message) {
	switch m := message.(type) {
	case ledger.Query:
		reply := ledger.Reply{Seq: m.Seq}
		if h := b.assignHost(from, m); h != nil {
			reply.Host = uint32(h.hash)
		}
		reply.Epoch = b.ledger.epoch
		b.effects.SendToPeer(from, reply.Append(nil))
	case ledger.Reply:
		b.followLedgerServer(from, m.Epoch)
		b.ledgerReplyReceived(from, m)
	case ledger.Announcement:
		b.followLedgerServer(from, m.Epoch)
	case ledger.Poll:
		b.effects.SendToPeer(from, ledger.Announcement{Epoch: b.ledger.epoch}.Append(nil))
	case ledger.Sync:
		b.ledger.placements.RemovePeer(from)
		b.countPlacements(from, m.Entries)
	case ledger.Entries:
		b.countPlacements(from, m)
	}
}

func (b *Balancer) countPlacements(from int, entries ledger.Entries) {
	for _, e := range entries {
		b.countPlacement(from, e)
	}
}

func (b *Balancer) countPlacement(from int, e ledger.Entry) {
	b.ledger.placements.Add(from, e.Host, e.Group, e.Units)
}

// followLedgerServer records a message from a ledger server. If that server does not know this balancer's
// connections, they are sent to it after a random wait, since all balancers receive its message at the same
// time.
func (b *Balancer) followLedgerServer(from int, epoch byte) {
	if b.ledgerUsable() && b.ledger.client.ServerMessageReceived(from, epoch) {
		b.ledger.syncDue = b.now + Time(syncSpread*b.rng.Float64())
		b.effects.Report(LedgerServerChanged{LedgerServer: from})
	}
}

// syncLedger sends the ledger server all connections of this balancer.
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

// appendConnections appends this balancer's connections at a host, group by group in the order of their first
// connections.
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

// reportPlacement reports to the ledger server that a host holds a connection more (1), or less (-1).
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

// sendToLedgerServer sends a message, or handles it where this balancer is that server.
func (b *Balancer) sendToLedgerServer(server int, m ledger.Message) {
	if server == b.cfg.Instance {
		b.handleLedgerMessage(server, m)
		return
	}
	b.effects.SendToPeer(server, m.Append(nil))
}
