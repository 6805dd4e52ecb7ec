package simulation

import (
	"errors"
	"fmt"
	"slices"
	"sort"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/ownership"
)

// act is a process's turn: its jobs, too.
func (r *Run) act(i int) {
	p := r.ps[i]
	now := r.local(p)
	p.core.Tick(now)
	names := make([]string, 0, len(p.jobs))
	for n := range p.jobs {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		j := p.jobs[n]
		if j == nil || now < j.stepAt || !p.core.Holds(now, n, j.token) {
			continue
		}
		j.stepAt = now + 100*Ms
		r.do(i, n, j)()
	}
}

// do is what follows a check that this process owns a job: an effect at all, and now and then something to be kept.
func (r *Run) do(i int, name string, j *job) func() {
	p := r.ps[i]
	j.number++
	m, life := ownership.FencingToken{Token: j.token, Sequence: j.number}, p.life
	return func() {
		if !p.up || p.life != life {
			return
		}
		now := r.local(p)
		for to := range r.ps {
			p.core.SendEffect(now, consensus.PeerID(r.ps[to].name), name, m, []byte("x"))
		}
		if m.Sequence%3 == 0 {
			p.core.StoreCheckpoint(now, name, m.Token, m.Sequence, []byte(fmt.Sprint(m.Sequence)))
		}
	}
}

func (r *Run) begin(f Fault) {
	Trace(r.now, "", "fault", []any{f})
	p := r.ps[f.A]
	switch f.Kind {
	case "pause":
		if p.up && r.now >= p.paused {
			p.paused = r.now + f.For
			names := make([]string, 0, len(p.jobs))
			for n := range p.jobs {
				names = append(names, n)
			}
			sort.Strings(names)
			for _, n := range names {
				if j := p.jobs[n]; p.core.Holds(r.local(p), n, j.token) {
					p.acts = append(p.acts, r.do(f.A, n, j)) // it has looked at its lease, and now it sleeps
				}
			}
		}
	case "kill":
		r.kill(f.A, f.Part > 0.35 && r.damage(f.A))
	case "all-killed":
		for i := range r.ps {
			r.kill(i, false)
		}
	case "leave":
		if p.up && r.now >= p.paused {
			p.core.Leave(r.local(p), "leaving")
			p.core.Yield(r.local(p))
		}
	case "full":
		p.disk.Fail = errors.New("no space left")
	case "copy-back":
		if r.damage(f.A) {
			s := p.disk.Copy()
			p.copied = &s
		}
	case "clock":
		p.wall += Time((f.Part - 0.2) * 5 * 3600 * float64(Sec))
	case "held-back":
		r.holds[f.A] = r.now + f.For
	default:
		r.links(f, 1)
	}
}

// damage tells whether a voter's disk may be lost or put back: more than a minority's can't be borne, nor is it promised.
func (r *Run) damage(i int) bool {
	if !r.cfg.Disks || i >= r.cfg.Voters {
		return false
	}
	if r.damaged == nil {
		r.damaged = map[int]bool{}
	}
	if !r.damaged[i] && 2*(len(r.damaged)+1) >= r.cfg.Voters {
		return false
	}
	r.damaged[i] = true
	return true
}

func (r *Run) links(f Fault, by int) {
	for i := range r.ps {
		for j := range r.ps {
			hit := false
			switch f.Kind {
			case "cut":
				hit = i == f.A || j == f.A
			case "one-way":
				hit = i == f.A && j == f.B
			case "deaf":
				hit = j == f.A
			case "mute":
				hit = i == f.A
			case "halves":
				hit = (i <= min(f.A, f.B)) != (j <= min(f.A, f.B))
			}
			if hit && i != j {
				r.cut[i][j] += by
			}
		}
	}
	if f.Kind == "loss" {
		if r.loss = 0; by > 0 {
			r.loss = f.Part
		}
	}
}

func (r *Run) end(f Fault) {
	p := r.ps[f.A]
	switch f.Kind {
	case "kill":
		if !p.up {
			r.start(f.A)
		}
	case "all-killed":
		for i, p := range r.ps {
			if !p.up {
				r.start(i)
			}
		}
	case "leave":
		r.kill(f.A, false)
		r.start(f.A)
	case "full":
		p.disk.Fail = nil
		r.kill(f.A, false)
		r.start(f.A)
	case "copy-back":
		if p.copied != nil {
			r.kill(f.A, false)
			p.disk.PutBack(*p.copied)
			p.copied = nil
			r.start(f.A)
		}
	case "pause", "held-back", "clock":
	default:
		r.links(f, -1)
	}
}

// Faults is the plan.
func (r *Run) Faults() []Fault { return slices.Clone(r.plan) }
