package simulation

import "errors"

var errDiskFull = errors.New("no space left")

// diskLossThreshold is the Part above which a process that is killed loses its disk.
const diskLossThreshold = 0.35

// clockStep turns a Part into a step of the wall clock, by at most an hour either way.
func clockStep(part float64) Time { return Time((part - maxAmount/2) * 5 * 3600 * float64(Sec)) }

func (r *Run) beginFault(f Fault) {
	Trace(r.now, "", "fault", []any{f})
	p := r.processes[f.Process]
	switch f.Kind {
	case faultPause:
		r.pause(p, f.Duration)
	case faultKill:
		r.kill(p, f.Amount > diskLossThreshold && r.mayDamageDisk(f.Process))
	case faultAllKilled:
		for _, p := range r.processes {
			r.kill(p, false)
		}
	case faultLeave:
		if r.awake(p) {
			p.core.Leave(r.localTime(p), "leaving")
			p.core.TransferLeadership(r.localTime(p))
		}
	case faultFull:
		p.disk.InjectedErr = errDiskFull
	case faultCopyBack:
		if r.mayDamageDisk(f.Process) {
			state := p.disk.Copy()
			p.diskCopy = &state
		}
	case faultClock:
		p.wallOffset += clockStep(f.Amount)
	case faultHeldBack:
		r.network.delayedUntil[f.Process] = r.now + f.Duration
	case faultLoss:
		r.network.loss = f.Amount
	default:
		r.network.cut(f, 1)
	}
}

func (r *Run) endFault(f Fault) {
	p := r.processes[f.Process]
	switch f.Kind {
	case faultKill:
		r.startIfDown(p)
	case faultAllKilled:
		for _, p := range r.processes {
			r.startIfDown(p)
		}
	case faultLeave:
		r.restart(p)
	case faultFull:
		p.disk.InjectedErr = nil
		r.restart(p)
	case faultCopyBack:
		r.restoreDiskCopy(p)
	case faultPause, faultHeldBack, faultClock: // these end by their time, or last
	case faultLoss:
		r.network.loss = 0
	default:
		r.network.cut(f, -1)
	}
}

// pause has a process sleep right after its jobs have checked their lease. On waking it sends the effects that it checked for: this is what
// fencing is for.
func (r *Run) pause(p *process, d Time) {
	if !r.awake(p) {
		return
	}
	p.pausedUntil = r.now + d
	for _, name := range p.jobNames() {
		if j := p.jobs[name]; p.core.IsOwner(r.localTime(p), name, j.token) {
			p.checkedSends = append(p.checkedSends, r.nextEffect(p, name, j))
		}
	}
}

func (r *Run) startIfDown(p *process) {
	if !p.running {
		r.start(p)
	}
}

func (r *Run) restoreDiskCopy(p *process) {
	if p.diskCopy == nil {
		return
	}
	r.kill(p, false)
	p.disk.Restore(*p.diskCopy)
	p.diskCopy = nil
	r.start(p)
}

// mayDamageDisk reports whether a voter's disk may be lost or replaced by an old copy. No more than a minority is: beyond that the group guarantees nothing.
func (r *Run) mayDamageDisk(voter int) bool {
	if !r.cfg.Disks || voter >= r.cfg.Voters {
		return false
	}
	if !r.damagedDisks[voter] && 2*(len(r.damagedDisks)+1) >= r.cfg.Voters {
		return false
	}
	r.damagedDisks[voter] = true
	return true
}

// cut adds one cut (by = 1) to each link that a fault hits, or takes it away (by = -1).
func (n *network) cut(f Fault, by int) {
	for from := range n.cuts {
		for to := range n.cuts {
			if from != to && cutsLink(f, from, to) {
				n.cuts[from][to] += by
			}
		}
	}
}

func cutsLink(f Fault, from, to int) bool {
	switch f.Kind {
	case faultCut:
		return from == f.Process || to == f.Process
	case faultOneWay:
		return from == f.Process && to == f.OtherProcess
	case faultDeaf:
		return to == f.Process
	case faultMute:
		return from == f.Process
	case faultHalves:
		boundary := min(f.Process, f.OtherProcess)
		return (from <= boundary) != (to <= boundary)
	}
	return false
}
