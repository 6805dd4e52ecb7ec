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

// establishment records that a connection was established.
type establishment struct {
	at   time.Time
	open int // the tenant's open connections at all processes, including the new one
}

// tenantLoad repeatedly requests connections for a tenant at every process of a rig, which is a set of
// proxy processes with hosts. Each established connection stays open for openDuration.
type tenantLoad struct {
	processLoop
	openDuration time.Duration

	mu          sync.Mutex      // guards the fields below
	established []establishment // the oldest first
	open        int             // connections open now, at all processes
	rejected    int             // requests rejected, plus those without an answer whose process was paused
	unanswered  int             // requests without an answer from a process that was not paused
}

// startTenantLoad starts one client for each process. interval returns the time that the client of a
// process, given by its index, waits after each request.
func startTenantLoad(t *testing.T, rig *experiment.Rig, tenant string, openDuration time.Duration, interval func(process int) time.Duration) *tenantLoad {
	t.Helper()
	load := &tenantLoad{openDuration: openDuration}
	load.start(t, rig, interval, func(process, _ int) {
		load.request(rig.Procs[process].Addr, tenant, &load.paused[process])
	})
	return load
}

// request requests one connection for the tenant at the address proxy and counts the outcome. The
// request has the class lab, which every rig configures, the tenant in its field t, and a deadline of
// 400 ms. The answer's kind is NONE if there was no answer, which counts as rejected if the process is
// paused by then.
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

// close closes a connection, which no longer counts as open.
func (l *tenantLoad) close(client *fake.Client) {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	client.Close()
}

// usage is what a tenant used of its limits in a period.
type usage struct {
	established  int // connections established in the period
	maxPerSecond int // most connections established within one second
	maxOpen      int // most connections open at once
}

