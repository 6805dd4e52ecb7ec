package node

import (
	"log/slog"
	"time"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/watermark"
	"croftlock/internal/operations/settings"
)

// rejoinInterval is the pause before a process that serves tries to join again.
const rejoinInterval = 250 * time.Millisecond

// fleet is the process's part in the fleet: what the settings file says, and the agents.
type fleet struct {
	memberOptions    memberagent.Options
	ownerOptions     owneragent.Options
	watermarkOptions watermark.Options

	members    *memberagent.Agent // nil: off, or another process's still
	owners     *owneragent.Agent  // the same
	watermarks *watermark.Link    // the same
}

func newFleet(file *settings.File) fleet {
	return fleet{memberOptions: membershipOptions(file), ownerOptions: ownerOptions(file), watermarkOptions: watermarkOptions(file)}
}

// joinFleet begins to take part in the fleet, where the operators want it. A process that replaces another (not now) does so once it has taken
// over, in the same place: to the others it is one member with a new incarnation.
func (p *process) joinFleet(now bool) (err error) {
	if !now {
		return nil
	}
	if p.fleet.memberOptions.Enabled {
		p.fleet.members, err = p.startMembers()
	}
	if err != nil {
		return err
	}
	p.startWatermarks()
	return p.startOwners()
}

// rejoinFleet is joinFleet for a process that has come to be the one that serves; the other one may hold the address a moment longer.
func (p *process) rejoinFleet() {
	if !p.fleet.memberOptions.Enabled || p.restart.phase == handedOver {
		return
	}
	p.fleet.owners.Stop()
	p.fleet.members.Stop()
	members, err := p.startMembers()
	if err != nil {
		slog.Warn("membership_delayed", "reason", err)
		p.loop.After(rejoinInterval, p.rejoinFleet)
		return
	}
	p.fleet.members = members
	p.startWatermarks()
	if err := p.startOwners(); err != nil {
		slog.Warn("owners_off", "reason", err)
	}
}

// startMembers starts membership, with an incarnation that begins now.
func (p *process) startMembers() (*memberagent.Agent, error) {
	platform := memberagent.Platform{Link: p.peers, ProxyCount: len(p.cfg.Peers.Peers), OwnNumber: p.cfg.Settings.Instance}
	return memberagent.Start(p.loop, p.fleet.memberOptions, p.cfg.Name, time.Now(), platform)
}

// startOwners begins to take part in the fleet's jobs, where the operators want it. Membership has to be on.
func (p *process) startOwners() error {
	f := &p.fleet
	if !f.ownerOptions.Enabled {
		return nil
	}
	var err error
	if f.owners, err = owneragent.Start(p.loop, f.ownerOptions, p.cfg.Name, f.members, p.core.SuspendForFleet); err != nil {
		return err
	}
	if f.owners.Paced() {
		p.core.SetPacer(f.owners)
	}
	if enforcer := f.owners.Enforcer(); enforcer != nil {
		p.core.SetQuota(f.owners)
		p.core.SetRules(enforcer)
		f.owners.OnRulesChanged(p.core.ReassignPools)
	}
	return nil
}

// announceLeave gives the fleet's jobs back, and then tells the others that this process ends in order.
func (p *process) announceLeave() {
	p.fleet.owners.Leave(func() { p.fleet.members.Leave() })
}
