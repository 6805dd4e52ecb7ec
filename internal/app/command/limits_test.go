package command

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/fleet/quota"
	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// establishment is the moment at which a connection was established.
type establishment struct {
	at   time.Time
	open int // connections of the tenant then, over all processes
}

// tenantLoad requests connections of a tenant at every process all the time. Each that is established stays open for a while.
type tenantLoad struct {
	processLoop
	openDuration time.Duration // of each connection

	mu          sync.Mutex
	established []establishment
	open        int
	rejected    int
	unanswered  int
}

// startTenantLoad starts the clients; interval is the wait between two requests at a process.
func startTenantLoad(t *testing.T, rig *experiment.Rig, tenant string, openDuration time.Duration, interval func(process int) time.Duration) *tenantLoad {
	t.Helper()
	load := &tenantLoad{openDuration: openDuration}
	load.start(t, rig, interval, func(process, _ int) {
		load.request(rig.Procs[process].Addr, tenant, &load.paused[process])
	})
	return load
}

func (l *tenantLoad) request(proxy, tenant string, paused *atomic.Bool) {
	client, answer, _ := fake.Open(proxy, "lab", "t="+tenant, 400*time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case client != nil:
		l.open++
		l.established = append(l.established, establishment{time.Now(), l.open})
		time.AfterFunc(l.openDuration, func() { l.close(client) })
	case answer.Kind == "NONE" && !paused.Load():
		l.unanswered++
	default:
		l.rejected++
	}
}

func (l *tenantLoad) close(client *fake.Client) {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	client.Close()
}

// usage is how much of its limits a tenant has used in a time.
type usage struct {
	established  int // connections
	maxPerSecond int // established within one second
	maxOpen      int // at once
}

func (l *tenantLoad) usageSince(since time.Time) (u usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := 0 // of the last second
	for i, e := range l.established {
		if e.at.Before(since) {
			first = i + 1
			continue
		}
		for e.at.Sub(l.established[first].at) >= time.Second {
			first++
		}
		u = usage{u.established + 1, max(u.maxPerSecond, i-first+1), max(u.maxOpen, e.open)}
	}
	return u
}

// limitBounds are what a tenant may use in a phase of a test.
type limitBounds struct{ minEstablished, maxPerSecond, maxOpen int }

// checkPhase measures a phase of a test.
func (l *tenantLoad) checkPhase(t *testing.T, phase string, duration time.Duration, bounds limitBounds) {
	t.Helper()
	from := time.Now()
	time.Sleep(duration)
	u := l.usageSince(from)
	t.Logf("%s: %d in %v, %d within a second, %d open", phase, u.established, duration, u.maxPerSecond, u.maxOpen)
	if u.established < bounds.minEstablished || u.maxPerSecond > bounds.maxPerSecond || u.maxOpen > bounds.maxOpen {
		t.Errorf("%s: %+v in %v, want %+v", phase, u, duration, bounds)
	}
}

// jobsWithLimits is how many jobs a fleet with agreed rules has: the rules', and one for each shard of the limits.
const jobsWithLimits = 1 + quota.Shards

// issuerPreferablyNot is a process that issues grants of a shard of the limits, preferably not the one given.
func issuerPreferablyNot(rig *experiment.Rig, process int) int {
	owners, _ := rig.JobOwners()
	issuer := owners["limits0"]
	for shard := range quota.Shards {
		if owner, owned := owners[fmt.Sprintf("limits%d", shard)]; owned && owner != process {
			issuer = owner
		}
	}
	return issuer
}

// putLimits makes rules with an account's limits active.
func putLimits(t *testing.T, rig *experiment.Rig, against, rate, connections int, want string) {
	t.Helper()
	rules := fmt.Sprintf(`(rules (account acme (tenants t1) (rate %d) (standing %d)) (account other (tenants t2)))`, rate, connections)
	putRulesUntil(t, rig, 1, against, rules, want)
}

// TestLimitsAmongProcesses: a customer at several times its limit, nearly all of it at one of five processes. What it may have is used, and
// never more than that and what was granted in one lifetime: also while a process is cut off, an issuer is killed or sleeps, and after the
// limit is cut by half.
func TestLimitsAmongProcesses(t *testing.T) {
	t.Parallel()
	rig, _ := startCustomersRig(t)
	waitActive(t, rig, 0, 0, 5)
	const rate, connections = 20, 24
	putLimits(t, rig, 0, rate, connections, "active: version 2 at 5 of 5")
	load := startTenantLoad(t, rig, "t1", time.Second, func(process int) time.Duration {
		if process == 0 {
			return 8 * time.Millisecond
		}
		return 150 * time.Millisecond
	})
	// Granted in one lifetime: as much as the limit once more; saved in a bucket: a quarter.
	const maxPerSecond = 2*rate + rate/4
	time.Sleep(3 * time.Second)
	load.checkPhase(t, "no fault", 3*time.Second, limitBounds{5, maxPerSecond, connections})
	rig.SetCutOff(2, true)
	load.checkPhase(t, "one cut off", 3*time.Second, limitBounds{1, maxPerSecond, connections})
	rig.SetCutOff(2, false)

	issuer := issuerPreferablyNot(rig, 0)
	withGrantsOfTwoIssuers := limitBounds{1, maxPerSecond, connections + connections/2}
	load.paused[issuer].Store(true)
	rig.Procs[issuer].Signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	rig.Procs[issuer].Signal(syscall.SIGCONT)
	load.paused[issuer].Store(false)
	load.checkPhase(t, "an issuer slept", 3*time.Second, withGrantsOfTwoIssuers)
	checkKilledIssuer(t, rig, load, issuer, withGrantsOfTwoIssuers)

	putLimits(t, rig, 2, rate/2, connections/2, "active: version 3 at")
	time.Sleep(3 * time.Second)
	load.checkPhase(t, "cut by half", 2*time.Second, limitBounds{1, rate + rate/8 + 1, connections / 2})
	load.mu.Lock()
	defer load.mu.Unlock()
	if load.unanswered > 0 || load.rejected < 10 {
		t.Errorf("%d requests unanswered, %d rejected; want 0, and 10 or more", load.unanswered, load.rejected)
	}
}

// checkKilledIssuer: the bounds hold from the kill on, and connections are established again once the jobs have owners.
func checkKilledIssuer(t *testing.T, rig *experiment.Rig, load *tenantLoad, issuer int, bounds limitBounds) {
	t.Helper()
	load.paused[issuer].Store(true)
	killedAt := time.Now()
	rig.Procs[issuer].Kill()
	if err := rig.Start(issuer); err != nil {
		t.Fatal(err)
	}
	load.paused[issuer].Store(false)
	// Until its jobs have another owner, and that has waited for the grants before it to lapse, there may be no connection at all.
	if _, err := rig.AwaitJobsOwned(jobsWithLimits); err != nil {
		t.Fatal(err)
	}
	load.checkPhase(t, "an issuer killed", 4*time.Second, bounds)
	if u := load.usageSince(killedAt); u.maxPerSecond > bounds.maxPerSecond || u.maxOpen > bounds.maxOpen {
		t.Errorf("since an issuer was killed: %+v, want %+v at most", u, bounds)
	}
}
