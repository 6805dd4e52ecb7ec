package rules

import (
	"fmt"

	"croftlock/internal/jobs"
	"croftlock/internal/ownership"
)

// right is what a member was given last.
type right struct {
	number uint64
	until  Time
}

// Keeper is the owner's part: it orders the versions and gives the right to act by the active one. A newer version becomes active once
// everyone who may hold a right has it ready, or that right has lapsed.
type Keeper struct {
	Within Time
	Told   func(now Time) // the receiver's part

	owner          jobs.Owner
	number         uint64
	blind          Time // until then an earlier keeper's rights may be held
	active, staged *Version
	hash           Hash // of the one staged
	since          Time // when staged came
	noting         func(ok bool)
	notedAt        Time // when the group was asked to keep it
	rights         map[uint32]right
	ready          map[uint32]Hash
	faults         map[uint32]string
	asker          func(answer string)
}

// Start goes on from what the keeper before has left.
func (k *Keeper) Start(now Time, o jobs.Owner, _, number uint64, left []byte) error {
	k.owner, k.number, k.blind, k.since = o, number, Lapsed(now, k.Within), now
	k.active, k.staged, k.noting, k.asker = &Version{}, nil, nil, nil
	k.rights, k.ready, k.faults = map[uint32]right{}, map[uint32]Hash{}, map[uint32]string{}
	if len(left) == 0 {
		return nil
	}
	var s kept
	err := decoding().Unmarshal(left, &s)
	if err == nil && len(s.Active) > 0 {
		k.active, err = Decode(s.Active)
	}
	if err == nil && len(s.Staged) > 0 {
		if k.staged, err = Decode(s.Staged); err == nil {
			k.hash = k.staged.Hash()
		}
	}
	if err != nil {
		return fmt.Errorf("rules: what the keeper before left: %w", err)
	}
	return nil
}

// Stop ends the keeper's part. Whoever waits for an answer gets none: it is not known.
func (k *Keeper) Stop() (uint64, []byte) {
	left := k.left(k.active, k.staged)
	k.owner = nil
	k.number++
	return k.number, left
}

func (k *Keeper) left(active, staged *Version) []byte {
	s := kept{Active: active.Encode()}
	if staged != nil {
		s.Staged = staged.Encode()
	}
	return marshal(s)
}

// note has a state kept by the group before anybody acts by it.
func (k *Keeper) note(now Time, active, staged *Version, then func(ok bool)) {
	k.number++
	k.noting, k.notedAt = then, now
	if err := k.owner.Note(k.number, k.left(active, staged)); err != nil {
		k.noting = nil
		then(false)
	}
}

// Noted tells whether the group keeps it.
func (k *Keeper) Noted(now Time, number uint64, ok bool) {
	if then := k.noting; then != nil && number == k.number {
		k.noting = nil
		then(ok)
	}
	k.Step(now)
}

// Asked takes a question.
func (k *Keeper) Asked(now Time, from uint32, tag uint64, body []byte) {
	if k.owner == nil || len(body) == 0 {
		return
	}
	answer := func(text string) { k.owner.Answer(from, tag, []byte(text)) }
	switch body[0] {
	case askKeep:
		k.keep(now, from, tag, body[1:])
	case askPut:
		k.put(now, answer, body[1:])
	case askShow:
		answer(k.show(now))
	default:
		answer("refused: a question that is not known here")
	}
}

func (k *Keeper) keep(now Time, from uint32, tag uint64, body []byte) {
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
	h := k.active.Hash()
	a := keepAnswer{Right: k.active.Number, Hash: h[:]}
	if q.Active != k.active.Number && k.ready[from] != h || q.Active == 0 && q.Ready == 0 {
		a.Active = k.active.Encode()
	}
	if k.staged != nil && k.ready[from] != k.hash && !faulty {
		a.Staged = k.staged.Encode()
	}
	k.rights[from] = right{k.active.Number, Lapsed(now, k.Within)}
	k.owner.Answer(from, tag, marshal(a))
	k.Step(now)
}

func (k *Keeper) put(now Time, answer func(string), body []byte) {
	var p proposal
	if decoding().Unmarshal(body, &p) != nil {
		answer("refused: a change that can't be read")
		return
	}
	v, err := Decode(p.Version)
	if err != nil {
		answer("refused: " + err.Error())
		return
	}
	switch h := v.Hash(); {
	case v.Number != p.Against+1:
		answer(fmt.Sprintf("refused: version %d was made against %d", v.Number, p.Against))
	case h == k.active.Hash():
		answer(k.stands(now)) // asked twice is as once
	case k.staged != nil && h == k.hash:
		k.asker = answer
	case k.staged != nil:
		answer(fmt.Sprintf("refused: version %d is on its way, ask again", k.staged.Number))
	case p.Against != k.active.Number:
		answer(fmt.Sprintf("refused: it was made against version %d, and %d is active", p.Against, k.active.Number))
	case k.noting != nil:
		answer("refused: another change is being kept, ask again")
	default:
		k.note(now, k.active, v, func(ok bool) {
			if !ok {
				answer("unknown: the group has not said whether it keeps it; show tells")
				return
			}
			k.staged, k.hash, k.since, k.asker = v, h, now, answer
			clear(k.faults)
			k.call()
		})
	}
}

// call has everybody ask at once.
func (k *Keeper) call() {
	for _, m := range k.owner.Members() {
		if m.Here {
			k.owner.Do(m.Peer, k.number, []byte{1})
		}
	}
}

// Step makes the next version active once nobody can act by another one that does not have it, or gives it up.
func (k *Keeper) Step(now Time) {
	if then := k.noting; k.owner != nil && then != nil && now-k.notedAt > k.Within {
		k.noting = nil // the word that it is kept may have been lost
		then(false)
	}
	if k.owner == nil || k.staged == nil || k.noting != nil {
		return
	}
	late := false
	for peer, r := range k.rights {
		if r.until <= now {
			delete(k.rights, peer)
			continue
		}
		if f := k.faults[peer]; f != "" {
			k.drop(now, fmt.Sprintf("refused: %s: %s", k.name(peer), f))
			return
		}
		late = late || k.ready[peer] != k.hash
	}
	if late && now-k.since > 3*k.Within {
		k.drop(now, "refused: not everyone that holds a right has it ready")
		return
	}
	if late || now < k.blind {
		return
	}
	next := k.staged
	k.note(now, next, nil, func(ok bool) {
		if !ok {
			return // the same state is kept at a later step
		}
		k.active, k.staged = next, nil
		k.call()
		k.tell(k.stands(now))
	})
}

func (k *Keeper) drop(now Time, why string) {
	k.note(now, k.active, nil, func(ok bool) {
		if ok {
			k.staged = nil
			k.tell(why)
		}
	})
}

func (k *Keeper) tell(answer string) {
	if k.asker != nil {
		k.asker(answer)
		k.asker = nil
	}
}

// Acked is the Job's: who has heard that there is something new asks by itself.
func (k *Keeper) Acked(Time, uint32, ownership.Mark, ownership.Verdict) {}

func marshal(x any) []byte {
	data, err := encoding().Marshal(x)
	if err != nil {
		panic(err) // structures of this package
	}
	return data
}
