package ownership

import "sort"

// session is what the coordinator knows of a process in its epoch.
type session struct {
	processID
	startedAt       Time
	renewedAt       Time // the last confirmed lease was requested no later than this
	eligible        bool
	eligibleSince   Time            // without a break
	offers          map[string]bool // jobs that it can own; nil: not known
	listSentVersion uint64          // of the table, plus one, when its list was sent last; 0: to be sent at once
	listSentAt      Time
	listSequence    uint64 // of that list
	lacksList       bool   // its last request shows that it does not have that list
}

// sessions are the processes that have requested a lease in the epoch.
type sessions map[processID]*session

// sorted gives them by name, and those of one name by when they began.
func (ss sessions) sorted() []*session {
	out := make([]*session, 0, len(ss))
	for _, s := range ss {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

func (s *session) before(other *session) bool {
	if s.name != other.name {
		return s.name < other.name
	}
	if s.startedAt != other.startedAt {
		return s.startedAt < other.startedAt
	}
	return s.incarnation < other.incarnation
}

// latest is the session of a name that began last; nil: none.
func (ss sessions) latest(name string) (last *session) {
	for _, s := range ss.sorted() {
		if s.name == name {
			last = s
		}
	}
	return last
}

// handleLeaseRequest queues the request until the voters have confirmed that this process leads.
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

// handleJobOffer learns which jobs a process can own.
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
	sequence  uint64
	claimedAt Time
}

// leadershipConfirmation is the round in which the voters confirm that this process leads. One round serves all requests that came before
// it, so that the cost does not rise with the fleet.
type leadershipConfirmation struct {
	waiting     []leaseClaim            // for the next round
	byTag       map[uint64][]leaseClaim // rounds under way; none is empty
	requestedAt Time
}

// expire drops rounds that voters have not confirmed in time. Their processes send the request again.
func (l *leadershipConfirmation) expire(now, timeout Time) {
	for tag, claims := range l.byTag {
		if now-claims[0].claimedAt > timeout {
			delete(l.byTag, tag)
		}
	}
}

// confirmLeadership begins a round. Lease: only a confirmed leader grants one; a deposed coordinator that does not know it could renew leases
// whose jobs its successor has granted to others.
func (c *coordinator) confirmLeadership() {
	l := &c.confirmation
	if len(l.waiting) == 0 || c.now-l.requestedAt < confirmInterval {
		return
	}
	l.requestedAt = c.now
	claims := l.waiting
	l.waiting = nil
	if c.table.uncertain {
		return // no lease is renewed: its holder's jobs may be missing from the table
	}
	tag := c.nextTag()
	l.byTag[tag] = claims
	if c.group.Confirm(c.now, tag) != nil {
		delete(l.byTag, tag)
	}
}

// leadershipConfirmed grants the leases that were claimed before the round.
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
