package proxy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/maintenance"
)

// noDiscovery is a Discovery that does nothing; the test passes in the lists.
type noDiscovery struct{}

func (noDiscovery) WatchList(bool) {}
func (noDiscovery) FetchList()     {}

// suspensionHarness runs a core with the real balancer, and records which hosts are suspended by
// operators.
type suspensionHarness struct {
	*harness
	test         *rapid.T
	suspended    map[string]bool      // by host ID
	startsByHost map[string]int       // number of attempts by host ID
	hosts        map[string]HostEntry // the listed hosts by ID
}

// Start checks that no attempt starts at a suspended host.
func (w *suspensionHarness) Start(to Target, first RequestLine, until int64, within time.Duration, ev UpstreamEvents) Upstream {
	if w.suspended[to.ID] {
		w.test.Fatalf("an attempt started at host %s, which is suspended", to.ID)
	}
	w.startsByHost[to.ID]++
	return w.harness.Start(to, first, until, within, ev)
}

// fullList returns the complete endpoint list.
func (w *suspensionHarness) fullList() (event WatchEvent) {
	event.Kind = balancer.ListFull
	for _, id := range []string{"A", "B", "C"} {
		if h, ok := w.hosts[id]; ok {
			event.Hosts = append(event.Hosts, h)
		}
	}
	return event
}

// startProcess starts a core, with class c and tenant t, from the snapshot of the previous process.
// A nil snapshot means that there is none.
func (w *suspensionHarness) startProcess(snapshot *Snapshot) {
	cfg := balancer.Config{Instances: 1, Tick: 2e6, MaxAttempts: 5, SendsRetryAfter: true, MaxRetryAfter: 2e9, ConnectTimeout: 250e6, SlowStartFloor: 0.2,
		SlowStartDuration: 10e9, SlowStartOverloadFactor: 4, SlowStartOverloadWindow: 2e9, EjectionInitial: -1, EjectionMax: -1,
		Classes: []balancer.Class{{Name: "c", LatencyObjective: 800e6, Deadline: 4800e6, MessageLatencyObjective: 150e6}}, Tenants: []balancer.Tenant{{Name: "t"}}}
	w.core = New(w.loop, w, Options{MaxDownstreams: 1000, Settings: cfg})
	if snapshot != nil {
		w.core.RestoreSuspensions(snapshot)
	}
	event := w.fullList()
	event.Kind = balancer.ListCached
	if err := w.core.Run(func(fx balancer.Effects) (Balancer, error) { return balancer.New(cfg, 1, fx) }, noDiscovery{}, event); err != nil {
		w.test.Fatal(err)
	}
	if snapshot != nil {
		w.core.RestoreBalancer(snapshot.Balancer)
	}
}

// suspend suspends a host or ends its suspension. It updates the model before the core, because the
// core may start waiting attempts during the call.
func (w *suspensionHarness) suspend(t *rapid.T, id string, suspended bool) {
	w.suspended[id] = suspended
	known := false
	w.core.SetSuspended(id, suspended, func(isKnown bool) { known = isKnown })
	if !known {
		t.Fatalf("SetSuspended(%s, %t) reported the host as unknown", id, suspended)
	}
}

// update changes the host with this ID at random in the endpoint list, and passes the change to the
// core.
func (w *suspensionHarness) update(t *rapid.T, id string) {
	h := w.hosts[id]
	h.State = rapid.SampledFrom([]balancer.HostState{balancer.Ready, balancer.Draining, balancer.Removed}).Draw(t, "state")
	h.Address = rapid.SampledFrom([]string{"here", "there"}).Draw(t, "endpoint")
	h.ListedHost.ID, h.Weight = id, 1
	if rapid.Bool().Draw(t, "restarted") {
		h.StartedAt = w.now
	}
	if h.State == balancer.Removed {
		delete(w.hosts, id)
	} else {
		w.hosts[id] = h
	}
	w.core.ListReceived(WatchEvent{Kind: balancer.ListDelta, Hosts: []HostEntry{h}})
}

// newSuspensionHarness returns a harness whose list has the given hosts, ready. t may be nil if no
// check can fail.
func newSuspensionHarness(t *rapid.T, hosts ...string) *suspensionHarness {
	w := &suspensionHarness{harness: newHarnessWithoutCore(nil), test: t, suspended: map[string]bool{}, startsByHost: map[string]int{}, hosts: map[string]HostEntry{}}
	for _, id := range hosts {
		w.hosts[id] = HostEntry{Address: "at-" + id, ListedHost: balancer.ListedHost{ID: id, Weight: 1}}
	}
	w.startProcess(nil)
	return w
}

// Random sequences of suspensions, lists, requests, ends of attempts and process restarts. No
// attempt may start at a suspended host.
func TestNoAttemptsAtSuspendedHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSuspensionHarness(t, "A", "B", "C")
		requests := 0
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "host")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				w.suspend(t, id, rapid.Bool().Draw(t, "out"))
			case 2:
				w.update(t, id)
			case 3:
				w.core.ListReceived(w.fullList())
			case 4, 5:
				requests++
				w.open(fmt.Sprint(requests))
			case 6:
				if len(w.upstreams) > 0 {
					w.upstreams[rapid.IntRange(0, len(w.upstreams)-1).Draw(t, "attempt")].endAtRandom(t, netio.Connecting)
				}
			case 7:
				if snapshot := w.core.Snapshot(true); rapid.Bool().Draw(t, "restart") {
					w.loop, w.upstreams = netio.NewLoopAt(func() int64 { return w.now }), nil // the old process has ended
					w.startProcess(snapshot)
				}
			}
			w.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// If every host is suspended, a request must be rejected at once.
