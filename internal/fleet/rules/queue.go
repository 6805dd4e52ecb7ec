package rules

import (
	"bytes"
	"fmt"
	"slices"

	"croftlock/internal/fleet/namespace"
)

// pending is a change and who waits for its answer.
type pending struct {
	*Change
	who    string
	answer func(string)
	alone  bool // it is tried without others: one of a round that could not be used
}

const mostWaiting = 64

// put takes a change. What is wrong with it by itself is answered at once, and takes nobody's time but the coordinator's.
func (k *Coordinator) put(now Time, answer func(string), body []byte) {
	c := &Change{}
	body, err := loosen(body)
	if err != nil || len(body) > mostBytes+mostBytes/4 || decoding().Unmarshal(body, c) != nil || len(c.ID) > 16 || len(c.Part) > 2*mostName {
		answer("refused: a change that can't be read")
		return
	}
	refuse := func(who, why string) {
		k.turn(c, who, why)
		answer("refused: " + why)
	}
	// The same once more is as once, and costs nothing of what it may ask for: whoever has heard no answer asks again.
	for _, p := range append(k.waiting[:len(k.waiting):len(k.waiting)], k.made...) {
		if len(c.ID) > 0 && bytes.Equal(p.ID, c.ID) {
			p.answer = answer
			return
		}
	}
	if done := named(k.trail, c.ID); done != nil && (k.staged == nil || !k.active.between()) {
		answer(k.wasMade(now, done))
		return
	}
	if k.staged != nil && named(k.next, c.ID) != nil {
		k.made = append(k.made, &pending{Change: c, answer: answer}) // a coordinator before this one has begun it
		return
	}
	if !k.afford(now, c) {
		answer(fmt.Sprintf("refused: more changes of %s a minute than it may have, ask again in some seconds", c.about()))
		return
	}
	for _, p := range append(k.waiting[:len(k.waiting):len(k.waiting)], k.made...) {
		if p.about() == c.about() {
			refuse("", fmt.Sprintf("another change of %s is on its way, ask again", c.about()))
			return
		}
	}
	who, err := k.allowed(c, k.active)
	if err != nil {
		refuse(who, err.Error())
		return
	}
	v, err := k.active.Apply(c, k.read)
	switch {
	case err != nil:
		refuse(who, err.Error())
	case same(v, k.active) && k.staged == nil:
		answer(k.stands(now)) // it holds already
	case len(k.waiting) >= mostWaiting:
		answer("refused: too many changes are on their way, ask again")
	default:
		k.waiting = append(k.waiting, &pending{Change: c, who: who, answer: answer, alone: c.Kind == Rollback})
		k.Step(now)
	}
}

// named is the change of a trail that has an id; nil: there is none.
func named(trail []AuditEntry, id []byte) *AuditEntry {
	if i := slices.IndexFunc(trail, func(e AuditEntry) bool { return len(id) > 0 && bytes.Equal(e.ID, id) }); i >= 0 {
		return &trail[i]
	}
	return nil
}

// wasMade answers for a change that was made.
func (k *Coordinator) wasMade(now Time, e *AuditEntry) string {
	s := k.stands(now)
	if e.Number < k.active.Number {
		s += fmt.Sprintf("; this change was made as version %d", e.Number)
	}
	return s
}

// same tells whether two versions say the same but for their numbers.
func same(a, b *Version) bool {
	x, y := a.next(), b.next()
	for _, v := range []*Version{x, y} {
		v.Number, v.Root = 0, 0
		for i := range v.Book.Accounts {
			v.Book.Accounts[i].Number = 0
		}
		for i := range v.Book.Spaces {
			v.Book.Spaces[i].Number = 0
		}
	}
	return bytes.Equal(marshal(x), marshal(y))
}

// stage makes one version of all changes that wait, so that one customer's change waits for nobody else's. Each is checked again: what was
// revoked since, or changed by another, is refused.
func (k *Coordinator) stage(now Time) {
	if k.active.between() {
		k.settle(now, nil) // a coordinator before this one has begun it
		return
	}
	if len(k.waiting) == 0 {
		return
	}
	round := k.waiting
	if i := slices.IndexFunc(round, func(p *pending) bool { return p.alone }); i >= 0 {
		round = round[:max(1, i)]
	}
	k.waiting = k.waiting[len(round):]
	v, made, trail := k.active.next(), []*pending(nil), k.trail
	for _, p := range round {
		who, err := k.allowed(p.Change, v)
		next := v.next()
		next.Number = v.Number
		if err == nil {
			err = next.apply(k.active, p.Change, k.read)
		}
		if err != nil {
			k.turn(p.Change, p.who, err.Error())
			p.answer("refused: " + err.Error())
			continue
		}
		if next.Book == nil {
			next.Book = &namespace.Book{}
		}
		v, made = next, append(made, p)
		trail = follow(trail, AuditEntry{Number: v.Number, ID: p.ID, Who: who, What: p.about(), Wall: k.wall()})
	}
	if len(made) == 0 {
		k.stage(now)
		return
	}
	if moves(k.active, v) {
		v.Book.Was = bare(k.active)
	}
	if err := v.tidy(); err != nil {
		for _, p := range made {
			p.answer("refused: " + err.Error())
		}
		return
	}
	k.prepare(now, v, trail, made)
}

// prepare has the group keep a version as the next one.
func (k *Coordinator) prepare(now Time, v *Version, trail []AuditEntry, made []*pending) {
	k.made = made // they are on their way from here on
	k.note(now, k.left(k.active, v, trail, k.past), func(ok bool) {
		if !ok {
			k.made = nil
			for _, p := range made {
				p.answer("unknown: the group has not said whether it keeps it; show tells")
			}
			return
		}
		k.staged, k.hash, k.since, k.next, k.made = v, v.Hash(), now, trail, made
		clear(k.faults)
		k.call()
	})
}

// activate makes the staged version the active one.
func (k *Coordinator) activate(now Time) {
	v, past := k.staged, k.passed(k.staged)
	k.note(now, k.left(v, nil, k.next, past), func(ok bool) {
		if !ok {
			return // the same state is kept at a later step
		}
		made := k.made
		k.active, k.is, k.staged, k.trail, k.past, k.made = v, v.Hash(), nil, k.next, past, nil
		if v.between() {
			k.settle(now, made)
		}
		k.call() // whoever asks may begin the next round
		if !v.between() {
			for _, p := range made {
				p.answer(k.stands(now))
			}
		}
	})
}

// settle gives what changes hands to whom it belongs now, once nobody can act by what was before.
func (k *Coordinator) settle(now Time, made []*pending) {
	v := k.active.next()
	if err := v.tidy(); err == nil {
		k.prepare(now, v, k.trail, made)
	}
}

// drop gives the staged version up. Of several changes each is tried once more by itself, so that one that can't be used holds up no other.
func (k *Coordinator) drop(now Time, why string) {
	made := k.made
	k.note(now, k.left(k.active, nil, k.trail, k.past), func(ok bool) {
		if !ok {
			return
		}
		k.staged, k.made, k.next = nil, nil, k.trail
		for _, p := range made {
			if p.alone = len(made) > 1; !p.alone {
				k.turn(p.Change, p.who, why)
				p.answer(why)
			}
		}
		if len(made) > 1 {
			k.waiting = append(made, k.waiting...)
		}
	})
}

func (k *Coordinator) wall() int64 {
	if k.Wall == nil {
		return 0
	}
	return k.Wall()
}