// usageSince returns the tenant's usage from the time since to now.
func (l *tenantLoad) usageSince(since time.Time) (u usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := 0 // index of the first connection in the second that ends with connection i
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

// limitBounds bounds a tenant's usage in a phase of a test. All bounds are inclusive. minEstablished
// and maxOpen are numbers of connections, maxPerSecond limits connections established in a second.
type limitBounds struct{ minEstablished, maxPerSecond, maxOpen int }

// checkPhase waits for duration and checks the tenant's usage in that time.
func (l *tenantLoad) checkPhase(t *testing.T, phase string, duration time.Duration, bounds limitBounds) {
	t.Helper()
	from := time.Now()
	time.Sleep(duration)
	u := l.usageSince(from)
	t.Logf("%s: %d connections established in %v, at most %d within a second and %d open", phase, u.established, duration, u.maxPerSecond, u.maxOpen)
	if u.established < bounds.minEstablished || u.maxPerSecond > bounds.maxPerSecond || u.maxOpen > bounds.maxOpen {
		t.Errorf("%s, in %v: established %d, want at least %d; maxPerSecond %d, want at most %d; maxOpen %d, want at most %d",
			phase, duration, u.established, bounds.minEstablished, u.maxPerSecond, bounds.maxPerSecond, u.maxOpen, bounds.maxOpen)
	}
}

// jobsOfFleetWithLimits is the number of jobs in a fleet that has rules with limits. One process at a
// time owns each job. One job publishes the rules. Each other job serves one shard, a fixed part of
// the accounts, and issues grants, which permit a process to use a part of an account's limits.
const jobsOfFleetWithLimits = 1 + quota.Shards

// issuerOtherThan returns the index of an issuer, which is a process that issues grants (parts of
// the limits) to all processes. It returns one other than process if there is any, and 0 if the
// owners are not known, since a query failed or two processes report the same job.
func issuerOtherThan(rig *experiment.Rig, process int) int {
	owners, _ := rig.JobOwners()
	issuer := owners["limits0"]
	for shard := range quota.Shards {
		if owner, owned := owners[fmt.Sprintf("limits%d", shard)]; owned && owner != process {
			issuer = owner
		}
	}
	return issuer
}

// putLimits sends rules with limits for the account acme, whose only tenant is t1, and repeats that
// until the answer contains want. against is the version that the rules replace, 0 if there is none.
// rate is in connections per second; connections is the number open at once.
func putLimits(t *testing.T, rig *experiment.Rig, against, rate, connections int, want string) {
	t.Helper()
	rules := fmt.Sprintf(`(rules (account acme (tenants t1) (rate %d) (standing %d)) (account other (tenants t2)))`, rate, connections)
	putRulesUntil(t, rig, 1, against, rules, want)
}

// TestLimitsAmongProcesses checks the limits of an account whose load is several times its limit,
// nearly all of it at one of five processes. The account uses its limit, and never more than that
// plus the grants of one lifetime, even while a process is cut off, after an issuer was paused or
// killed, and after the limits were halved.
func TestLimitsAmongProcesses(t *testing.T) {
	t.Parallel()
	rig, _ := startCustomersRig(t)
	waitActive(t, rig, 0, 0, 5) // no rules yet, which is version 0, at all 5 processes
	const rate, connections = 20, 24
	putLimits(t, rig, 0, rate, connections, "active: version 2 at 5 of 5")
	load := startTenantLoad(t, rig, "t1", time.Second, func(process int) time.Duration {
		if process == 0 {
			return 8 * time.Millisecond
		}
		return 150 * time.Millisecond
	})
	// The grants of one lifetime, 1 s, may be used on top of the limit, which adds at most rate. The
	// tokens saved in a token bucket add at most rate/4.
	const maxPerSecond = 2*rate + rate/4
	time.Sleep(3 * time.Second)
	load.checkPhase(t, "no fault", 3*time.Second, limitBounds{5, maxPerSecond, connections})
	rig.SetCutOff(2, true)
	load.checkPhase(t, "one process cut off", 3*time.Second, limitBounds{1, maxPerSecond, connections})
	rig.SetCutOff(2, false)

	issuer := issuerOtherThan(rig, 0)
	// Grants of the earlier and the next issuer may be valid together, so half of the limit is allowed
	// on top.
	boundsAfterIssuerChange := limitBounds{1, maxPerSecond, connections + connections/2}
	load.paused[issuer].Store(true)
	rig.Procs[issuer].Signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	rig.Procs[issuer].Signal(syscall.SIGCONT)
	load.paused[issuer].Store(false)
	load.checkPhase(t, "an issuer was paused", 3*time.Second, boundsAfterIssuerChange)
	checkKilledIssuer(t, rig, load, issuer, boundsAfterIssuerChange)

	putLimits(t, rig, 2, rate/2, connections/2, "active: version 3 at")
	time.Sleep(3 * time.Second)
	// rate + rate/8 + 1 is maxPerSecond for half the rate, rounded up.
	load.checkPhase(t, "limits halved", 2*time.Second, limitBounds{1, rate + rate/8 + 1, connections / 2})
	load.mu.Lock()
	defer load.mu.Unlock()
	if load.unanswered > 0 || load.rejected < 10 {
		t.Errorf("%d requests unanswered, want 0; %d rejected, want 10 or more", load.unanswered, load.rejected)
	}
}

// checkKilledIssuer kills and restarts an issuer. The upper bounds must hold from the kill on, and
// connections must be established again once all jobs have owners.
func checkKilledIssuer(t *testing.T, rig *experiment.Rig, load *tenantLoad, issuer int, bounds limitBounds) {
	t.Helper()
	load.paused[issuer].Store(true)
	killedAt := time.Now()
	rig.Procs[issuer].Kill()
	if err := rig.Start(issuer); err != nil {
		t.Fatal(err)
	}
	load.paused[issuer].Store(false)
	// Possibly no connection is established until the issuer's jobs have another owner. That owner
	// waits until the earlier grants have lapsed.
	if _, err := rig.AwaitJobsOwned(jobsOfFleetWithLimits); err != nil {
		t.Fatal(err)
	}
	load.checkPhase(t, "an issuer was killed", 4*time.Second, bounds)
	// The phase above has checked the lower bound.
	if u := load.usageSince(killedAt); u.maxPerSecond > bounds.maxPerSecond || u.maxOpen > bounds.maxOpen {
		t.Errorf("since an issuer was killed: maxPerSecond %d, want at most %d; maxOpen %d, want at most %d", u.maxPerSecond, bounds.maxPerSecond, u.maxOpen, bounds.maxOpen)
	}
}
