package ownership

// processLease is the lease of a process, under which it holds all its jobs, and the search for the coordinator that grants it.
type processLease struct {
	end         Time            // as this process counts it; 0: it never had one
	leader      uint32          // taken for the coordinator; 0: unknown
	lastGrantAt Time            // when the coordinator last granted a lease
	requestedAt Time            // when a lease was last requested; 0: it is to be requested at once
	sequence    uint64          // of the last request
	outstanding map[uint64]Time // when each request without an answer was sent, by sequence
	nextVoter   int             // to be queried next where no coordinator is known, or the known one has granted nothing for a lease
}

func (p *participant) leaseEnded() bool { return p.now >= p.lease.end }

// stopAtLeaseEnd keeps the owner's part of the lease property: all jobs stop before the coordinator may grant them again.
func (p *participant) stopAtLeaseEnd() {
	if p.leaseEnded() {
		p.releaseAll(LeaseEnded, textLeaseEnded)
	}
}

// renewLease requests a lease four times in the length of one, and eight times once the coordinator is overdue.
func (p *participant) renewLease() {
	l := &p.lease
	interval := p.cfg.Lease / 4
	if p.now-l.lastGrantAt > interval+interval/2 {
		interval /= 2 // the coordinator may be another by now
	}
	if p.now-l.requestedAt < interval && l.requestedAt > 0 {
		return
	}
	l.requestedAt = max(1, p.now)
	if p.now-l.lastGrantAt > p.cfg.Lease/2 || l.leader == 0 {
		p.findCoordinator()
	}
	l.sequence++
	for sequence, at := range l.outstanding {
		if p.now-at > p.cfg.Lease {
			delete(l.outstanding, sequence)
		}
	}
	l.outstanding[l.sequence] = p.now
	p.send(l.leader, leaseRequest{sender: p.processID(), sequence: l.sequence, eligible: p.mayBeAssigned(), epoch: p.epoch, listSequence: p.listSequence}.encode())
}

// findCoordinator takes the leader that the own group knows, or, where it knows none or no lease was granted for the length of one, the next
// voter: one that does not lead redirects to the leader.
func (p *participant) findCoordinator() {
	l := &p.lease
	l.leader = 0
	if p.group != nil {
		l.leader = p.group.Leader()
	}
	if l.leader == 0 || p.now-l.lastGrantAt > p.cfg.Lease {
		l.leader = peerOf(p.cfg.Voters[l.nextVoter%len(p.cfg.Voters)])
		l.nextVoter++
	}
}

// handleLeaseGranted takes a lease. It counts from its request, and shorter by the drift of clocks: so it ends here before it ends at the
// coordinator, however long the answer took.
func (p *participant) handleLeaseGranted(from uint32, m leaseGranted) {
	if m.incarnation != p.cfg.Incarnation {
		return
	}
	l := &p.lease
	requestedAt, ok := l.outstanding[m.sequence]
	if !ok || m.epoch < p.epoch {
		return
	}
	delete(l.outstanding, m.sequence)
	if p.cfg.Faults.StartLeaseAtReply {
		requestedAt = p.now
	}
	if m.epoch > p.epoch {
		p.epoch, p.listSequence = m.epoch, 0
	}
	l.leader, l.lastGrantAt = from, p.now
	l.end = max(l.end, requestedAt+leaseAtHolder(p.cfg.Lease))
	if m.requestsOffer {
		p.send(from, jobOffer{sender: p.processID(), jobs: p.cfg.Jobs}.encode())
	}
}

func (p *participant) handleLeaderRedirect(from uint32, m leaderRedirect) {
	if from == p.lease.leader && m.leader != 0 && m.leader != from {
		p.lease.leader, p.lease.requestedAt = m.leader, 0
	}
}
