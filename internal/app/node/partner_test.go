package node

import (
	"testing"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/cluster"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// The two processes of a replacement are one proxy. The new one asked discovery for its watch up to 2.5 s after its start, and until then sent to hosts
// of which the old one had been told that they drain.
func TestTheNewProcessKnowsWhatTheOldOneIsTold(t *testing.T) {
	host := func(id string, state balancer.State) proxy.HostEntry {
		return proxy.HostEntry{Endpoint: "127.0.0.1:1", Entry: balancer.Entry{ID: id, State: state, Weight: 1}}
	}
	settings := balancer.Config{Peers: 1, Tick: 1e6, MaxAttempts: 5, Classes: []balancer.Class{{Name: "c", Aim: 1e9, Deadline: 2e9}}, WarmUp: 1e9, Fall: 1e9,
		FallMultiple: 2, ColdFrom: 0.2, AskWithin: 1e10, ConnectTimeout: 1e8}
	l := netio.NewLoop()
	core := proxy.New(l, nil, proxy.Options{Sessions: 1, Settings: settings})
	r := &replacement{loop: l, core: core, watch: cluster.NewClient(l, nil, "127.0.0.1:2", 1, 7, nil)}
	known := proxy.Change{Kind: balancer.ListCached, Version: 7, Hosts: []proxy.HostEntry{host("a", balancer.Ready), host("b", balancer.Ready)}}
	if err := core.Run(func(fx balancer.Effects) (proxy.Decider, error) { return balancer.New(settings, 1, fx) }, r.watch, known); err != nil {
		t.Fatal(err)
	}
	state := func() balancer.State {
		for _, h := range core.Keep(false).Hosts {
			if h.ID == "a" {
				return h.State
			}
		}
		return balancer.Departed
	}
	r.partner = &hotrestart.Partner{}
	old := partner{r, r.partner}
	for _, c := range []struct {
		from string
		rev  int64
		want balancer.State
	}{{"127.0.0.1:3", 9, balancer.Ready}, {"127.0.0.1:2", 7, balancer.Ready}, {"127.0.0.1:2", 8, balancer.Draining}} {
		old.Listed(&proxy.Kept{Discovery: c.from, Rev: c.rev, Hosts: []proxy.HostEntry{host("a", balancer.Draining), host("b", balancer.Ready)}})
		if got := state(); got != c.want {
			t.Errorf("version %d of %s: state %d, want %d", c.rev, c.from, got, c.want)
		}
	}
	r.older = true
	old.Listed(&proxy.Kept{Discovery: "127.0.0.1:2", Rev: 9, Hosts: []proxy.HostEntry{host("a", balancer.Ready)}})
	if state() != balancer.Draining {
		t.Error("an old process takes the new one's list")
	}
}
