package simulation

import "errors"

var errDiskFull = errors.New("no space left")

// diskLossThreshold is the Fault.Amount above which a killed process loses its disk.
const diskLossThreshold = 0.35

// clockStep returns the step of the wall clock for a Fault.Amount. An amount of maxAmount/2 means no
// step, and 0 and maxAmount an hour backwards and forwards.
func clockStep(amount float64) Time { return Time((amount - maxAmount/2) * 5 * 3600 * float64(Sec)) }

// beginFault applies a fault.
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

// endFault ends a fault. It restores the links that the fault cut, and restarts the processes that it
// stopped or whose disk it affected.
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
	case faultPause, faultHeldBack, faultClock: // a pause and held-back messages end by themselves; a clock step lasts
	case faultLoss:
		r.network.loss = 0
	default:
		r.network.cut(f, -1)
	}
}

// pause pauses a process for d, right after its jobs have checked their lease. When the process continues,
// it sends the effects (messages of a job's owner) for which they checked, although the lease may have
// ended: only fencing protects against these effects.
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

// startIfDown starts a process unless it is running, for example because another fault has ended.
func (r *Run) startIfDown(p *process) {
	if !p.running {
		r.start(p)
	}
}

// restoreDiskCopy restarts a process with the copy of its disk that faultCopyBack made, if there is
// one.
func (r *Run) restoreDiskCopy(p *process) {
	if p.diskCopy == nil {
		return
	}
	r.kill(p, false)
	p.disk.Restore(*p.diskCopy)
	p.diskCopy = nil
	r.start(p)
}

// mayDamageDisk reports whether a voter's disk may be lost or replaced by an old copy, and counts
// it as damaged if so. It allows this for a minority of the voters at most: beyond that the group
// guarantees nothing.
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

// cut adds delta, which is 1 or -1, to the number of faults that cut each link affected by a fault.
func (n *network) cut(f Fault, delta int) {
	for from := range n.cuts {
		for to := range n.cuts {
			if from != to && cutsLink(f, from, to) {
				n.cuts[from][to] += delta
			}
		}
	}
}

// cutsLink reports whether a fault cuts the link from one process to another.
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
