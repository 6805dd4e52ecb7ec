// Package owneragent runs package ownership in a process: a replicated group of voters decides which
// process of the fleet owns each job, the work that only one process does at a time. The package
// provides the section (owners ...) of the settings file, a worker goroutine that runs the group, its
// store and the jobs beside the event loop, the transport of their messages, and the socket for
// operators' requests. The decisions are made by packages ownership, consensus, jobs, rules and
// quota.
package owneragent

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/fragment"
	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/membership"
	"croftlock/internal/fleet/ownership"
)

// Agent is the owner agent of a process. Its exported methods must be called on the event loop. The
// fields under "worker" are used on the worker only.
type Agent struct {
	options     Options
	name        string
	incarnation uint64 // for ownership and fragment: start time in Unix milliseconds, without membership's counter
	startedAt   time.Time
	loop        *netio.Loop
	members     *memberagent.Agent
	enforcement *Enforcement // nil if rules are off
	worker      *worker
	socket      *adminSocket // nil if no socket is configured, or while another process uses it
	leaveState  leaveState

	// worker
	core           *ownership.Core
	fence          *ownership.Fence
	replica        *replica
	transport      *fragment.Transport
	jobs           *jobRunner
	queries        *queries
	migrationPacer *jobs.MigrationPacer // nil if the rate of migrations is not limited
	rules          rulesState
	quota          quotaState
	unheardBy      map[string]int // by member name: how many members that have not left receive no datagrams of that member
	counts         Counts
}

// Counts counts events since the start of a process.
type Counts struct {
	AcceptedEffects   int `json:"Taken"`     // effects that this process accepted
	RepeatedEffects   int `json:"Again"`     // always 0; kept because earlier versions have it in their JSON
	RejectedEffects   int `json:"Refused"`   // stale effects that this process rejected
	SentEffects       int `json:"Sent"`      // effects that this process sent as an owner
	JobPanics         int `json:"Panics"`    // panics in the code of jobs
	MalformedMessages int `json:"Malformed"` // malformed datagrams and rejected messages received
}

// ErrMembershipOff is returned by Start if membership is off.
var ErrMembershipOff = errors.New("owners: membership is off")

// viewInterval is the time between two updates of the worker's view of the members.
const viewInterval = 250 * time.Millisecond

// Start starts the agent of the process with this member name. It must be called on the loop.
// enforcement is what this process enforces of the fleet's rules, or nil if rules are off; at most one
// Agent may use it at a time. applySuspended is called on the loop with the complete list of hosts
// that are suspended fleet-wide, each time that this process accepts a list.
func Start(l *netio.Loop, o Options, name string, m *memberagent.Agent, enforcement *Enforcement, applySuspended func(hosts []string)) (*Agent, error) {
	if m == nil {
		return nil, ErrMembershipOff
	}
	now := time.Now()
	a := &Agent{options: o, name: name, incarnation: uint64(now.UnixMilli()), startedAt: now, loop: l, members: m, enforcement: enforcement,
		worker: newWorker(), fence: &ownership.Fence{Faults: Faults.Ownership}}
	a.transport = fragment.New(m.MaxPayload(), uint32(a.incarnation), transportEffects{a})
	a.queries = newQueries(a)
	a.replica = newReplica(o, name, ownership.NewTable(), groupEffects{a})
	a.jobs = newJobRunner(a)
	a.addJobs(applySuspended)
	if o.Socket != "" {
		err := listenAdmin(l, o.Socket, a.serveRequest, a.worker.stopping, func(s *adminSocket) { a.socket = s })
		if err != nil {
			return nil, fmt.Errorf("owners: %w", err)
		}
	}
	m.Attach(payloadChannel, a.receiveDatagram)
	a.refreshView()
	go a.worker.run(a.openGroup, a.tick, a.replica.close)
	return a, nil
}

