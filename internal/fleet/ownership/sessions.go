package ownership

import "sort"

// session is what the coordinator knows about a process that has requested a lease in the present epoch,
// the period for which this coordinator leads.
type session struct {
	processID
	startedAt       Time            // arrival of the first lease request in the epoch
	renewedAt       Time            // arrival of the request for the last granted lease; initially startedAt
	eligible        bool            // whether the process may be assigned jobs, as reported by the last lease request or release
	eligibleSince   Time            // start of the present uninterrupted time as eligible
	offers          map[string]bool // jobs that the process can own, by name; nil if not known yet
	listSentVersion uint64          // Table.Version plus one when the last job list was sent; 0 if a list must be sent at once
	listSentAt      Time            // when the last job list was sent
	listSequence    uint64          // of the last job list sent
	lacksList       bool            // whether the process did not have that list when it sent its last lease request
}

// sessions holds the processes that have requested a lease in the present epoch.
type sessions map[processID]*session

// sorted returns the sessions by name, and those of one name by start time.
func (ss sessions) sorted() []*session {
	out := make([]*session, 0, len(ss))
	for _, s := range ss {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

// before reports whether s is sorted before other.
func (s *session) before(other *session) bool {
	if s.name != other.name {
		return s.name < other.name
	}
	if s.startedAt != other.startedAt {
		return s.startedAt < other.startedAt
	}
	return s.incarnation < other.incarnation
}

// latest returns the session of a member that started last, or nil if the member has none.
func (ss sessions) latest(name string) (last *session) {
	for _, s := range ss.sorted() {
		if s.name == name {
			last = s
		}
	}
	return last
}

// handleLeaseRequest records the sender's session and queues the request until the voters have
// confirmed that this process leads. A voter that does not lead redirects the sender to the leader.
func (c *coordinator) handleLeaseRequest(from uint32, m leaseRequest) {
	if !c.leads() {
		if c.group != nil {
			c.send(from, leaderRedirect{leader: c.group.Leader()}.encode())
		}
		return
	}
	s := c.sessions[m.sender]
	if s == nil {
		s = &session{processID: m.sender, eligibleSince: c.now, startedAt: c.now, renewedAt: c.now, eligible: m.eligible}
		c.sessions[m.sender] = s
	}
	if m.eligible && !s.eligible {
		s.eligibleSince = c.now
	}
	s.eligible = m.eligible
	s.lacksList = m.epoch < c.epoch || m.listSequence < s.listSequence
	c.confirmation.waiting = append(c.confirmation.waiting, leaseClaim{processID: m.sender, sequence: m.sequence, claimedAt: c.now})
}

// handleJobOffer records which jobs a process can own.
func (c *coordinator) handleJobOffer(m jobOffer) {
	s := c.sessions[m.sender]
	if s == nil {
		return
	}
	s.offers = make(map[string]bool, len(m.jobs))
	for _, job := range m.jobs {
		s.offers[job] = true
	}
}

// leaseClaim is a lease request that waits for the voters' confirmation.
type leaseClaim struct {
	processID
	sequence  uint64 // of the request
	claimedAt Time   // arrival of the request
}

// leadershipConfirmation holds the rounds in which the voters confirm that this process leads. A
// round serves all lease requests received before it, so that the cost does not grow with the fleet.
type leadershipConfirmation struct {
	waiting     []leaseClaim            // claims for the next round
	byTag       map[uint64][]leaseClaim // claims of the rounds in progress, by the tag passed to Group.Confirm; no list is empty
	requestedAt Time                    // start of the last round
}

// expire drops rounds that the voters have not confirmed in time. The processes in them send their
// lease requests again.
func (l *leadershipConfirmation) expire(now, timeout Time) {
	for tag, claims := range l.byTag {
		if now-claims[0].claimedAt > timeout {
			delete(l.byTag, tag)
		}
	}
}

// confirmLeadership starts a round if claims wait and confirmInterval has passed. Lease: only a
// confirmed leader grants leases. A coordinator that was replaced without knowing it could otherwise
// renew the lease of a process whose jobs its successor has granted to others.
func (c *coordinator) confirmLeadership() {
	l := &c.confirmation
	if len(l.waiting) == 0 || c.now-l.requestedAt < confirmInterval {
		return
	}
	l.requestedAt = c.now
	claims := l.waiting
	l.waiting = nil
	if c.table.uncertain {
		return // no lease is renewed: the table may lack jobs that its holder owns
	}
	tag := c.nextTag()
	l.byTag[tag] = claims
	if c.group.Confirm(c.now, tag) != nil {
		delete(l.byTag, tag)
	}
}

// leadershipConfirmed grants the leases that were claimed before the round with the given tag, and sends
// each of their holders its job list.
func (c *coordinator) leadershipConfirmed(tag uint64) {
	claims := c.confirmation.byTag[tag]
	delete(c.confirmation.byTag, tag)
	for _, claim := range claims {
		s := c.sessions[claim.processID]
		if s == nil || !c.leads() {
			continue
		}
		s.renewedAt = max(s.renewedAt, claim.claimedAt)
		c.send(peerOf(claim.name), leaseGranted{sequence: claim.sequence, incarnation: claim.incarnation, epoch: c.epoch, requestsOffer: s.offers == nil}.encode())
		c.sendJobList(s)
	}
}
