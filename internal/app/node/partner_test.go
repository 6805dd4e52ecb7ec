package node

import (
	"testing"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/cluster"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// The two processes of a hot restart are one proxy: until the new one has its own list, it goes by what the old one is told.
func TestNewProcessTakesTheOldOnesList(t *testing.T) {
	host := func(id string, state balancer.HostState) proxy.HostEntry {
		return proxy.HostEntry{Address: "127.0.0.1:1", ListedHost: balancer.ListedHost{ID: id, State: state, Weight: 1}}
	}
	settings := balancer.Config{Instances: 1, Tick: 1e6, MaxAttempts: 5, Classes: []balancer.Class{{Name: "c", LatencyObjective: 1e9, Deadline: 2e9}}, SlowStartDuration: 1e9, SlowStartOverloadWindow: 1e9,
		SlowStartOverloadFactor: 2, SlowStartFloor: 0.2, PollInterval: 1e10, ConnectTimeout: 1e8}
	l := netio.NewLoop()
	core := proxy.New(l, nil, proxy.Options{MaxDownstreams: 1, Settings: settings})
	r := &process{loop: l, core: core, discovery: cluster.NewClient(l, nil, cluster.Options{Address: "127.0.0.1:2", Sharing: 1, Revision: 7})}
	known := proxy.Change{Kind: balancer.ListCached, Version: 7, Hosts: []proxy.HostEntry{host("a", balancer.Ready), host("b", balancer.Ready)}}
	if err := core.Run(func(fx balancer.Effects) (proxy.Balancer, error) { return balancer.New(settings, 1, fx) }, r.discovery, known); err != nil {
		t.Fatal(err)
	}
	state := func() balancer.HostState {
		for _, h := range core.Snapshot(false).Hosts {
			if h.ID == "a" {
				return h.State
			}
		}
		return balancer.Removed
	}
	r.restart.partner = &hotrestart.Partner{}
	old := partnerEvents{r, r.restart.partner}
	for _, c := range []struct {
		from string
		rev  int64
		want balancer.HostState
	}{{"127.0.0.1:3", 9, balancer.Ready}, {"127.0.0.1:2", 7, balancer.Ready}, {"127.0.0.1:2", 8, balancer.Draining}} {
		old.ListChanged(&proxy.Snapshot{Discovery: c.from, Revision: c.rev, Hosts: []proxy.HostEntry{host("a", balancer.Draining), host("b", balancer.Ready)}})
		if got := state(); got != c.want {
			t.Errorf("version %d of %s: state %d, want %d", c.rev, c.from, got, c.want)
		}
	}
	r.restart.isOld = true
	old.ListChanged(&proxy.Snapshot{Discovery: "127.0.0.1:2", Revision: 9, Hosts: []proxy.HostEntry{host("a", balancer.Ready)}})
	if state() != balancer.Draining {
		t.Error("an old process takes the new one's list")
	}
}
