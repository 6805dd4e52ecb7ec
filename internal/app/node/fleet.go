package node

import (
	"log/slog"
	"time"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/watermark"
	"croftlock/internal/operations/settings"
)

// rejoinInterval is the delay before rejoinFleet retries.
const rejoinInterval = 250 * time.Millisecond

// fleet holds the settings file's options for the fleet and the agents that use them.
type fleet struct {
	memberOptions    memberagent.Options
	ownerOptions     owneragent.Options
	watermarkOptions watermark.Options

	// Each is nil if it is disabled, or not started yet because another process of this proxy
	// serves.
	members    *memberagent.Agent
	owners     *owneragent.Agent
	watermarks *watermark.Link
}

// newFleet returns the options of a settings file, without agents.
func newFleet(file *settings.File) fleet {
	return fleet{memberOptions: membershipOptions(file), ownerOptions: ownerOptions(file), watermarkOptions: watermarkOptions(file)}
}

// joinFleet starts the agents that the settings file enables.
func (p *process) joinFleet() (err error) {
	if p.fleet.memberOptions.Enabled {
		p.fleet.members, err = p.startMembers()
	}
	if err != nil {
		return err
	}
	p.startWatermarks()
	return p.startOwners()
}

// rejoinFleet joins the fleet after this process has taken over from another one, or taken back. To
// other proxies it is the same member with a new incarnation. It retries, since the other process
// may hold the address a moment longer.
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

// startMembers starts the member agent. The incarnation starts at the current time.
func (p *process) startMembers() (*memberagent.Agent, error) {
	platform := memberagent.Platform{Link: p.peers, ProxyCount: len(p.cfg.Peers.Peers), OwnNumber: p.cfg.Settings.Instance}
	return memberagent.Start(p.loop, p.fleet.memberOptions, p.cfg.Name, time.Now(), platform)
}

// startOwners starts the owner agent, if it is enabled, and connects it to the core. Membership
// must be enabled.
func (p *process) startOwners() error {
	f := &p.fleet
	if !f.ownerOptions.Enabled {
		return nil
	}
	var err error
	if f.owners, err = owneragent.Start(p.loop, f.ownerOptions, p.cfg.Name, f.members, p.core.SetFleetSuspensions); err != nil {
		return err
	}
	if f.owners.PacesMigrations() {
		p.core.SetPacer(f.owners)
	}
	if enforcer := f.owners.Enforcer(); enforcer != nil {
		p.core.SetQuota(f.owners)
		p.core.SetRules(enforcer)
		f.owners.OnRulesChanged(p.core.ReassignPools)
	}
	return nil
}

// announceLeave releases this process's jobs and then announces its shutdown to the other members.
func (p *process) announceLeave() {
	p.fleet.owners.Leave(func() { p.fleet.members.Leave() })
}
