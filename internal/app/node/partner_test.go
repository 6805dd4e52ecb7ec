package node

import (
	"testing"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/cluster"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// listedHost returns the list entry of a host with weight 1 at an address where nothing listens.
func listedHost(id string, state balancer.HostState) proxy.HostEntry {
	return proxy.HostEntry{Address: "127.0.0.1:1", ListedHost: balancer.ListedHost{ID: id, State: state, Weight: 1}}
}

// ownDiscovery is the discovery address of the process under test.
const ownDiscovery = "127.0.0.1:2"

// newProcessWithList returns a process whose endpoint list holds the ready hosts a and b, at revision
// 7 of ownDiscovery. Its loop does not run and it opens no sockets.
func newProcessWithList(t *testing.T) *process {
	t.Helper()
	settings := balancer.Config{Instances: 1, Tick: 1e6, MaxAttempts: 5, Classes: []balancer.Class{{Name: "c", LatencyObjective: 1e9, Deadline: 2e9}}, SlowStartDuration: 1e9, SlowStartOverloadWindow: 1e9,
		SlowStartOverloadFactor: 2, SlowStartFloor: 0.2, PollInterval: 1e10, ConnectTimeout: 1e8}
	loop := netio.NewLoop()
	core := proxy.New(loop, nil, proxy.Options{MaxDownstreams: 1, Settings: settings})
	p := &process{loop: loop, core: core, discovery: cluster.NewClient(loop, nil, cluster.Options{Address: ownDiscovery, ProxyCount: 1, Revision: 7})}
	list := proxy.WatchEvent{Kind: balancer.ListCached, Version: 7, Hosts: []proxy.HostEntry{listedHost("a", balancer.Ready), listedHost("b", balancer.Ready)}}
	newBalancer := func(fx balancer.Effects) (proxy.Balancer, error) { return balancer.New(settings, 1, fx) }
	if err := core.Run(newBalancer, p.discovery, list); err != nil {
		t.Fatal(err)
	}
	return p
}

// stateOf returns a host's state in the process's list, or Removed if the list does not contain it.
func (p *process) stateOf(id string) balancer.HostState {
	for _, h := range p.core.Snapshot(false).Hosts {
		if h.ID == id {
			return h.State
		}
	}
	return balancer.Removed
}

// TestNewProcessAppliesOldProcessList checks that a new process applies a list that the old one
// sends, but only a newer one of the same discovery service, and that the old process ignores the
// new one's lists.
func TestNewProcessAppliesOldProcessList(t *testing.T) {
	p := newProcessWithList(t)
	p.restart.partner = &hotrestart.Partner{}
	events := partnerEvents{p, p.restart.partner}
	for _, c := range []struct {
		discovery string
		revision  int64
		want      balancer.HostState
	}{{"127.0.0.1:3", 9, balancer.Ready}, {ownDiscovery, 7, balancer.Ready}, {ownDiscovery, 8, balancer.Draining}} {
		events.ListChanged(&proxy.Snapshot{Discovery: c.discovery, Revision: c.revision, Hosts: []proxy.HostEntry{listedHost("a", balancer.Draining), listedHost("b", balancer.Ready)}})
		if got := p.stateOf("a"); got != c.want {
			t.Errorf("after a list of discovery %s, revision %d, host a has state %d, want %d", c.discovery, c.revision, got, c.want)
		}
	}
	p.restart.isOld = true
	events.ListChanged(&proxy.Snapshot{Discovery: ownDiscovery, Revision: 9, Hosts: []proxy.HostEntry{listedHost("a", balancer.Ready)}})
	if got := p.stateOf("a"); got != balancer.Draining {
		t.Errorf("after the new process's list, host a has state %d at the old process, want %d", got, balancer.Draining)
	}
}
