package jobs

import (
	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/ownership"
)

// drillCheckpointInterval is how many numbers lie between two checkpoints of a drill.
const drillCheckpointInterval = 10

// Drill is a job that only sends a rising number to every proxy. Operators use it to try the fleet's owners before anything depends on them.
type Drill struct {
	Interval Time // between two numbers
	// EffectReceived is called with each effect at this process; nil: it is not.
	EffectReceived func(token ownership.FencingToken)
	// BeforeSend, if set, is called once, between the check of the lease and the sending of the next effects. Whatever it does, receivers have to
	// reject effects that come after a later owner's.
	BeforeSend func()

	owner  Owner
	number uint64
	sentAt Time
}

// uncheckedSender is an Owner that can send an effect without checking the lease again.
type uncheckedSender interface {
	SendEffectUnchecked(to uint32, number uint64, body []byte)
}

// Start continues from the last number.
func (d *Drill) Start(now Time, o Owner, _, checkpointNumber uint64, _ []byte) error {
	d.owner, d.number, d.sentAt = o, checkpointNumber, now
	return nil
}

// Step sends the next number.
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

// prepareSend calls BeforeSend, if it is set, and gives the function to send with.
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

// Stop ends the owner's part. The checkpoint is a number above all that were sent.
func (d *Drill) Stop() (uint64, []byte) {
	d.owner = nil
	d.number++
	return d.number, d.checkpoint()
}

// QueryReceived does nothing: a drill takes no queries.
func (d *Drill) QueryReceived(Time, uint32, uint64, []byte) {}

// EffectAcknowledged does nothing.
func (d *Drill) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

// CheckpointStored does nothing.
func (d *Drill) CheckpointStored(Time, uint64, bool) {}

// ApplyEffect reports the number.
func (d *Drill) ApplyEffect(_ Time, token ownership.FencingToken, _ []byte) {
	if d.EffectReceived != nil {
		d.EffectReceived(token)
	}
}
