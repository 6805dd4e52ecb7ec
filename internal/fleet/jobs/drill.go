package jobs

import (
	"croftlock/internal/fleet/encoding"
	"croftlock/internal/fleet/ownership"
)

// Drill is a job that only tells every proxy a number: with it operators try the fleet's owners before anything rests on them.
type Drill struct {
	Every Time
	// Taken hears of each effect here.
	Taken func(m ownership.FencingToken)
	// Late, once it is set, is called after the owner has looked at its lease and before it sends: whatever happens in between, receivers
	// have to bear.
	Late func()

	owner  Owner
	number uint64
	at     Time
}

// Start is the Job's.
func (d *Drill) Start(now Time, o Owner, _, number uint64, left []byte) error {
	d.owner, d.number, d.at = o, number, now
	return nil
}

// Step tells the next number.
func (d *Drill) Step(now Time) {
	if now-d.at < d.Every {
		return
	}
	d.at = now
	d.number++
	send := d.owner.SendEffect
	if late := d.Late; late != nil {
		if sure, may := d.owner.(interface {
			SendEffectUnchecked(to uint32, number uint64, body []byte)
		}); may {
			send = sure.SendEffectUnchecked // it has looked, and looks no more
		}
		d.Late = nil
		late()
	}
	for _, m := range d.owner.Members() {
		send(m.Peer, d.number, nil)
	}
	if d.number%10 == 0 {
		var w encoding.Writer
		d.owner.StoreCheckpoint(d.number, w.Uint(d.number).Data)
	}
}

// Stop is the Job's.
func (d *Drill) Stop() (uint64, []byte) {
	d.owner = nil
	d.number++
	var w encoding.Writer
	return d.number, w.Uint(d.number).Data
}

// QueryReceived is the Job's.
func (d *Drill) QueryReceived(Time, uint32, uint64, []byte) {}

// EffectAcknowledged is the Job's.
func (d *Drill) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

// CheckpointStored is the Job's.
func (d *Drill) CheckpointStored(Time, uint64, bool) {}

// ApplyEffect is the Job's.
func (d *Drill) ApplyEffect(_ Time, m ownership.FencingToken, _ []byte) {
	if d.Taken != nil {
		d.Taken(m)
	}
}