// addJobs adds the jobs that this process can own. It is called before the worker starts.
func (a *Agent) addJobs(applySuspended func(hosts []string)) {
	fleetSize := max(1, a.members.FleetSize())
	if a.options.SuspendHosts {
		a.jobs.add(hostsJob, &jobs.SuspendedHosts{Apply: func(hosts []string) { a.loop.Post(func() { applySuspended(hosts) }) }})
	}
	if a.options.MigrationRate > 0 {
		a.addMigrationJob(fleetSize)
	}
	for i := range a.options.Drills {
		a.addDrill(fmt.Sprintf("drill%03d", i))
	}
	a.addRules()
	a.addQuota(fleetSize)
	for name, job := range testJobs {
		a.jobs.add(name, job)
	}
}

// now returns the nanoseconds since the start of the agent, plus 1 since 0 means "never" in the jobs.
// It is the monotonic clock of the core, the jobs and the transport.
func (a *Agent) now() int64 { return int64(time.Since(a.startedAt)) + 1 }

// refreshView passes the members of the fleet to the worker each viewInterval until the worker
// stops. It runs on the loop.
func (a *Agent) refreshView() {
	if a.worker.stopping() {
		return
	}
	view := a.members.View()
	members, unheardBy := a.currentMembers(view), a.countUnheard(view)
	a.worker.post(func() { a.jobs.members, a.unheardBy = members, unheardBy })
	a.loop.After(viewInterval, a.refreshView)
}

// hasState reports whether a member is in one of the states.
func hasState(m memberagent.ViewMember, states ...membership.State) bool {
	return slices.ContainsFunc(states, func(s membership.State) bool { return m.State == s.String() })
}

// isUnnamedOrLeft reports whether the name of a member is not known yet, or the member has left the
// fleet or is gone.
func isUnnamedOrLeft(m memberagent.ViewMember) bool {
	return m.Name == "" || hasState(m, membership.Left, membership.Gone)
}

// currentMembers returns the members that have not left the fleet, followed by this process.
func (a *Agent) currentMembers(view []memberagent.ViewMember) (members []jobs.Member) {
	for _, m := range view {
		if !isUnnamedOrLeft(m) {
			present := hasState(m, membership.Alive, membership.Suspect, membership.Joining)
			members = append(members, jobs.Member{Name: m.Name, Peer: m.ID, Incarnation: m.Incarnation, Present: present})
		}
	}
	return append(members, jobs.Member{Name: a.name, Peer: group.Peer(a.name), Incarnation: a.incarnation, Present: true})
}

// countUnheard returns, by member name, how many members that have not left report that no datagrams
// of that member reach them.
func (a *Agent) countUnheard(view []memberagent.ViewMember) map[string]int {
	names := map[uint32]string{}
	for _, m := range view {
		names[m.ID] = m.Name
	}
	unheard := map[string]int{}
	for _, m := range view {
		if isUnnamedOrLeft(m) {
			continue
		}
		for _, id := range m.Unheard {
			if name := names[id]; name != "" {
				unheard[name]++
			} else if id == group.Peer(a.name) {
				unheard[a.name]++
			}
		}
	}
	return unheard
}

// openGroup opens the replicated group and, when first called, creates the Core. It runs on the
// worker, since it may wait for a disk.
func (a *Agent) openGroup() {
	a.replica.open()
	if a.core != nil {
		a.core.SetGroup(a.replica.group)
		return
	}
	cfg := ownership.Config{Name: a.name, Incarnation: a.incarnation, Voters: a.options.Voters, Jobs: a.jobs.names, Faults: Faults.Ownership,
		WallClock: func() int64 { return time.Now().UnixMilli() }}
	core, err := ownership.New(cfg, a.replica.group, a.replica.table, a.fence, coreEffects{a})
	if err != nil {
		// Unreachable: Section checks the voters, membership checks the name, and the bounds of the
		// section allow fewer than ownership.MaxJobs jobs.
		panic(err)
	}
	a.core = core
}

// tick advances the group, the core, the transport and the jobs. It runs on the worker each
// tickInterval.
func (a *Agent) tick() {
	now := a.now()
	if a.replica.closeIfStopped() {
		a.core.SetGroup(nil)
	}
	if a.replica.retryDue() {
		a.openGroup()
		a.replica.logReopened()
	}
	a.core.SetEligible(a.replica.failure == "")
	a.core.SetUnheardBy(a.unheardBy)
	a.core.Tick(now)
	a.transport.Tick(now)
	a.rules.tick()
	a.quota.tick(now)
	a.jobs.step(now)
}
