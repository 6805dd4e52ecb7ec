package jobs

import (
	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/ownership"
)

// drillCheckpointInterval is how many numbers a drill sends from one checkpoint to the next.
const drillCheckpointInterval = 10

// Drill is a job that only sends an increasing number to every member. Operators use it to test that
// each job has one owner at a time before anything depends on that.
type Drill struct {
	Interval Time // between two numbers, in nanoseconds
	// EffectReceived is called with each effect that this process applies. It may be nil.
	EffectReceived func(token ownership.FencingToken)
	// BeforeSend, if not nil, is called once, after the lease was checked and before the next
	// effects are sent. However long it takes, receivers must reject effects that arrive after
	// those of a later owner.
	BeforeSend func()

	owner  Owner  // nil while this process does not own the job
	number uint64 // last number sent
	sentAt Time   // when it was sent
}

// uncheckedSender is implemented by an Owner that can send an effect without checking the lease
// again.
type uncheckedSender interface {
	SendEffectUnchecked(to uint32, number uint64, body []byte)
}

// Start continues from the checkpoint's number.
func (d *Drill) Start(now Time, o Owner, _, checkpointNumber uint64, _ []byte) error {
	d.owner, d.number, d.sentAt = o, checkpointNumber, now
	return nil
}

// Step sends the next number if Interval has passed since the last one.
func (d *Drill) Step(now Time) {
	if now-d.sentAt < d.Interval {
		return
	}
	d.sentAt = now
	d.number++
	send := d.prepareSend()
	for _, m := range d.owner.Members() {
		send(m.Peer, d.number, nil)
	}
	if d.number%drillCheckpointInterval == 0 {
		d.owner.StoreCheckpoint(d.number, d.checkpoint())
	}
}

// prepareSend calls BeforeSend if it is set, and returns the function to send the next effects
// with. After BeforeSend that function does not check the lease again, so that only the fences of
// receivers can reject a stale owner's effects.
func (d *Drill) prepareSend() (send func(to uint32, number uint64, body []byte)) {
	send = d.owner.SendEffect
	if d.BeforeSend == nil {
		return send
	}
	if u, ok := d.owner.(uncheckedSender); ok {
		send = u.SendEffectUnchecked
	}
	beforeSend := d.BeforeSend
	d.BeforeSend = nil
	beforeSend()
	return send
}

func (d *Drill) checkpoint() []byte {
	var w encoding.Writer
	return w.Uint(d.number).Data
}

// Stop ends the owner's part. The checkpoint is a number above all numbers that were sent.
func (d *Drill) Stop() (uint64, []byte) {
	d.owner = nil
	d.number++
	return d.number, d.checkpoint()
}

// QueryReceived does nothing: a drill has no queries.
func (d *Drill) QueryReceived(Time, uint32, uint64, []byte) {}

// EffectAcknowledged does nothing: a drill does not retransmit.
func (d *Drill) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

// CheckpointStored does nothing: effects do not depend on a stored checkpoint.
func (d *Drill) CheckpointStored(Time, uint64, bool) {}

// ApplyEffect calls EffectReceived.
func (d *Drill) ApplyEffect(_ Time, token ownership.FencingToken, _ []byte) {
	if d.EffectReceived != nil {
		d.EffectReceived(token)
	}
}
