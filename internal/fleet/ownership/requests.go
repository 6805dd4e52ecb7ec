package ownership

import "fmt"

// StoreCheckpoint asks the coordinator to store a checkpoint of a job, the state from which the next
// owner continues. It returns ErrCheckpointTooLarge or ErrNotOwner, wrapped, if it does not ask.
// Effects.CheckpointStored reports the result. If no report arrives, the checkpoint may or may not have
// been stored.
func (c *Core) StoreCheckpoint(now Time, job string, token, checkpointNumber uint64, checkpoint []byte) error {
	c.advance(now)
	defer c.deliverToSelf()
	if len(checkpoint) > MaxCheckpointBytes {
		return fmt.Errorf("%w: job %q, checkpoint of %d bytes, expected at most %d", ErrCheckpointTooLarge, job, len(checkpoint), MaxCheckpointBytes)
	}
	if !c.IsOwner(now, job, token) {
		return fmt.Errorf("%w: job %q under token %d", ErrNotOwner, job, token)
	}
	c.send(c.Leader(), storeCheckpoint{job: job, token: token, checkpointNumber: checkpointNumber, checkpoint: checkpoint}.encode())
	return nil
}

// SendEffect sends an effect, a message by which a job's owner changes its receiver. The receiver may
// be this process. Lease: the caller must have called IsOwner just before.
func (c *Core) SendEffect(now Time, to uint32, job string, token FencingToken, body []byte) {
	c.advance(now)
	defer c.deliverToSelf()
	c.send(to, effectMessage{job: job, token: token, body: body}.encode())
}

// Query sends a query to the owner of a job through the coordinator. Effects.ReplyReceived reports
// the reply with the same tag. The query or its reply may be lost.
func (c *Core) Query(now Time, job string, tag uint64, body []byte) {
	c.advance(now)
	defer c.deliverToSelf()
	if c.participant.owns(job) {
		c.effects.QueryReceived(c.self, job, tag, body)
		return
	}
	if leader := c.Leader(); leader != 0 {
		c.send(leader, queryMessage{job: job, tag: tag, requester: c.self, body: body}.encode())
	}
}

// Reply sends the reply to a query that Effects.QueryReceived has passed on, with the query's tag.
func (c *Core) Reply(now Time, to uint32, tag uint64, body []byte) {
	c.advance(now)
	defer c.deliverToSelf()
	c.send(to, queryReply{tag: tag, body: body}.encode())
}

// MoveJob asks the coordinator to hand a job over to a member. Effects.ReplyReceived reports, with
// the same tag, why the request is refused; the text is empty if it is accepted. to is a member name.
func (c *Core) MoveJob(now Time, job, to string, tag uint64) {
	c.advance(now)
	defer c.deliverToSelf()
	c.send(c.Leader(), moveRequest{job: job, member: to, tag: tag}.encode())
}
