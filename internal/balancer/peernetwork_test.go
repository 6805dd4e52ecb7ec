package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// peerNetwork is balancers whose messages to one another arrive late or not at all. Each request has its own
// ID at all of them.
type peerNetwork struct {
	balancers       []*fake
	rng             *rand.Rand
	now             Time
	inFlight        []datagram
	lossRate        float64
	lostKind        byte         // a kind of message that is lost
	down            map[int]bool // neither send nor receive
	bytes           int
	connections     map[string]*fake // by request: the balancer that placed it
	connectionOrder []string
	waiting         map[string]Time   // requests without an attempt yet, and when they arrived
	instanceOf      map[string]int    // which balancer a request arrived at
	attempts        map[string][]Time // by host
}

type datagram struct {
	at       Time
	from, to int
	data     []byte
}

// networkedFake is a balancer's effects with messages that arrive.
type networkedFake struct {
	*fake
	network  *peerNetwork
	instance int
}

func (k *networkedFake) SendToPeer(peer int, data []byte) {
	x := k.network
	for to := range x.balancers {
		if to == k.instance || peer >= 0 && to != peer || x.down[k.instance] || x.down[to] ||
			data[0] == x.lostKind || x.rng.Float64() < x.lossRate {
			continue
		}
		x.bytes += len(data)
		at := x.now + ms + Time(x.rng.Intn(20))*ms
		x.inFlight = append(x.inFlight, datagram{at, k.instance, to, append([]byte(nil), data...)})
	}
}

func newPeerNetwork(t *testing.T, n, hosts int, mayGossip bool) *peerNetwork {
	t.Helper()
	x := &peerNetwork{rng: rand.New(rand.NewSource(5)), now: 100 * sec, down: map[int]bool{},
		connections: map[string]*fake{}, waiting: map[string]Time{}, instanceOf: map[string]int{},
		attempts: map[string][]Time{}}
	for instance := range n {
		x.balancers = append(x.balancers, x.startBalancer(t, instance, n, hosts, mayGossip))
	}
	return x
}

func (x *peerNetwork) startBalancer(t *testing.T, instance, n, hosts int, mayGossip bool) *fake {
	t.Helper()
	cfg := settings()
	cfg.Instance, cfg.Instances, cfg.Zones, cfg.MayGossip = instance, n, []string{"a"}, mayGossip
	cfg.SlowStartFloor, cfg.SlowStartDuration = 0.2, 20*sec
	cfg.SlowStartOverloadFactor, cfg.SlowStartOverloadWindow = 3, 2*sec
	cfg.Classes = []Class{classWith(800*ms, 4800*ms, 150*ms)}
	cfg.Tenants = []Tenant{{Name: "t", RateQuota: 20, ServiceQuota: 1, ConnectionQuota: float64(n)}}
	f := start(t, cfg, fleet(hosts)...)
	f.b.effects, f.now = &networkedFake{f, x, instance}, x.now
	f.b.rng.Seed(int64(instance) + 77)
	return f
}

// arrive has a request arrive at a balancer.
func (x *peerNetwork) arrive(instance int, q Request) {
	x.waiting[q.ID], x.instanceOf[q.ID] = x.now, instance
	f := x.balancers[instance]
	f.b.RequestArrived(f.now, q)
}

// run lets time go on, in steps of 5 ms, with the messages that arrive in each.
func (x *peerNetwork) run(d Time) {
	for end := x.now + d; x.now < end; x.now += 5 * ms {
		messages := x.inFlight
		x.inFlight = nil
		for _, m := range messages {
			if m.at > x.now {
				x.inFlight = append(x.inFlight, m)
			} else if f := x.balancers[m.to]; !x.down[m.to] {
				f.b.PeerMessageReceived(f.now, m.from, m.data)
			}
		}
		for instance, f := range x.balancers {
			if x.down[instance] {
				f.now = x.now
				continue
			}
			f.run(x.now - f.now)
			x.establishAttempts(f)
		}
	}
}

