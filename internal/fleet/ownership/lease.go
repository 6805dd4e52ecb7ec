package ownership

// processLease is the lease under which a process owns all its jobs, with the state of the search for
// the coordinator that grants it. Times are those of this process.
type processLease struct {
	end         Time            // at which this process stops its jobs; 0 if it never had a lease
	leader      uint32          // peer believed to be the coordinator; 0 if unknown
	lastGrantAt Time            // when the last grant arrived; 0 if none has
	requestedAt Time            // when a lease was last requested; 0 if one must be requested at once
	sequence    uint64          // of the last request
	outstanding map[uint64]Time // when each unanswered request was sent, by sequence
	nextVoter   int             // index of the voter that findCoordinator tries next
}

// leaseEnded reports whether this process has no lease now.
func (p *participant) leaseEnded() bool { return p.now >= p.lease.end }

// stopAtLeaseEnd stops all jobs once the lease has ended. Lease: they stop before the coordinator may
// grant them again.
func (p *participant) stopAtLeaseEnd() {
	if p.leaseEnded() {
		p.releaseAll(LeaseEnded, textLeaseEnded)
	}
}

// renewLease requests a lease four times per lease, and eight times per lease while the last grant is
// overdue.
func (p *participant) renewLease() {
	l := &p.lease
	interval := p.cfg.Lease / 4
	if p.now-l.lastGrantAt > interval+interval/2 {
		interval /= 2 // the grant is overdue: another process may be the coordinator by now
	}
	if p.now-l.requestedAt < interval && l.requestedAt > 0 {
		return
	}
	l.requestedAt = max(1, p.now) // not 0, which means that a lease must be requested at once
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

// findCoordinator chooses the peer to request a lease from: the leader that this process's group
// knows. If it knows none, or if no lease was granted within the length of a lease, it chooses the
// next voter. A voter that does not lead redirects to the leader.
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

// handleLeaseGranted extends the lease. Lease: it counts from the request and is shortened by the
// clock drift, so it ends at this process before it ends at the coordinator, however long the reply
// took. handleLeaseGranted ignores a reply to another process of this name, to an unknown request
// or from an earlier epoch.
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

// handleLeaderRedirect makes the next tick request a lease from the leader that a voter names. It ignores
// a redirect from a peer other than the one believed to be the coordinator.
func (p *participant) handleLeaderRedirect(from uint32, m leaderRedirect) {
	if from == p.lease.leader && m.leader != 0 && m.leader != from {
		p.lease.leader, p.lease.requestedAt = m.leader, 0
	}
}
