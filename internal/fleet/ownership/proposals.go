package ownership

// proposalTimeout is how long the group has to report that a command was applied.
const proposalTimeout = 2 * sec

// proposal is a command under way in the group.
type proposal struct {
	job        string
	exclusive  bool // changes the owner: one at a time for each job
	expiresAt  Time
	checkpoint *checkpointRequest // to be answered once the command is applied; nil: none
}

// checkpointRequest is an owner's request to store a checkpoint.
type checkpointRequest struct {
	peer          uint32
	token, number uint64
}

// proposals are the commands under way, by the tag under which the group reports them.
type proposals struct {
	lastTag      uint64
	byTag        map[uint64]proposal
	exclusiveTag map[string]uint64 // tag of a job's exclusive proposal
}

func (ps *proposals) empty() bool { return len(ps.byTag) == 0 }

// ownerChangePending reports whether a job's owner is about to change.
func (ps *proposals) ownerChangePending(job string) bool { return ps.exclusiveTag[job] != 0 }

func (ps *proposals) add(tag uint64, p proposal) {
	ps.byTag[tag] = p
	if p.exclusive && p.job != "" {
		ps.exclusiveTag[p.job] = tag
	}
}

// remove ends a proposal, and reports whether it was the job's exclusive one.
func (ps *proposals) remove(tag uint64) (p proposal, wasExclusive, known bool) {
	p, known = ps.byTag[tag]
	if !known {
		return p, false, false
	}
	delete(ps.byTag, tag)
	if ps.exclusiveTag[p.job] == tag {
		delete(ps.exclusiveTag, p.job)
		wasExclusive = true
	}
	return p, wasExclusive, true
}

// expire drops proposals that the group has not reported in time. Whether they were applied shows in the table.
func (ps *proposals) expire(now Time) {
	for tag, p := range ps.byTag {
		if now >= p.expiresAt {
			ps.remove(tag)
		}
	}
}

// nextTag is different for each process and incarnation: the group reports the tags of all processes here.
func (c *coordinator) nextTag() uint64 {
	c.proposals.lastTag++
	return c.cfg.Incarnation<<24 ^ c.proposals.lastTag
}

func (c *coordinator) propose(cmd tableCommand, p proposal) {
	tag := c.nextTag()
	p.expiresAt = c.now + proposalTimeout
	// Added first: where this process is a majority by itself, the command is applied before Propose returns.
	c.proposals.add(tag, p)
	if c.group.Propose(c.now, MachineNumber, tag, cmd.encode()) != nil {
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
	if c.leads() && c.now >= c.epochStartedAt+grantDelay && !c.table.uncertain {
		c.assignJobs() // a job that was released is granted again at once
	}
	c.sendJobLists()
}