func TestAllHostsSuspended(t *testing.T) {
	w := newSuspensionHarness(nil, "A")
	w.core.SetSuspended("A", true, func(bool) {})
	w.open("r1")
	if len(w.events) != 1 || w.events[0][:9] != "reject r1" {
		t.Errorf("events are %q, want only the rejection of r1", w.events)
	}
}

// A host must be suspended while the list of hosts suspended for the fleet, all proxies, contains
// it, or a call at this proxy suspends it.
func TestSuspendedByFleetOrOwnCall(t *testing.T) {
	registry := maintenance.New()
	at := time.Now().UnixNano()
	for i, c := range []struct {
		change func() any
		want   bool
	}{
		{func() any { return registry.SetFleetSuspensions([]string{"A", "B"}, at) }, true},
		{func() any { return registry.SetSuspended("A", true, at+1) }, true},
		{func() any { return registry.SetFleetSuspensions([]string{"B"}, at+2) }, true},
		{func() any { return registry.SetSuspended("A", false, at+3) }, false},
		{func() any { return registry.SetFleetSuspensions([]string{"A"}, at+4) }, true},
		{func() any { return registry.SetSuspended("A", false, at+5) }, true},
		{func() any { return registry.SetFleetSuspensions(nil, at+6) }, false},
	} {
		if c.change(); registry.Suspended("A") != c.want {
			t.Errorf("after step %d, Suspended(A) = %t, want %t", i, registry.Suspended("A"), c.want)
		}
	}
	if changed := registry.SetFleetSuspensions([]string{"A", "B"}, at); len(changed) != 2 || len(registry.SetFleetSuspensions([]string{"A", "B"}, at)) != 0 {
		t.Errorf("SetFleetSuspensions([A B]) changed %v, want A and B once and nothing when repeated", changed)
	}
	if len(registry.LocalSuspensions()) != 0 || registry.Suspension("A").Since != at {
		t.Errorf("LocalSuspensions() = %v, want none; Suspension(A) = %+v, want Since %d", registry.LocalSuspensions(), registry.Suspension("A"), at)
	}
}

// nextProcess starts a core with the state of the present one, after the endpoint list, as a new process of
// a hot restart does.
func (w *suspensionHarness) nextProcess() {
	snapshot := w.core.Snapshot(true)
	w.startProcess(snapshot)
	w.core.RestoreResumptions(snapshot.Resumed)
}

// TestFleetSuspensionOutlivesProcess guards against requests to a host that is suspended for the fleet,
// from a process that has taken over and does not have the fleet's list yet.
func TestFleetSuspensionOutlivesProcess(t *testing.T) {
	w := newSuspensionHarness(nil, "A", "B")
	w.core.SetFleetSuspensions([]string{"A"})
	w.nextProcess()
	if h := w.core.hosts.byID["A"]; h.state != balancer.Suspended || !w.core.FleetSuspensionsKnown() {
		t.Errorf("host A has state %v at the new process, want suspended", h.state)
	}
	w.core.SetSuspended("A", false, func(bool) {})
	if w.core.hosts.byID["A"].state != balancer.Suspended {
		t.Error("a call at this proxy ends the fleet's suspension")
	}
	w.core.SetFleetSuspensions(nil)
	if w.core.hosts.byID["A"].state != balancer.Ready {
		t.Error("host A is not ready once the fleet's suspension has ended")
	}
}

// TestSuspensionBetweenSnapshots guards against requests to a host that was suspended after the old
// process had sent its first snapshot and before it knew of its partner: the last snapshot has to reach
// hosts that are listed already. The same holds for a host that was resumed in between.
func TestSuspensionBetweenSnapshots(t *testing.T) {
	w := newSuspensionHarness(nil, "A", "B", "C")
	w.core.SetSuspended("C", true, func(bool) {})
	first := w.core.Snapshot(false)
	w.core.SetSuspended("C", false, func(bool) {})
	w.core.SetSuspended("A", true, func(bool) {})
	w.core.SetFleetSuspensions([]string{"B"})
	last := w.core.Snapshot(true)
	w.startProcess(first)
	w.core.EndMissingSuspensions(first.Suspended, last)
	w.core.RestoreSuspensions(last)
	if state := w.core.hosts.byID["C"].state; state != balancer.Ready {
		t.Errorf("host C, which was resumed between the snapshots, has state %v, want ready", state)
	}
	for _, id := range []string{"A", "B"} {
		if state := w.core.hosts.byID[id].state; state != balancer.Suspended {
			t.Errorf("host %s has state %v after the last snapshot, want suspended", id, state)
		}
	}
}

// TestResumedHostIsColdAtNextProcess guards against a new process that sends a host that has just been
// resumed, and may have been restarted, the requests of a warm one.
func TestResumedHostIsColdAtNextProcess(t *testing.T) {
	w := newSuspensionHarness(nil, "A", "B")
	w.core.SetSuspended("A", true, func(bool) {})
	w.now += int64(time.Second)
	w.core.SetSuspended("A", false, func(bool) {})
	resumedAt := w.now
	w.now += int64(time.Second)
	w.nextProcess()
	hostStart := func() int64 { return hostSnapshot(w.core.pools.main.balancer, "A").Since }
	if got := hostStart(); got != resumedAt {
		t.Errorf("host A started at %d for the new process, want %d, when it was resumed", got, resumedAt)
	}
	w.nextProcess()
	if got := hostStart(); got != resumedAt {
		t.Errorf("host A started at %d for a third process, want %d", got, resumedAt)
	}
	w.advance(time.Duration(maintenance.StartUncertainty))
	if got := hostStart(); got != 0 || len(w.core.Snapshot(false).Resumed) > 0 {
		t.Errorf("host A started at %d once discovery must have reported its start, want 0, as listed", got)
	}
}
