package ownership

const proposalTimeout = 2 * sec

// proposal is a command under way in the group.
type proposal struct {
	job        string
	exclusive  bool // no other exclusive proposal of the job meanwhile
	expiresAt  Time
	checkpoint *checkpointRequest // to be answered; nil: none
}

type checkpointRequest struct {
	peer          uint32
	token, number uint64
}

// proposals are the commands under way, by the tag under which the group reports them.
type proposals struct {
	lastTag  uint64
	byTag    map[uint64]proposal
	inFlight map[string]uint64 // tag of a job's exclusive proposal
}

func (ps *proposals) none() bool { return len(ps.byTag) == 0 }

// busy reports whether a job's owner is about to change.
func (ps *proposals) busy(job string) bool { return ps.inFlight[job] != 0 }

func (ps *proposals) add(tag uint64, p proposal) {
	ps.byTag[tag] = p
	if p.exclusive && p.job != "" {
		ps.inFlight[p.job] = tag
	}
}

// remove ends a proposal, and reports whether it was the job's exclusive one.
func (ps *proposals) remove(tag uint64) (p proposal, wasExclusive, known bool) {
	p, known = ps.byTag[tag]
	if !known {
		return p, false, false
	}
	delete(ps.byTag, tag)
	if ps.inFlight[p.job] == tag {
		delete(ps.inFlight, p.job)
		wasExclusive = true
	}
	return p, wasExclusive, true
}

// expire gives up what the group has not reported in time: whether it was applied is seen in the table.
func (ps *proposals) expire(now Time) {
	for tag, p := range ps.byTag {
		if now >= p.expiresAt {
			ps.remove(tag)
		}
	}
}

// nextTag differs between processes and incarnations: the group reports the tags of all of them.
func (c *coordinator) nextTag() uint64 {
	c.proposals.lastTag++
	return c.cfg.Incarnation<<24 ^ c.proposals.lastTag
}

func (c *coordinator) propose(cmd tableCommand, p proposal) {
	tag := c.nextTag()
	p.expiresAt = c.now + proposalTimeout
	// Added first: where this process is a majority by itself, the command is applied before Propose returns.
	c.proposals.add(tag, p)
	if c.group.Propose(c.now, Machine, tag, cmd.encode()) != nil {
		c.proposals.remove(tag)
	}
}

// commandApplied acts on the result of a proposal of this process.
func (c *coordinator) commandApplied(tag uint64, result []byte) {
	p, wasExclusive, known := c.proposals.remove(tag)
	if !known {
		return
	}
	applied := len(result) == 1 && result[0] == resultApplied
	if wasExclusive && applied {
		c.changedAt[p.job] = c.now
	}
	if r := p.checkpoint; r != nil {
		c.send(r.peer, checkpointResult{job: p.job, token: r.token, checkpointNumber: r.number, stored: applied}.encode())
		return
	}
	if c.leads() && c.now >= c.leadsSince+sessionGatherTime && !c.table.uncertain {
		c.assignJobs() // what was released is granted again at once
	}
	c.sendJobLists()
}
