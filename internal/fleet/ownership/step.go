package ownership

import "fmt"

// Receive handles a message from the Core of another process. A message that can't be decoded, or
// that names a sender other than from, changes nothing. The error then wraps ErrMalformedMessage,
// ErrUnknownMessage or ErrSenderMismatch.
func (c *Core) Receive(now Time, from uint32, data []byte) error {
	c.advance(now)
	defer c.deliverToSelf()
	return c.receive(from, data)
}

// receive decodes and handles a message from another process or from this one.
func (c *Core) receive(from uint32, data []byte) error {
	m, err := decodeMessage(data)
	if err != nil {
		return err
	}
	return c.step(from, m)
}

// deliverToSelf handles the messages that this process has sent to itself, and those that it sends to
// itself meanwhile. A call during another one does nothing. Every exported method that may send such a
// message calls it when it returns.
func (c *Core) deliverToSelf() {
	if c.delivering {
		return
	}
	c.delivering = true
	for len(c.toSelf) > 0 {
		data := c.toSelf[0]
		c.toSelf = c.toSelf[1:]
		c.receive(c.self, data)
	}
	c.delivering = false
}

// step passes a message to the role, coordinator, participant or receiver, that handles it. It returns
// ErrSenderMismatch, wrapped, if the message names a sender other than from.
func (c *Core) step(from uint32, m message) error {
	if sender, named := senderOf(m); named && peerOf(sender.name) != from {
		return fmt.Errorf("%w: %q from peer %08x", ErrSenderMismatch, sender.name, from)
	}
	switch m := m.(type) {
	case leaseRequest:
		c.coordinator.handleLeaseRequest(from, m)
	case jobOffer:
		c.coordinator.handleJobOffer(m)
	case jobReleased:
		c.coordinator.handleJobReleased(m)
	case storeCheckpoint:
		c.coordinator.handleStoreCheckpoint(from, m)
	case moveRequest:
		c.send(from, moveReply{tag: m.tag, refusal: c.coordinator.moveJob(m.job, m.member)}.encode())
	case leaseGranted:
		c.participant.handleLeaseGranted(from, m)
	case leaderRedirect:
		c.participant.handleLeaderRedirect(from, m)
	case jobList:
		c.participant.handleJobList(from, m)
	case checkpointResult:
		c.participant.handleCheckpointResult(m)
	case effectAck:
		c.participant.handleEffectAck(from, m)
	case effectMessage:
		c.handleEffect(from, m)
	case queryMessage:
		c.handleQuery(m)
	case moveReply:
		c.effects.ReplyReceived(m.tag, []byte(m.refusal))
	case queryReply:
		c.effects.ReplyReceived(m.tag, m.body)
	}
	return nil
}

// senderOf returns the process that a message names as its sender, and whether it names one.
func senderOf(m message) (sender processID, named bool) {
	switch m := m.(type) {
	case leaseRequest:
		return m.sender, true
	case jobOffer:
		return m.sender, true
	case jobReleased:
		return m.sender, true
	}
	return processID{}, false
}

// handleEffect handles an effect, a message by which a job's owner changes this process, and replies
// with the verdict. Fencing: it applies only an effect that the fence, this process's record of accepted
// tokens, accepts.
func (c *Core) handleEffect(from uint32, m effectMessage) {
	verdict, highest := c.fence.Check(m.job, m.token)
	switch verdict {
	case Accepted:
		c.effects.ApplyEffect(m.job, m.token, m.body)
	case Stale:
		c.effects.LogEvent(EventStaleEffectRejected, "job", m.job, "token", m.token.Token, "highest_token", highest.Token, "sender", fmt.Sprintf("%08x", from))
	}
	c.send(from, effectAck{job: m.job, token: m.token, verdict: verdict, highest: highest}.encode())
}

// handleQuery passes a query to the job if this process owns it. Otherwise the coordinator forwards
// it to the owner.
func (c *Core) handleQuery(m queryMessage) {
	if c.participant.owns(m.job) {
		c.effects.QueryReceived(m.requester, m.job, m.tag, m.body)
		return
	}
	c.coordinator.forwardQuery(m)
}
