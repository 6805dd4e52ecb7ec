package node

import (
	"log/slog"
	"time"

	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/watermark"
	"croftlock/internal/operations/settings"
)

// rejoinInterval is the time until an agent that failed to start is started again.
const rejoinInterval = 50 * time.Millisecond

// fleet holds the settings file's options for the fleet, which are the proxies that cooperate, and
// the agents that use the options.
type fleet struct {
	memberOptions    memberagent.Options
	ownerOptions     owneragent.Options
	watermarkOptions watermark.Options

	// enforcement holds the fleet's rules and limits from the start of this process, whether or not
	// its agents run. It is nil if rules are off.
	enforcement *owneragent.Enforcement

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

// joinFleet starts the agents that the settings file enables. An error must end the process's start,
// unless an unresponsive process of this proxy may hold what the agents need.
func (p *process) joinFleet() (err error) {
	if p.fleet.memberOptions.Enabled {
		p.fleet.members, err = p.startMembers()
	}
	if err != nil {
		return err
	}
	p.fleet.attachWatermarks()
	return p.startOwners()
}

// rejoinFleet restarts the agents after this process has taken over from another one, or serves
// again because its successor ended. Other proxies consider it the same member with a new
// incarnation. An agent that does not start is started again after rejoinInterval, since the other
// process may still hold the address. Nothing happens if membership is disabled or this process has
// handed over.
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
	p.fleet.attachWatermarks()
	p.restartOwners(members)
}

// restartOwners starts the owner agent for members, which is the member agent, and tries again after
// rejoinInterval if that fails. It does nothing if that member agent was replaced or this process has
// handed over.
func (p *process) restartOwners(members *memberagent.Agent) {
	if p.fleet.members != members || p.restart.phase == handedOver {
		return
	}
	if err := p.startOwners(); err != nil {
		slog.Warn("owners_off", "reason", err)
		p.loop.After(rejoinInterval, func() { p.restartOwners(members) })
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
	if f.owners, err = owneragent.Start(p.loop, f.ownerOptions, p.cfg.Name, f.members, f.enforcement, p.core.SetFleetSuspensions); err != nil {
		return err
	}
	if f.owners.PacesMigrations() {
		p.core.SetPacer(f.owners)
	}
	if f.enforcement != nil {
		f.owners.OnRulesChanged(p.core.ReassignPools)
	}
	return nil
}

// newEnforcement creates what this process enforces of the fleet's rules and limits, unless rules are
// off.
func (p *process) newEnforcement() {
	f := &p.fleet
	if f.memberOptions.Enabled {
		f.enforcement = owneragent.NewEnforcement(p.loop, f.ownerOptions, f.memberOptions.IntendedSize(len(p.cfg.Peers.Peers)))
	}
}

// enforceRules makes the core enforce the fleet's rules and limits, unless rules are off, beginning
// with the version in handoff, if there is one. Without a lease the core does as the settings say for
// a process that is cut off. enforceRules is called before this process accepts clients.
func (p *process) enforceRules(handoff *hotrestart.Handoff) {
	if p.fleet.enforcement == nil {
		return
	}
	p.core.SetQuota(p.fleet.enforcement)
	p.core.SetRules(p.fleet.enforcement.Rules())
	p.core.RestoreRules(handoff.Snapshot.Rules, p.fleet.enforcement.At(handoff.RequestedAt))
}

// canEnforce reports whether this process may act by a version of the fleet's rules now, or rules are
// off.
func (f *fleet) canEnforce() bool { return f.enforcement == nil || f.enforcement.Rules().CanAct() }

// knowsSuspensions reports whether this process knows which hosts are suspended for the fleet as well as
// the other process of a hot restart does, or hosts can't be suspended for the fleet.
func (p *process) knowsSuspensions() bool {
	o := p.fleet.ownerOptions
	if !p.fleet.memberOptions.Enabled || !o.Enabled || !o.SuspendHosts {
		return true
	}
	return p.restart.hasFleetState || p.core.FleetSuspensionsKnown()
}

// readyToServe reports whether this process has what the fleet demands of one that serves.
func (p *process) readyToServe() bool { return p.fleet.canEnforce() && p.knowsSuspensions() }

// announceLeave releases the fleet's jobs that this process owns, and then announces its shutdown to
// the other members.
func (p *process) announceLeave() {
	p.fleet.owners.Leave(func() { p.fleet.members.Leave() })
}
