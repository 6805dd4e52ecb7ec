package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// peerNetwork connects balancers whose messages to one another arrive late or not at all. An instance
// is the number of a balancer. Request IDs are unique among all balancers.
type peerNetwork struct {
	balancers       []*fake // by instance
	rng             *rand.Rand
	now             Time // clock of the network; run advances the clocks of the balancers to it
	inFlight        []datagram
	lossRate        float64           // fraction of the messages that are lost, 0 to 1
	lostKind        byte              // kind (first byte) of messages that are all lost; 0 means none
	down            map[int]bool      // by instance: balancers that neither send nor receive
	cut             map[int]bool      // by instance: balancers whose messages to and from others are lost
	bytes           int               // number of bytes sent in messages
	connections     map[string]*fake  // balancer that holds the open connection, by request ID
	connectionOrder []string          // keys of connections, in the order in which they were opened
	waiting         map[string]Time   // arrival times of requests that have no attempt yet, by request ID
	instanceOf      map[string]int    // instance at which the request arrived, by request ID
	attempts        map[string][]Time // times of attempts, by host ID
	uncounted       map[int]bool      // by instance: balancers whose attempts are not recorded in attempts
}

// datagram is a message between two balancers that has not arrived yet.
type datagram struct {
	at       Time // of arrival
	from, to int
	data     []byte
}

// networkedFake is a fake whose messages to peers are delivered by a peerNetwork.
type networkedFake struct {
	*fake
	network  *peerNetwork
	instance int
}

// SendToPeer sends a message to one balancer, or to all others if peer is -1. The message arrives
// after 1 to 20 ms or is lost.
func (k *networkedFake) SendToPeer(peer int, data []byte) {
	net := k.network
	for to := range net.balancers {
		if to == k.instance || peer >= 0 && to != peer || net.down[k.instance] || net.down[to] ||
			data[0] == net.lostKind || net.cut[k.instance] != net.cut[to] || net.rng.Float64() < net.lossRate {
			continue
		}
		net.bytes += len(data)
		at := net.now + ms + Time(net.rng.Intn(20))*ms
		net.inFlight = append(net.inFlight, datagram{at, k.instance, to, append([]byte(nil), data...)})
	}
}

// newPeerNetwork returns a network of n balancers that all have the same hosts, of the given number.
// Its clock is at 100 s. mayGossip is Config.MayGossip, without which there is no ledger.
func newPeerNetwork(t *testing.T, n, hosts int, mayGossip bool) *peerNetwork {
	t.Helper()
	net := &peerNetwork{rng: rand.New(rand.NewSource(5)), now: 100 * sec, down: map[int]bool{},
		connections: map[string]*fake{}, waiting: map[string]Time{}, instanceOf: map[string]int{},
		attempts: map[string][]Time{}}
	for instance := range n {
		net.balancers = append(net.balancers, net.startBalancer(t, instance, n, hosts, mayGossip))
	}
	return net
}

// startBalancer returns the new balancer with number instance of n, which sends its messages through
// the network. Its slow start takes 20 s, its latency objective is 800 ms and its deadline 4.8 s.
func (net *peerNetwork) startBalancer(t *testing.T, instance, n, hosts int, mayGossip bool) *fake {
	t.Helper()
	cfg := settings()
	cfg.Instance, cfg.Instances, cfg.Zones, cfg.MayGossip = instance, n, []string{"a"}, mayGossip
	cfg.SlowStartFloor, cfg.SlowStartDuration = 0.2, 20*sec
	cfg.SlowStartOverloadFactor, cfg.SlowStartOverloadWindow = 3, 2*sec
	cfg.Classes = []Class{classWith(800*ms, 4800*ms, 150*ms)}
	cfg.Tenants = []Tenant{{Name: "t", RateQuota: 20, ServiceQuota: 1, ConnectionQuota: float64(n)}}
	f := start(t, cfg, fleet(hosts)...)
	f.b.effects, f.now = &networkedFake{f, net, instance}, net.now
	f.b.rng.Seed(int64(instance) + 77)
	return f
}

// arrive makes a request arrive at a balancer.
func (net *peerNetwork) arrive(instance int, q Request) {
	net.waiting[q.ID], net.instanceOf[q.ID] = net.now, instance
	f := net.balancers[instance]
	f.b.RequestArrived(f.now, q)
}

// run advances the time by d in steps of 5 ms, and delivers the messages that arrive in each step.
func (net *peerNetwork) run(d Time) {
	for end := net.now + d; net.now < end; net.now += 5 * ms {
		messages := net.inFlight
		net.inFlight = nil
		for _, m := range messages {
			if m.at > net.now {
				net.inFlight = append(net.inFlight, m)
			} else if f := net.balancers[m.to]; !net.down[m.to] {
				f.b.PeerMessageReceived(f.now, m.from, m.data)
			}
		}
		for instance, f := range net.balancers {
			if net.down[instance] {
				f.now = net.now
				continue
			}
			f.run(net.now - f.now)
			net.establishAttempts(f)
		}
	}
}