// establishAttempts establishes the attempts that a balancer has started since the last call.
func (x *peerNetwork) establishAttempts(f *fake) {
	for _, a := range f.attemptsStarted {
		x.attempts[a.host] = append(x.attempts[a.host], x.now)
		f.establish(a.request)
		x.connections[a.request] = f
		x.connectionOrder = append(x.connectionOrder, a.request)
		delete(x.waiting, a.request)
	}
	f.attemptsStarted = nil
}

// randomGroup draws one of 20 groups, of which the first has a sixth of the requests.
func (x *peerNetwork) randomGroup() string {
	return fmt.Sprint("g", int(20*math.Pow(x.rng.Float64(), 2)))
}

// runTraffic has so many requests a second arrive for a time, at balancers drawn at random. Connections last for so
// many seconds in the mean.
func (x *peerNetwork) runTraffic(d Time, rate, lifetime float64, returned bool) {
	step := 20 * ms
	for end := x.now + d; x.now < end; {
		for n := rate * float64(step) / 1e9; n > 0; n-- {
			if x.rng.Float64() >= n {
				continue
			}
			if instance := x.rng.Intn(len(x.balancers)); !x.down[instance] {
				id := fmt.Sprintf("%x", x.rng.Int63())
				x.arrive(instance, Request{ID: id, Tenant: 0, Group: x.randomGroup(), Returned: returned,
					Remaining: 4800 * ms})
			}
		}
		for _, id := range x.connectionOrder { // not in a map's, which would be another one each time
			if f := x.connections[id]; f != nil && x.rng.Float64() < float64(step)/1e9/lifetime {
				f.end(id, OK)
				delete(x.connections, id)
			}
		}
		x.connectionOrder = slices.DeleteFunc(x.connectionOrder,
			func(id string) bool { return x.connections[id] == nil })
		x.run(step)
	}
}

// loadBalance is the connections of the fullest host over the mean, and at how many hosts groups are, in sum.
func (x *peerNetwork) loadBalance() (fullest float64, groupsAtHosts int) {
	connections, groups := map[string]int{}, map[string]bool{}
	for id, f := range x.connections {
		r := f.b.requests[id]
		connections[r.host.hostID]++
		groups[r.host.hostID+r.Group] = true
	}
	mean := float64(len(x.connections)) / float64(len(x.balancers[0].b.hosts))
	for _, n := range connections {
		fullest = max(fullest, float64(n)/mean)
	}
	return fullest, len(groups)
}

// countQueryingFirstServer counts the balancers that query the first ledger server.
func (x *peerNetwork) countQueryingFirstServer() (n int) {
	for _, f := range x.balancers {
		if f.b.ledger.client.Server(x.now) == 0 {
			n++
		}
	}
	return n
}

// ledgerConnections is how many connections the first ledger server counts.
func (x *peerNetwork) ledgerConnections() (n float64) {
	for _, h := range x.balancers[0].b.hosts {
		connections, _, _ := x.balancers[0].b.ledger.placements.Load(uint32(h.hash), 0)
		n += connections
	}
	return n
}

// ledgerCountError is by how many connections the first ledger server's count is off.
func (x *peerNetwork) ledgerCountError() float64 {
	return math.Abs(x.ledgerConnections() - float64(len(x.connections)))
}

// restart restarts balancers; their connections are lost.
func (x *peerNetwork) restart(t *testing.T, from, to int) {
	t.Helper()
	for instance := from; instance < to; instance++ {
		x.down[instance] = false
		x.balancers[instance] =
			x.startBalancer(t, instance, len(x.balancers), len(x.balancers[0].b.hosts), true)
	}
	for id, f := range x.connections {
		if f != x.balancers[f.b.cfg.Instance] {
			delete(x.connections, id)
		}
	}
}

// checkNoLongWaits fails the test where a request has waited for longer than the time of three replies.
func (x *peerNetwork) checkNoLongWaits(t *testing.T, name string) {
	t.Helper()
	for id, at := range x.waiting {
		if x.now-at > 3*ledgerReplyTimeout {
			t.Errorf("%s: %s has waited for %d ms", name, id, (x.now-at)/ms)
		}
	}
}
