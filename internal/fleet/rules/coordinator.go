package rules

import (
	"fmt"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// lease is what a member was given last.
type lease struct {
	number uint64
	until  Time
}

// Coordinator is the owner's part: it orders the versions and gives the lease to act by the active one. A newer version becomes active once
// everyone who may hold a lease has it ready, or that lease has lapsed.
type Coordinator struct {
	AgreeWithin Time
	Notified    func(now Time) // the receiver's part
	Wall        func() int64   // Unix milliseconds; nil: 0

	owner          jobs.Owner
	number         uint64
	blind          Time // until then an earlier coordinator's leases may be held
	active, staged *Version
	is, hash       Hash // of the one active, and of the one staged
	since          Time // when staged came
	trail, next    []AuditEntry
	past           [][]byte
	noting         func(ok bool)
	notedAt        Time // when the group was asked to keep it
	leases         map[uint32]lease
	ready          map[uint32]Hash
	faults         map[uint32]string
	waiting        []*pending // changes that no version holds yet
	made           []*pending // those that staged holds
	spent          map[string]*tokens
	travelling     map[[2]*Version][]byte
	turned         []string
}

// Start goes on from what the coordinator before has left.
func (k *Coordinator) Start(now Time, o jobs.Owner, _, number uint64, left []byte) error {
	k.owner, k.number, k.blind, k.since = o, number, LeaseSurelyEnded(now, k.AgreeWithin), now
	k.active, k.staged, k.noting, k.waiting, k.made, k.trail, k.next, k.past, k.turned = &Version{}, nil, nil, nil, nil, nil, nil, nil, nil
	k.is = k.active.Hash()
	k.leases, k.ready, k.faults, k.spent = map[uint32]lease{}, map[uint32]Hash{}, map[uint32]string{}, map[string]*tokens{}
	if len(left) == 0 {
		return nil
	}
	var s kept
	err := decoding().Unmarshal(left, &s)
	if err == nil && len(s.Active) > 0 {
		k.active, err = arrive(s.Active, only(nil))
	}
	if err == nil && len(s.Staged) > 0 {
		if k.staged, err = arrive(s.Staged, only(nil)); err == nil {
			k.hash = k.staged.Hash()
		}
	}
	if err != nil {
		return fmt.Errorf("rules: what the keeper before left: %w", err)
	}
	if err := CheckAuditLog(s.Trail); err != nil {
		k.turned, s.Trail = append(k.turned, err.Error()), nil // rules go on without it, and say so
	}
	k.is = k.active.Hash()
	// The staged version's changes are in the trail that was kept with it.
	k.past, k.next = s.History, s.Trail
	for k.trail = s.Trail; len(k.trail) > 0 && k.trail[len(k.trail)-1].Number > k.active.Number; {
		k.trail = k.trail[:len(k.trail)-1]
	}
	return nil
}

// Stop ends the coordinator's part. Whoever waits for an answer gets none: it is not known.
func (k *Coordinator) Stop() (uint64, []byte) {
	left := k.left(k.active, k.staged, k.next, k.past)
	k.owner = nil
	k.number++
	return k.number, left
}

// note has a state kept by the group before anybody acts by it.
func (k *Coordinator) note(now Time, left []byte, then func(ok bool)) {
	k.number++
	k.noting, k.notedAt = then, now
	if err := k.owner.StoreCheckpoint(k.number, left); err != nil {
		k.noting = nil
		then(false)
	}
}

// CheckpointStored tells whether the group keeps it.
func (k *Coordinator) CheckpointStored(now Time, number uint64, ok bool) {
	if then := k.noting; then != nil && number == k.number {
		k.noting = nil
		then(ok)
	}
	k.Step(now)
}

// keep takes a member's question for its lease.
func (k *Coordinator) keep(now Time, from uint32, tag uint64, body []byte) {
	var q keepAsk
	if decoding().Unmarshal(body, &q) != nil {
		return
	}
	k.ready[from], k.faults[from] = Hash{}, ""
	faulty := k.staged != nil && q.Fault != "" && string(q.FaultOf) == string(k.hash[:])
	if faulty {
		k.faults[from] = q.Fault
	}
	if len(q.ReadyHash) == len(Hash{}) {
		k.ready[from] = Hash(q.ReadyHash)
	}
	h := k.is
	a := keepAnswer{Right: k.active.Number, Hash: h[:]}
	if q.Active != k.active.Number && k.ready[from] != h || q.Active == 0 && q.Ready == 0 {
		a.Active = k.travels(k.active, nil)
	}
	if k.staged != nil && k.ready[from] != k.hash && !faulty {
		base := k.active
		if k.ready[from] != h {
			base = nil
		}
		a.Staged = k.travels(k.staged, base)
	}
	k.leases[from] = lease{k.active.Number, LeaseSurelyEnded(now, k.AgreeWithin)}
	k.owner.Reply(from, tag, marshal(a))
	k.Step(now)
}

// travels is travel, made once for all that ask and for what the group keeps.
func (k *Coordinator) travels(v, base *Version) []byte {
	key := [2]*Version{v, base}
	if k.travelling[key] == nil {
		if len(k.travelling) >= 4 { // the active one and the staged one, whole and different
			k.travelling = nil
		}
		if k.travelling == nil {
			k.travelling = map[[2]*Version][]byte{}
		}
		k.travelling[key] = v.travel(base)
	}
	return k.travelling[key]
}

// call has everybody ask at once.
func (k *Coordinator) call() {
	for _, m := range k.owner.Members() {
		if m.Present {
			k.owner.SendEffect(m.Peer, k.number, []byte{1})
		}
	}
}

// Step makes the next version active once nobody can act by another one that does not have it, or gives it up.
func (k *Coordinator) Step(now Time) {
	if then := k.noting; k.owner != nil && then != nil && now-k.notedAt > k.AgreeWithin {
		k.noting = nil // the word that it is kept may have been lost
		then(false)
	}
	if k.owner == nil || k.noting != nil {
		return
	}
	if k.staged == nil {
		k.stage(now)
		return
	}
	late := false
	for peer, r := range k.leases {
		if r.until <= now {
			delete(k.leases, peer)
			continue
		}
		if f := k.faults[peer]; f != "" {
			k.drop(now, fmt.Sprintf("refused: %s: %s", k.name(peer), f))
			return
		}
		late = late || k.ready[peer] != k.hash
	}
	if late && now-k.since > 3*k.AgreeWithin {
		k.drop(now, "refused: not everyone that holds a right has it ready")
		return
	}
	if !late && now >= k.blind {
		k.activate(now)
	}
}

// EffectAcknowledged is the Job's: who has heard that there is something new asks by itself.
func (k *Coordinator) EffectAcknowledged(Time, uint32, ownership.FencingToken, ownership.Verdict) {}

func marshal(x any) []byte {
	data, err := encoding().Marshal(x)
	if err != nil {
		panic(err) // structures of this package
	}
	return data
}