// establishAttempts establishes the attempts that a balancer has started since the last call, and
// records them.
func (net *peerNetwork) establishAttempts(f *fake) {
	for _, a := range f.attemptsStarted {
		if !net.uncounted[f.b.cfg.Instance] {
			net.attempts[a.host] = append(net.attempts[a.host], net.now)
		}
		f.establish(a.request)
		net.connections[a.request] = f
		net.connectionOrder = append(net.connectionOrder, a.request)
		delete(net.waiting, a.request)
	}
	f.attemptsStarted = nil
}

// randomGroup returns a random value of Request.Group, one of 20. About 22% of the calls return the
// first one.
func (net *peerNetwork) randomGroup() string {
	return fmt.Sprint("g", int(20*math.Pow(net.rng.Float64(), 2)))
}

// runTraffic makes requests arrive at random balancers for the time d, at the given rate per second.
// Connections have the given mean lifetime in seconds. returned is Request.Returned, which marks
// clients that come back.
func (net *peerNetwork) runTraffic(d Time, rate, lifetime float64, returned bool) {
	step := 20 * ms
	for end := net.now + d; net.now < end; {
		for n := rate * float64(step) / 1e9; n > 0; n-- {
			if net.rng.Float64() >= n {
				continue
			}
			if instance := net.rng.Intn(len(net.balancers)); !net.down[instance] {
				id := fmt.Sprintf("%x", net.rng.Int63())
				net.arrive(instance, Request{ID: id, Tenant: 0, Group: net.randomGroup(), Returned: returned,
					Remaining: 4800 * ms})
			}
		}
		for _, id := range net.connectionOrder { // the iteration order of a map would differ in each run
			if f := net.connections[id]; f != nil && net.rng.Float64() < float64(step)/1e9/lifetime {
				f.end(id, OK)
				delete(net.connections, id)
			}
		}
		net.connectionOrder = slices.DeleteFunc(net.connectionOrder,
			func(id string) bool { return net.connections[id] == nil })
		net.run(step)
	}
}

// loadBalance returns the number of connections of the fullest host as a multiple of the mean of all
// hosts, and the number of pairs of a group and a host that holds connections of it.
func (net *peerNetwork) loadBalance() (fullest float64, groupsAtHosts int) {
	connections, groups := map[string]int{}, map[string]bool{}
	for id, f := range net.connections {
		r := f.b.requests[id]
		connections[r.host.hostID]++
		groups[r.host.hostID+r.Group] = true
	}
	mean := float64(len(net.connections)) / float64(len(net.balancers[0].b.hosts))
	for _, n := range connections {
		fullest = max(fullest, float64(n)/mean)
	}
	return fullest, len(groups)
}

// countQueryingFirstServer returns the number of balancers that query the first ledger server,
// instance 0.
func (net *peerNetwork) countQueryingFirstServer() (n int) {
	for _, f := range net.balancers {
		if f.b.ledger.client.Server(net.now) == 0 {
			n++
		}
	}
	return n
}

// ledgerConnections returns how many connections, in mean connections, the first ledger server,
// instance 0, counts.
func (net *peerNetwork) ledgerConnections() (n float64) {
	for _, h := range net.balancers[0].b.hosts {
		connections, _, _ := net.balancers[0].b.ledger.placements.Load(uint32(h.hash), 0)
		n += connections
	}
	return n
}

// ledgerCountError returns the difference between the first ledger server's count and the number of
// open connections.
func (net *peerNetwork) ledgerCountError() float64 {
	return math.Abs(net.ledgerConnections() - float64(len(net.connections)))
}

// restart replaces the balancers with instances from <= instance < to by new ones. Their connections
// are lost.
func (net *peerNetwork) restart(t *testing.T, from, to int) {
	t.Helper()
	for instance := from; instance < to; instance++ {
		net.down[instance] = false
		net.balancers[instance] =
			net.startBalancer(t, instance, len(net.balancers), len(net.balancers[0].b.hosts), true)
	}
	for id, f := range net.connections {
		if f != net.balancers[f.b.cfg.Instance] {
			delete(net.connections, id)
		}
	}
}

// checkNoLongWaits fails the test if a request without an attempt has waited longer than three
// timeouts of a ledger server's reply. name is the fault that the test simulates.
func (net *peerNetwork) checkNoLongWaits(t *testing.T, name string) {
	t.Helper()
	for id, at := range net.waiting {
		if net.now-at > 3*ledgerReplyTimeout {
			t.Errorf("%s: request %s has waited for %d ms, expected at most %d ms", name, id, (net.now-at)/ms,
				3*Time(ledgerReplyTimeout)/ms)
		}
	}
}
