package cluster

import (
	"testing"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/netio/netiotest"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/testbed/fake"
)

// An agent is watched without a request of the decision module. Its silence is not reported as a failure,
// and a change made during the silence arrives although the call in flight has died.
func TestFollowsAnAgent(t *testing.T) {
	d, err := fake.NewDiscovery(fake.Entry{UID: "s1", Endpoint: "127.0.0.1:1"}, fake.Entry{UID: "s2", Endpoint: "127.0.0.1:2"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	l := netio.NewLoop()
	netiotest.Run(t, l)
	changes := make(chan proxy.WatchEvent, 64)
	c := NewClient(l, netio.NewDialer(l, 4), Options{Address: d.Addr(), ProxyCount: 3, Notify: func(ch proxy.WatchEvent) { changes <- ch }})
	l.Post(c.FollowAgent)
	expect := func(what, uid string, state balancer.HostState) {
		t.Helper()
		for limit := time.After(5 * time.Second); ; {
			select {
			case change := <-changes:
				if change.Kind == balancer.ListFailed {
					t.Fatalf("%s: the client reported a failure, want none", what)
				}
				for _, h := range change.Hosts {
					if h.ID == uid && h.State == state {
						return
					}
				}
			case <-limit:
				t.Fatalf("%s: no change of host %s to state %v arrived within 5 s", what, uid, state)
			}
		}
	}
	expect("at the start", "s2", balancer.Ready)
	d.SetState("s1", "draining")
	expect("while it answers", "s1", balancer.Draining)
	d.SetSilent(true)
	d.SetState("s2", "draining")
	before := d.Calls()
	for end := time.Now().Add(20 * time.Second); d.Calls() < before+3; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) { // a call on a silent agent must time out, since its connection may have died
			t.Fatal("fewer than 3 calls were made to a silent agent within 20 s")
		}
	}
	d.SetSilent(false)
	expect("after a silence", "s2", balancer.Draining)
}
