package ownership

import (
	"sort"

	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

// lead is the coordinator's turn.
func (c *Core) lead() {
	epoch, ok := c.group.Leading()
	if !ok {
		c.leads = 0
		return
	}
	if c.leads != epoch {
		// What an earlier coordinator knew is not known here. Nobody it may have given a lease is given up before that lease ended.
		c.leads, c.ledSince, c.lists, c.fresh = epoch, c.now, 0, c.table.Version == 0
		c.keeps = nil
		clear(c.sessions)
		clear(c.waits)
		clear(c.busy)
		clear(c.confirms)
		clear(c.since)
		clear(c.gives)
		clear(c.fails)
		for _, row := range c.table.Jobs() {
			c.since[row.Job] = c.now
		}
		c.fx.LogEvent("coordinator_elected", "epoch", epoch)
	}
	for tag, p := range c.waits {
		if c.now >= p.until {
			delete(c.waits, tag)
			if c.busy[p.job] == tag {
				delete(c.busy, p.job)
			}
		}
	}
	for tag, k := range c.confirms {
		if c.now-k[0].at > c.cfg.Lease {
			delete(c.confirms, tag)
		}
	}
	c.confirm()
	if c.now-c.looked < 20*ms {
		return
	}
	c.looked = c.now
	if c.table.unsure {
		if c.now >= c.over(c.ledSince) && c.busy[""] == 0 {
			c.propose("", sureCmd(), nil, "")
		}
		return
	}
	c.allot()
	c.tellLists()
}

// over is when a lease that was given at a time has surely ended at whoever has it.
func (c *Core) over(at Time) Time { return at + c.cfg.Lease + c.cfg.Lease/drift }

// there are the sessions, in order.
func (c *Core) there() []*session {
	out := make([]*session, 0, len(c.sessions))
	for _, s := range c.sessions {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].name < out[j].name || out[i].name == out[j].name && (out[i].began < out[j].began || out[i].began == out[j].began && out[i].life < out[j].life)
	})
	return out
}

// latest is the session of a name that began last; nil: none.
func (c *Core) latest(name string) (last *session) {
	for _, s := range c.there() {
		if s.name == name {
			last = s
		}
	}
	return last
}

// propose has a command agreed on. Of each job one is under way at a time, notes aside.
func (c *Core) propose(job string, cmd []byte, n *noted, about string) {
	tag := c.nextTag()
	// Where this process is a majority by itself it is applied before Propose returns.
	c.waits[tag] = pending{job: about, until: c.now + 2*sec, note: n}
	if job != "" {
		c.busy[job] = tag
	}
	if c.group.Propose(c.now, Machine, tag, cmd) != nil {
		delete(c.waits, tag)
		if c.busy[about] == tag {
			delete(c.busy, about)
		}
	}
}

func (c *Core) nextTag() uint64 {
	c.tag++
	return c.cfg.Incarnation<<24 ^ c.tag
}

// Applied is the group's word that a command was applied.
func (c *Core) Applied(now Time, tag uint64, result []byte) {
	c.now = max(c.now, now)
	defer c.drain()
	p, mine := c.waits[tag]
	if !mine {
		return
	}
	delete(c.waits, tag)
	ok := len(result) == 1 && result[0] == resultDone
	if c.busy[p.job] == tag {
		delete(c.busy, p.job)
		if ok {
			c.since[p.job] = c.now
		}
	}
	if p.note != nil {
		var w encoding.Writer
		c.send(p.note.peer, w.Uint(msgNoted).Text(p.job).Uint(p.note.token).Uint(p.note.number).Bool(ok).Data)
		return
	}
	if c.leads != 0 && c.now >= c.ledSince+200*ms && !c.table.unsure {
		c.allot() // what was given back is granted again at once
	}
	c.tellLists()
}

func (c *Core) takeKeep(from uint32, name string, life, seq uint64, able bool, epoch, list uint64) {
	if c.leads == 0 {
		if c.group != nil {
			var w encoding.Writer
			c.send(from, w.Uint(msgElse).Uint(uint64(c.group.Leader())).Data)
		}
		return
	}
	w := who{name, life}
	s := c.sessions[w]
	if s == nil {
		s = &session{who: w, since: c.now, began: c.now, keptAt: c.now, able: able}
		c.sessions[w] = s
	}
	if able && !s.able {
		s.since = c.now
	}
	s.able, s.behind = able, epoch < c.leads || list < s.list
	c.keeps = append(c.keeps, confirming{who: w, seq: seq, at: c.now})
}

// confirm asks the voters, once for all that asked for a lease since it last did, whether this process leads still.
func (c *Core) confirm() {
	if len(c.keeps) == 0 || c.now-c.confirmedAt < confirmEach {
		return
	}
	c.confirmedAt = c.now
	if c.table.unsure {
		c.keeps = nil // whoever owns something is to stop: it may not be in the table
		return
	}
	tag := c.nextTag()
	c.confirms[tag] = c.keeps
	c.keeps = nil
	if c.group.Confirm(c.now, tag) != nil {
		delete(c.confirms, tag)
	}
}

// Confirmed is the group's word that this process led still after Confirm was called.
func (c *Core) Confirmed(now Time, tag uint64) {
	c.now = max(c.now, now)
	defer c.drain()
	ks := c.confirms[tag]
	delete(c.confirms, tag)
	for _, k := range ks {
		s := c.sessions[k.who]
		if s == nil || c.leads == 0 {
			continue
		}
		s.keptAt = max(s.keptAt, k.at)
		var w encoding.Writer
		c.send(group.Peer(k.name), w.Uint(msgKept).Uint(k.seq).Uint(k.life).Uint(c.leads).Bool(s.offers == nil).Data)
		c.tellList(s)
	}
}
