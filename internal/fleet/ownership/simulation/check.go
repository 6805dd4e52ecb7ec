package simulation

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/ownership"
)

// ErrBroken is what a check found.
var ErrBroken = errors.New("a check failed")

// Play runs the faults, then calm time, and gives what the checks found.
func (r *Run) Play() error {
	end := r.cfg.Lasts + 40*Sec
	for _, f := range r.plan {
		end = max(end, f.At+f.For+40*Sec)
	}
	for ; r.now < end && len(r.broken) == 0; r.now += step {
		for len(r.plan) > 0 && r.plan[0].At <= r.now {
			f := r.plan[0]
			r.plan = r.plan[1:]
			r.begin(f)
			r.ends = append(r.ends, f)
		}
		for i := 0; i < len(r.ends); i++ {
			if f := r.ends[i]; f.At+f.For <= r.now {
				r.ends = slices.Delete(r.ends, i, i+1)
				i--
				r.end(f)
			}
		}
		r.mailRound()
		for i, p := range r.ps {
			if !p.up || r.now < p.paused {
				continue
			}
			if p.paused > 0 {
				p.paused = 0
				for _, a := range p.acts {
					a()
				}
				p.acts = nil
				q := p.queue
				p.queue = nil
				for _, m := range q {
					r.deliver(m)
				}
			}
			if r.now >= p.tickAt {
				p.tickAt = r.now + 50*Ms
				r.act(i)
			}
		}
		r.check()
	}
	if len(r.broken) == 0 {
		r.settled()
	}
	if len(r.broken) > 0 {
		return fmt.Errorf("%w: seed %d, %d processes, %d voters, disks %t: %s", ErrBroken, r.cfg.Seed, r.cfg.Processes, r.cfg.Voters, r.cfg.Disks, strings.Join(r.broken, "; "))
	}
	return nil
}

func (r *Run) mailRound() {
	due := r.mails[:0:0]
	kept := r.mails[:0]
	for _, m := range r.mails {
		if m.at <= r.now {
			due = append(due, m)
		} else {
			kept = append(kept, m)
		}
	}
	r.mails = kept
	sort.Slice(due, func(i, j int) bool { return due[i].at < due[j].at || due[i].at == due[j].at && due[i].n < due[j].n })
	for _, m := range due {
		r.deliver(m)
	}
}

// check is what must hold at every step: of processes that are awake, one leads and one owns each job.
func (r *Run) check() {
	holders := map[string]string{}
	leads := ""
	for _, p := range r.ps {
		if !p.up || r.now < p.paused {
			continue
		}
		now := r.local(p)
		if !r.cfg.Disks && p.group != nil {
			if _, ok := p.group.Leading(); ok && now < p.group.(*ownership.Quorum).LeaseEnd() {
				if leads != "" {
					r.fail("%s and %s both lead", leads, p.name)
				}
				leads = p.name
			}
		}
		for n, j := range p.jobs {
			if p.core.Holds(now, n, j.token) {
				if o := holders[n]; o != "" {
					r.fail("%s and %s both own %s", o, p.name, n)
				}
				holders[n] = p.name
			}
		}
	}
	for i := range r.cfg.Jobs {
		n := fmt.Sprintf("job%d", i)
		if holders[n] != "" {
			if at, had := r.ownedAt[n]; had && r.now-at > step {
				r.Gaps = append(r.Gaps, r.now-at)
			}
			r.ownedAt[n] = r.now
		}
	}
}

// settled is what must hold at the end.
func (r *Run) settled() {
	stale := 0
	for i, p := range r.ps {
		if p.raft != nil {
			if ph, _ := p.raft.Phase(); ph != consensus.Member {
				stale++
			}
		} else if i < r.cfg.Voters && r.cfg.Disks {
			stale++
		}
	}
	if r.cfg.Disks && 2*(r.cfg.Voters-stale) <= r.cfg.Voters {
		return // a majority of voters is lost, and nothing can be decided without operators
	}
	for i := range r.cfg.Jobs {
		n := fmt.Sprintf("job%d", i)
		if at, had := r.ownedAt[n]; !had || r.now-at > 2*Sec {
			r.fail("%s has had no owner since %d ms", n, at/Ms)
		}
	}
}
