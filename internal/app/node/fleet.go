package node

import (
	"log/slog"
	"time"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/watermark"
	"croftlock/internal/operations/settings"
)

// rejoinInterval is the time until rejoinFleet is called again after the member agent failed to start.
const rejoinInterval = 250 * time.Millisecond

// fleet holds the settings file's options for the fleet, which are the proxies that cooperate, and
// the agents that use the options.
type fleet struct {
	memberOptions    memberagent.Options
	ownerOptions     owneragent.Options
	watermarkOptions watermark.Options

	// Each agent is nil if it is disabled, or not started yet because another process of this
	// proxy serves.
	members    *memberagent.Agent // takes part in membership
	owners     *owneragent.Agent  // takes part in dividing jobs among members
	watermarks *watermark.Link    // exchanges revisions of endpoint lists with other members
}

// newFleet returns the options of a settings file, without agents.
func newFleet(file *settings.File) fleet {
	return fleet{memberOptions: membershipOptions(file), ownerOptions: ownerOptions(file), watermarkOptions: watermarkOptions(file)}
}

// joinFleet starts the agents that the settings file enables. An error must end the process's start.
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

// rejoinFleet restarts the agents after this process has taken over from another one, or serves
// again because its successor ended. Other proxies consider it the same member with a new
// incarnation. If the member agent does not start, rejoinFleet is called again after rejoinInterval,
// since the other process may still hold the address. Nothing happens if membership is disabled or
// this process has handed over.
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

// startMembers starts the member agent. Its incarnation, which orders the starts of one member, is
// derived from the current time.
func (p *process) startMembers() (*memberagent.Agent, error) {
	platform := memberagent.Platform{Link: p.peers, ProxyCount: len(p.cfg.Peers.Peers), OwnNumber: p.cfg.Settings.Instance}
	return memberagent.Start(p.loop, p.fleet.memberOptions, p.cfg.Name, time.Now(), platform)
}

// startOwners starts the owner agent, if it is enabled, and connects it to the core: for
// suspensions of hosts, and depending on the settings for migrations, quotas and rules. Membership
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

// announceLeave releases the fleet's jobs that this process owns, and then announces its shutdown to
// the other members.
func (p *process) announceLeave() {
	p.fleet.owners.Leave(func() { p.fleet.members.Leave() })
}
