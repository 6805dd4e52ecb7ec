package ownership

// proposalTimeout is the time within which the group must report that a command was applied.
const proposalTimeout = 2 * sec

// proposal is a command on the table of jobs that was proposed to the group of voters and has not been
// reported as applied.
type proposal struct {
	job        string             // empty for commands that concern no single job
	exclusive  bool               // whether the command changes the job's owner; a job has at most one such proposal at a time
	expiresAt  Time               // when expire drops the proposal
	checkpoint *checkpointRequest // answered once the command is applied; nil if there is none
}

// checkpointRequest is an owner's request to store a checkpoint.
type checkpointRequest struct {
	peer          uint32 // of the owner, which receives the result
	token, number uint64 // the token of the owner's grant, and the number of the checkpoint
}

// proposals holds the pending proposals by the tag with which the group reports them.
type proposals struct {
	lastTag      uint64 // number of tags that nextTag has returned
	byTag        map[uint64]proposal
	exclusiveTag map[string]uint64 // tag of a job's exclusive proposal, by job name
}

func (ps *proposals) empty() bool { return len(ps.byTag) == 0 }

// ownerChangePending reports whether a job has a pending exclusive proposal.
func (ps *proposals) ownerChangePending(job string) bool { return ps.exclusiveTag[job] != 0 }

// add records a proposal that is about to be made.
func (ps *proposals) add(tag uint64, p proposal) {
	ps.byTag[tag] = p
	if p.exclusive && p.job != "" {
		ps.exclusiveTag[p.job] = tag
	}
}

// remove deletes a proposal and returns it. known reports whether there was one with the tag, and
// wasExclusive whether it was the job's exclusive one.
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

// expire drops proposals that the group has not reported in time. The table shows whether they were
// applied.
func (ps *proposals) expire(now Time) {
	for tag, p := range ps.byTag {
		if now >= p.expiresAt {
			ps.remove(tag)
		}
	}
}

// nextTag returns the tag of the next proposal or confirmation. The group reports the tags of all
// processes to each of them, so the incarnation, above the low 24 bits, tells them apart.
func (c *coordinator) nextTag() uint64 {
	c.proposals.lastTag++
	return c.cfg.Incarnation<<24 ^ c.proposals.lastTag
}

// propose proposes a command to the group, and sets p.expiresAt. A command that the group rejects at
// once is dropped.
func (c *coordinator) propose(cmd tableCommand, p proposal) {
	tag := c.nextTag()
	p.expiresAt = c.now + proposalTimeout
	// Add the proposal first: if this process is a majority by itself, the command is applied before
	// Propose returns.
	c.proposals.add(tag, p)
	if c.group.Propose(c.now, MachineNumber, tag, cmd.encode()) != nil {
		c.proposals.remove(tag)
	}
}

// commandApplied handles the result of an applied command: it answers a checkpointRequest, or assigns
// jobs and sends the changed job lists. It ignores unknown tags, such as those of other processes.
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
		c.assignJobs() // without waiting for the next review, since the command may have released a job
	}
	c.sendJobLists()
}
