package ownership

import (
	"errors"
	"fmt"

	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/group"
)

// keep asks the coordinator for another lease.
func (c *Core) keep() {
	every := c.cfg.Lease / 4
	if c.now-c.heardAt > every+every/2 {
		every /= 2 // the coordinator may be another by now
	}
	if c.now-c.askAt < every && c.askAt > 0 {
		return
	}
	c.askAt = max(1, c.now)
	if c.now-c.heardAt > c.cfg.Lease/2 || c.leader == 0 {
		// Whoever is asked says whom it takes for the coordinator.
		c.leader = 0
		if c.group != nil {
			c.leader = c.group.Leader()
		}
		if c.leader == 0 || c.now-c.heardAt > c.cfg.Lease {
			c.leader = group.Peer(c.cfg.Voters[c.tryAt%len(c.cfg.Voters)])
			c.tryAt++
		}
	}
	c.seq++
	for s, at := range c.asked {
		if c.now-at > c.cfg.Lease {
			delete(c.asked, s)
		}
	}
	c.asked[c.seq] = c.now
	var w encoding.Writer
	c.send(c.leader, w.Uint(msgKeep).Text(c.cfg.Name).Uint(c.cfg.Incarnation).Uint(c.seq).Bool(c.fit()).Uint(c.epoch).Uint(c.list).Data)
}

// SetAble says whether this process is fit to own: not while it is starved or short of disk.
func (c *Core) SetAble(able bool) { c.able = able }

// fit tells whether this process should be given jobs: not one that had a lease and hears nobody renew it. It may be deaf, and would not hear of
// a job either, though its own words arrive.
func (c *Core) fit() bool { return c.able && !c.leaving && (c.until == 0 || c.now < c.until) }

// SetUnreachable says how many members can't hear another, as membership's reach table has it; the coordinator keeps jobs away from such.
func (c *Core) SetUnreachable(hard map[string]int) { c.hard = hard }

// Leave gives all jobs back, and takes none any more.
func (c *Core) Leave(now Time, why string) {
	c.now = max(c.now, now)
	defer c.drain()
	c.leaving = true
	for _, job := range c.jobs() {
		if h := c.held[job]; !h.released {
			c.stop(job, h, why)
		}
	}
}

// HasLeft tells whether all that Leave gave back has been taken, or nobody is there to take it. A coordinator has to see to it that others have it: what it
// has granted and not told yet waits for the next one.
func (c *Core) HasLeft() bool {
	return c.now >= c.until || len(c.held) == 0 && (c.leads == 0 || len(c.waits) == 0)
}

// SetGroup takes another group, or none: a voter whose store has failed is one no more until it is opened again. The table is the same one.
func (c *Core) SetGroup(g Group) { c.group, c.leads = g, 0 }

// Yield gives the lead of the group away.
func (c *Core) Yield(now Time) {
	if c.group != nil {
		c.group.Yield(now)
	}
}

// JobFailed says that a job ended by a fault of its own.
func (c *Core) JobFailed(now Time, job string, token uint64, why string) {
	c.now = max(c.now, now)
	defer c.drain()
	if h := c.held[job]; h != nil && h.token == token && !h.released {
		c.stop(job, h, failedMark+why)
	}
}

// failedMark begins the reason of a job that ended by a fault of its own.
const failedMark = "failed: "

// StoreCheckpoint asks for what a job leaves to be kept. Noted answers; without an answer it is not known whether it is kept.
func (c *Core) StoreCheckpoint(now Time, job string, token, number uint64, left []byte) error {
	c.now = max(c.now, now)
	defer c.drain()
	if len(left) > MaxCheckpoint {
		return fmt.Errorf("ownership: %d bytes to be left, %d are possible", len(left), MaxCheckpoint)
	}
	if !c.Holds(now, job, token) {
		return errors.New("ownership: this process does not own the job")
	}
	var w encoding.Writer
	c.send(c.leader, w.Uint(msgNote).Text(job).Uint(token).Uint(number).Bytes(left).Data)
	return nil
}

// SendEffect sends an effect of a job to a receiver, which may be this process. The caller has asked Holds just before.
func (c *Core) SendEffect(now Time, to uint32, job string, m FencingToken, body []byte) {
	c.now = max(c.now, now)
	defer c.drain()
	var w encoding.Writer
	c.send(to, w.Uint(msgEffect).Text(job).Uint(m.Token).Uint(m.Sequence).Bytes(body).Data)
}

// Query brings a word to whoever owns a job, by way of the coordinator. It may be lost.
func (c *Core) Query(now Time, job string, tag uint64, body []byte) {
	c.now = max(c.now, now)
	defer c.drain()
	var w encoding.Writer
	if h := c.held[job]; h != nil && !h.released && c.now < c.until {
		c.fx.QueryReceived(group.Peer(c.cfg.Name), job, tag, body)
		return
	}
	if c.leader != 0 {
		c.send(c.leader, w.Uint(msgAsk).Text(job).Uint(tag).Uint(uint64(group.Peer(c.cfg.Name))).Bytes(body).Data)
	}
}

// Reply answers one that was Asked.
func (c *Core) Reply(now Time, to uint32, tag uint64, body []byte) {
	c.now = max(c.now, now)
	defer c.drain()
	var w encoding.Writer
	c.send(to, w.Uint(msgAnswer).Uint(tag).Bytes(body).Data)
}

// MoveJob asks the coordinator to have a job handed over to a member.
func (c *Core) MoveJob(now Time, job, to string, tag uint64) {
	c.now = max(c.now, now)
	defer c.drain()
	var w encoding.Writer
	c.send(c.leader, w.Uint(msgMove).Text(job).Text(to).Uint(tag).Data)
}

// Leader is whom this process takes for the coordinator; 0: nobody.
func (c *Core) Leader() uint32 { return c.leader }

// LeaseRemaining is how long this process may go on as an owner.
func (c *Core) LeaseRemaining(now Time) Time { return max(0, c.until-now) }

// HeldJobs gives the jobs this process owns, with their tokens.
func (c *Core) HeldJobs() map[string]uint64 {
	out := map[string]uint64{}
	for job, h := range c.held {
		if !h.released {
			out[job] = h.token
		}
	}
	return out
}
