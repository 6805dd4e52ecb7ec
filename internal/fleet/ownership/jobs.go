package ownership

import (
	"fmt"
	"sort"

	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

// takeJobs takes the list of what this process is to own.
func (c *Core) takeJobs(from uint32, r encoding.Reader) error {
	life, epoch, list := r.Uint(), r.Uint(), r.Uint()
	type row struct {
		job                 string
		token, number, give uint64
		left                []byte
	}
	var rows []row
	for n := r.Count(MaxJobs); n > 0; n-- {
		rows = append(rows, row{r.Text(mostName), r.Uint(), r.Uint(), r.Uint(), r.Bytes(MaxCheckpoint)})
	}
	if r.Err() != nil {
		return errTorn
	}
	if life != c.cfg.Incarnation || epoch < c.epoch || epoch == c.epoch && list <= c.list {
		return nil
	}
	c.epoch, c.list, c.leader = epoch, list, from
	listed := map[string]row{}
	for _, x := range rows {
		listed[x.job] = x
	}
	for _, job := range c.jobs() {
		h := c.held[job]
		x, in := listed[job]
		switch {
		case in && x.token == h.token && x.give == 1 && !h.released:
			c.stop(job, h, "it is to be handed over")
		case in && x.token == h.token:
		case !h.released:
			c.fx.Stop(job, h.token, "the coordinator has given it to another")
			delete(c.held, job)
		default:
			delete(c.held, job) // the coordinator has it back
		}
	}
	for _, x := range rows {
		switch {
		case c.held[x.job] != nil:
			continue
		case x.give == 1 || c.leaving:
			h := &held{token: x.token, released: true, why: "not begun: it is to be handed over, or this process is leaving"}
			c.held[x.job] = h
			c.tellReleased(x.job, h)
			continue
		case c.now >= c.until:
			c.list = list - 1 // without a lease it can't begin, and has to be told again once there is one
			continue
		}
		h := &held{token: x.token}
		c.held[x.job] = h
		if err := c.fx.Start(x.job, x.token, x.number, x.left); err != nil {
			h.released, h.why, h.number = true, failedMark+err.Error(), 0
			c.tellReleased(x.job, h)
		}
	}
	return nil
}

// allot makes jobs known, takes them from owners that are lost, and grants them.
func (c *Core) allot() {
	var cands []Candidate
	offered := map[string]bool{}
	for _, s := range c.there() {
		if c.now >= c.over(s.keptAt) {
			c.fx.LogEvent("session_expired", "member", s.name)
			delete(c.sessions, s.who)
			continue
		}
		if n := len(cands); n > 0 && cands[n-1].Name == s.name {
			cands = cands[:n-1] // an earlier process of the same name: it keeps what it has until it gives it back
		}
		if s.offers == nil || c.now-s.keptAt > c.cfg.Lease*2/3 {
			continue // not known yet what it can do, or it may be lost
		}
		for j := range s.offers {
			offered[j] = true
		}
		cands = append(cands, Candidate{Name: s.name, Incarnation: s.life, Able: s.able, UnreachableFrom: c.hard[s.name], StableFor: c.now - s.since, Offers: func(job string) bool { return s.offers[job] }})
	}
	fresh := make([]string, 0, 4)
	for j := range offered {
		if c.table.Job(j) == nil && c.busy[j] == 0 {
			fresh = append(fresh, j)
		}
	}
	sort.Strings(fresh)
	for _, j := range fresh {
		c.propose(j, knowCmd(j, c.cfg.Wall()), nil, j)
	}
	var free []string
	var owned []JobRecord
	why := map[string]string{}
	for _, row := range c.table.Jobs() {
		if c.busy[row.Job] != 0 {
			continue
		}
		if row.Owner != "" {
			if c.sessions[who{row.Owner, row.Incarnation}] != nil || c.now < c.over(c.ledSince) {
				owned = append(owned, *row)
				continue
			}
			why[row.Job] = "its owner " + row.Owner + " was lost"
		}
		if f := c.fails[row.Job]; f != nil && c.now < f.until {
			continue
		}
		free = append(free, row.Job)
	}
	if c.now-c.gaveAt < sec && len(free) == 0 {
		return
	}
	// The processes come one after the other: before they have had the time, whoever is first would get everything.
	wait := 200 * ms
	if c.fresh {
		wait = c.cfg.Lease / 2
	}
	if c.now < c.ledSince+wait {
		return
	}
	for _, p := range Assign(c.now, free, owned, func(job string) Time { return c.since[job] }, cands) {
		if p.Handover {
			if c.now-c.gaveAt >= sec {
				c.gaveAt = c.now
				c.give(p)
			}
			continue
		}
		if g, asked := c.gives[p.Job]; asked {
			delete(c.gives, p.Job)
			if s := c.latest(g.To); s != nil && s.offers[p.Job] && s.able {
				p.To, p.Incarnation, p.Reason = g.To, s.life, g.Reason
			}
		}
		if w := why[p.Job]; w != "" {
			p.Reason = w
		}
		c.grant(p)
	}
}

func (c *Core) grant(p Placement) {
	row := c.table.Job(p.Job)
	token := max(row.Token+1, c.leads<<epochBits)
	c.propose(p.Job, grantCmd(p.Job, p.To, p.Incarnation, token, c.cfg.Wall(), p.Reason), nil, p.Job)
}

func (c *Core) give(p Placement) {
	c.gives[p.Job] = p
	if row := c.table.Job(p.Job); row != nil {
		if s := c.sessions[who{row.Owner, row.Incarnation}]; s != nil {
			s.told = 0 // it is to hear at once
		}
	}
}

// move is an operator's wish for a handover; "" where it is taken.
func (c *Core) move(job, to string) string {
	row, s := c.table.Job(job), c.latest(to)
	switch {
	case c.leads == 0:
		return "this process does not coordinate any more: ask again"
	case row == nil:
		return fmt.Sprintf("there is no job %q", job)
	case s == nil || !s.able:
		return fmt.Sprintf("%s is not there, or not fit to own", to)
	case !s.offers[job]:
		return fmt.Sprintf("%s can't do %s", to, job)
	case row.Owner == to:
		return fmt.Sprintf("%s owns %s already", to, job)
	}
	c.give(Placement{Job: job, To: to, Incarnation: s.life, Handover: true, Reason: "moved by an operator"})
	c.tellLists()
	return ""
}

func (c *Core) tellLists() {
	for _, s := range c.there() {
		c.tellList(s)
	}
}

// tellList tells a process what it is to own, where that has changed since it was told, or it seems not to have heard.
func (c *Core) tellList(s *session) {
	if s.told == c.table.Version+1 && (!s.behind || c.now-s.toldAt < 200*ms) {
		return
	}
	var w encoding.Writer
	n := 0
	for _, row := range c.table.Jobs() {
		if row.Owner == s.name && row.Incarnation == s.life {
			n++
		}
	}
	c.lists++
	w.Uint(msgJobs).Uint(s.life).Uint(c.leads).Uint(c.lists).Uint(uint64(n))
	for _, row := range c.table.Jobs() {
		if row.Owner == s.name && row.Incarnation == s.life {
			give := uint64(0)
			if _, asked := c.gives[row.Job]; asked {
				give = 1
			}
			w.Text(row.Job).Uint(row.Token).Uint(row.CheckpointNumber).Uint(give).Bytes(row.Checkpoint)
		}
	}
	s.told, s.toldAt, s.list, s.behind = c.table.Version+1, c.now, c.lists, false
	c.send(group.Peer(s.name), w.Data)
}
