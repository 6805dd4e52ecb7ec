package ownership

import "fmt"

// StoreCheckpoint requests that a checkpoint of a job is stored. Effects.CheckpointStored reports the result; without a report the checkpoint may
// or may not be stored.
func (c *Core) StoreCheckpoint(now Time, job string, token, checkpointNumber uint64, checkpoint []byte) error {
	c.advance(now)
	defer c.deliverToSelf()
	if len(checkpoint) > MaxCheckpointBytes {
		return fmt.Errorf("%w: job %q, %d bytes, at most %d", ErrCheckpointTooLarge, job, len(checkpoint), MaxCheckpointBytes)
	}
	if !c.IsOwner(now, job, token) {
		return fmt.Errorf("%w: %q under token %d", ErrNotOwner, job, token)
	}
	c.send(c.Leader(), storeCheckpoint{job: job, token: token, checkpointNumber: checkpointNumber, checkpoint: checkpoint}.encode())
	return nil
}

// SendEffect sends an effect of a job to a receiver, which may be this process. Lease: the caller has called IsOwner just before.
func (c *Core) SendEffect(now Time, to uint32, job string, token FencingToken, body []byte) {
	c.advance(now)
	defer c.deliverToSelf()
	c.send(to, effectMessage{job: job, token: token, body: body}.encode())
}

// Query sends a query to the owner of a job, by way of the coordinator. It may be lost. Effects.ReplyReceived gets the reply.
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

// Reply answers a query.
func (c *Core) Reply(now Time, to uint32, tag uint64, body []byte) {
	c.advance(now)
	defer c.deliverToSelf()
	c.send(to, queryReply{tag: tag, body: body}.encode())
}

// MoveJob requests the coordinator to hand a job over to a member. Effects.ReplyReceived gets the refusal, empty where it is accepted.
func (c *Core) MoveJob(now Time, job, to string, tag uint64) {
	c.advance(now)
	defer c.deliverToSelf()
	c.send(c.Leader(), moveRequest{job: job, member: to, tag: tag}.encode())
}
