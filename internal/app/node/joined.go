package node

import (
	"log/slog"
	"time"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/owneragent"
)

// join begins to take part in the membership of the fleet, where the operators want it; a process that replaces another does so
// once it has taken over, in the same place: to the others it is one member with a new life.
func (r *replacement) join(o memberagent.Options, now bool) (err error) {
	r.joining, r.began = o, time.Now()
	if o.On && now {
		r.members, err = memberagent.Start(r.loop, o, r.cfg.Name, r.began, r.platform())
	}
	if err == nil && now {
		r.lay()
		err = r.own()
	}
	return err
}

// own begins to take part in the fleet's work, where the operators want it. Membership has to be on.
func (r *replacement) own() (err error) {
	if !r.owning.Enabled {
		return nil
	}
	if r.owners, err = owneragent.Start(r.loop, r.owning, r.cfg.Name, r.members, r.core.SuspendForFleet); err == nil && r.owners.Paced() {
		r.core.SetPacer(r.owners)
	}
	if g := r.owners.Enforcer(); err == nil && g != nil {
		r.core.SetQuota(r.owners)
		r.core.SetRules(g)
		r.owners.OnRulesChanged(r.core.ReassignPools)
	}
	return err
}

// leave gives the fleet's work back, and then tells the others that this process ends in order.
func (r *replacement) leave() {
	r.owners.Leave(func() { r.members.Leave() })
}

func (r *replacement) platform() memberagent.Platform {
	return memberagent.Platform{Link: r.peers, PeerCount: len(r.cfg.Peers.Peers), OwnNumber: r.cfg.Settings.Instance}
}

// rejoin is join for a process that has come to be the one that serves; the other one may hold the address a moment longer.
func (r *replacement) rejoin() {
	if !r.joining.On || r.handed {
		return
	}
	r.owners.Yield()
	r.members.Yield()
	s, err := memberagent.Start(r.loop, r.joining, r.cfg.Name, time.Now(), r.platform())
	if err != nil {
		slog.Warn("membership_delayed", "reason", err)
		r.loop.After(tellEvery, r.rejoin)
		return
	}
	r.members = s
	r.lay()
	if err := r.own(); err != nil {
		slog.Warn("owners_off", "reason", err)
	}
}
