package proxy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
)

// noDiscovery is one that the test speaks for.
type noDiscovery struct{}

func (noDiscovery) WatchList(bool) {}
func (noDiscovery) FetchList()     {}

// handWorld is a core with the real module between fakes.
type handWorld struct {
	*world
	t     *rapid.T
	out   map[string]bool
	at    map[string]int // starts by host
	hosts map[string]HostEntry
}

func (w *handWorld) Start(to Target, first RequestLine, until int64, within time.Duration, ev UpstreamEvents) Upstream {
	if w.out[to.ID] {
		w.t.Fatalf("%s is out by hand and gets a request", to.ID)
	}
	w.at[to.ID]++
	return w.world.Start(to, first, until, within, ev)
}

func (w *handWorld) list() (ch Change) {
	ch.Kind = balancer.ListFull
	for _, id := range []string{"A", "B", "C"} {
		if h, ok := w.hosts[id]; ok {
			ch.Hosts = append(ch.Hosts, h)
		}
	}
	return ch
}

// begin makes a process of the proxy that knows what the last one kept.
func (w *handWorld) begin(k *Snapshot) {
	cfg := balancer.Config{Instances: 1, Tick: 2e6, MaxAttempts: 5, SendsRetryAfter: true, MaxRetryAfter: 2e9, ConnectTimeout: 250e6, SlowStartFloor: 0.2,
		SlowStartDuration: 10e9, SlowStartOverloadFactor: 4, SlowStartOverloadWindow: 2e9, EjectionInitial: -1, EjectionMax: -1,
		Classes: []balancer.Class{{Name: "c", LatencyObjective: 800e6, Deadline: 4800e6, MessageLatencyObjective: 150e6}}, Tenants: []balancer.Tenant{{Name: "t"}}}
	w.core = New(w.loop, w, Options{Sessions: 1000, Settings: cfg})
	if k != nil {
		w.core.Inherit(k)
	}
	ch := w.list()
	ch.Kind = balancer.ListCached
	if err := w.core.Run(func(fx balancer.Effects) (Balancer, error) { return balancer.New(cfg, 1, fx) }, noDiscovery{}, ch); err != nil {
		w.t.Fatal(err)
	}
	if k != nil {
		w.core.RestoreBalancer(k.Balancer)
	}
}

// However calls, lists, ends of attempts, restarts and time come together: a host that is out gets nothing.
func TestNothingToAHostThatIsOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &handWorld{world: &world{now: 1e18}, t: t, out: map[string]bool{}, at: map[string]int{}, hosts: map[string]HostEntry{}}
		w.loop = netio.NewLoopAt(func() int64 { return w.now })
		for _, id := range []string{"A", "B", "C"} {
			w.hosts[id] = HostEntry{Address: "at-" + id, ListedHost: balancer.ListedHost{ID: id, Weight: 1}}
		}
		w.begin(nil)
		n := 0
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "host")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				out := rapid.Bool().Draw(t, "out")
				// From the call on nothing new starts, and from the call that brings it back what waits may: the model knows
				// before the core acts.
				w.out[id] = out
				known := false
				w.core.Suspend(id, out, func(k bool) { known = k })
				if !known {
					t.Fatalf("%s is not known", id)
				}
			case 2:
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
				w.core.ListReceived(Change{Kind: balancer.ListDelta, Hosts: []HostEntry{h}})
			case 3:
				w.core.ListReceived(w.list())
			case 4, 5:
				n++
				w.open(fmt.Sprint(n))
			case 6:
				if len(w.ups) > 0 {
					u := w.ups[rapid.IntRange(0, len(w.ups)-1).Draw(t, "attempt")]
					u.sent()
					switch rapid.IntRange(0, 2).Draw(t, "end") {
					case 0:
						u.ev.FromUpstream(Message{Kind: OverCapacity})
					case 1:
						u.ev.FromUpstream(Message{Kind: Accepted})
					case 2:
						u.ev.UpstreamEnded(&netio.Error{Stage: netio.Connecting})
					}
				}
			case 7:
				if k := w.core.Snapshot(true); rapid.Bool().Draw(t, "restart") {
					w.loop, w.ups = netio.NewLoopAt(func() int64 { return w.now }), nil // the old process is gone
					w.begin(k)
				}
			}
			w.pass(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// With every host out the answer comes at once.
func TestAllHostsOut(t *testing.T) {
	w := &handWorld{world: &world{t: t, now: 1e18}, t: nil, out: map[string]bool{}, at: map[string]int{}, hosts: map[string]HostEntry{}}
	w.loop = netio.NewLoopAt(func() int64 { return w.now })
	w.hosts["A"] = HostEntry{Address: "at-A", ListedHost: balancer.ListedHost{ID: "A", Weight: 1}}
	w.begin(nil)
	w.core.Suspend("A", true, func(bool) {})
	w.open("r1")
	if len(w.seen) != 1 || w.seen[0][:9] != "refuse r1" {
		t.Errorf("got %v", w.seen)
	}
}
