package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// peerNetwork is balancers that reach one another, late or not at all.
type peerNetwork struct {
	all         []*fake
	rng         *rand.Rand
	now         Time
	inFlight    []datagram
	loss        float64
	lost        byte         // a kind of message that is lost
	dead        map[int]bool // neither sends nor hears
	bytes       int
	open        map[string]*fake
	established []string
	asked       map[string]Time
	by          map[string]int    // who was asked
	grants      map[string][]Time // sends by host
}

type datagram struct {
	at       Time
	from, to int
	data     []byte
}

// networkedFake is a balancer's effects with messages that arrive.
type networkedFake struct {
	*fake
	t  *peerNetwork
	me int
}

func (k *networkedFake) SendToPeer(peer int, data []byte) {
	for to := range k.t.all {
		if to == k.me || peer >= 0 && to != peer || k.t.dead[k.me] || k.t.dead[to] || data[0] == k.t.lost || k.t.rng.Float64() < k.t.loss {
			continue
		}
		k.t.bytes += len(data)
		k.t.inFlight = append(k.t.inFlight, datagram{k.t.now + ms + Time(k.t.rng.Intn(20))*ms, k.me, to, append([]byte(nil), data...)})
	}
}

func newTier(t *testing.T, n, servers int, tells bool) *peerNetwork {
	x := &peerNetwork{rng: rand.New(rand.NewSource(5)), now: 100 * sec, dead: map[int]bool{}, open: map[string]*fake{}, asked: map[string]Time{}, by: map[string]int{}, grants: map[string][]Time{}}
	for me := range n {
		x.all = append(x.all, x.begin(t, me, n, servers, tells))
	}
	return x
}

func (x *peerNetwork) begin(t *testing.T, me, n, servers int, tells bool) *fake {
	cfg := settings()
	cfg.Instance, cfg.Instances, cfg.Zones, cfg.MayGossip = me, n, []string{"a"}, tells
	cfg.SlowStartFloor, cfg.SlowStartDuration, cfg.SlowStartOverloadFactor, cfg.SlowStartOverloadWindow = 0.2, 20*sec, 3, 2*sec
	cfg.Classes = []Class{{Name: "x", LatencyObjective: 800 * ms, Deadline: 4800 * ms, MessageLatencyObjective: 150 * ms}}
	cfg.Tenants = []Tenant{{Name: "t", RateQuota: 20, ServiceQuota: 1, ConnectionQuota: float64(n)}}
	f := start(t, cfg, fleet(servers)...)
	f.b.effects, f.now = &networkedFake{f, x, me}, x.now
	f.b.rng.Seed(int64(me) + 77)
	return f
}

// run lets time go on, in steps, with what arrives in each.
func (x *peerNetwork) run(d Time) {
	for end := x.now + d; x.now < end; x.now += 5 * ms {
		mail := x.inFlight
		x.inFlight = nil
		for _, l := range mail {
			if l.at > x.now {
				x.inFlight = append(x.inFlight, l)
			} else if f := x.all[l.to]; !x.dead[l.to] {
				f.b.PeerMessageReceived(f.now, l.from, l.data)
			}
		}
		for me, f := range x.all {
			if x.dead[me] {
				f.now = x.now
				continue
			}
			f.run(x.now - f.now)
			for _, s := range f.attemptsStarted {
				x.grants[s.host] = append(x.grants[s.host], x.now)
				f.establish(s.request)
				x.open[s.request], x.established = f, append(x.established, s.request)
				delete(x.asked, s.request)
			}
			f.attemptsStarted = nil
		}
	}
}

// group draws one of 20, of which the first brings a sixth.
func (x *peerNetwork) group() string {
	return fmt.Sprint("g", int(20*math.Pow(x.rng.Float64(), 2)))
}

// flow is so many connections a second, each with a life in the mean.
func (x *peerNetwork) flow(d Time, rate, life float64, returned bool) {
	step := 20 * ms
	for end := x.now + d; x.now < end; {
		for n := rate * float64(step) / 1e9; n > 0; n-- {
			if x.rng.Float64() < n {
				me := x.rng.Intn(len(x.all))
				if f := x.all[me]; !x.dead[me] {
					id := fmt.Sprintf("%x", x.rng.Int63())
					x.asked[id], x.by[id] = x.now, me
					f.b.RequestArrived(f.now, Request{ID: id, Tenant: 0, Group: x.group(), Returned: returned, Remaining: 4800 * ms})
				}
			}
		}
		for _, id := range x.established { // in their order: a map's would be another each time
			if f := x.open[id]; f != nil && x.rng.Float64() < float64(step)/1e9/life {
				f.end(id, OK)
				delete(x.open, id)
			}
		}
		x.established = slices.DeleteFunc(x.established, func(id string) bool { return x.open[id] == nil })
		x.run(step)
	}
}

// balance gives the fullest host's connections over the mean, and places of groups at hosts.
func (x *peerNetwork) balance() (most float64, places int) {
	n, held := map[string]int{}, map[string]bool{}
	for id, f := range x.open {
		r := f.b.requests[id]
		n[r.host.hostID]++
		held[r.host.hostID+r.Group] = true
	}
	for _, c := range n {
		most = max(most, float64(c)*float64(len(x.all[0].b.hosts))/float64(len(x.open)))
	}
	return most, len(held)
}

// TestLedgerBalancesWhatNoBalancerSees: with a connection or two at each balancer those of a large group all
// go to the first host of its order; who is asked sees all of them.
func TestLedgerBalancesWhatNoBalancerSees(t *testing.T) {
	var most [2]float64
	var places [2]int
	for i, tells := range []bool{false, true} {
		x := newTier(t, 60, 30, tells)
		x.flow(25*sec, 12, 15, false)
		most[i], places[i] = x.balance()
		if len(x.asked) > 3 {
			t.Errorf("%d requests wait", len(x.asked))
		}
	}
	t.Logf("alone: fullest host %.1f times the mean, %d places; with a ledger %.1f, %d", most[0], places[0], most[1], places[1])
	if most[1] > 0.6*most[0] || places[1] > 2*places[0] {
		t.Errorf("with a ledger the fullest host has %.1f times the mean and groups %d places, alone %.1f and %d", most[1], places[1], most[0], places[0])
	}
}

// TestWithoutLedgerServer: its ledger server is gone, and a fifth of all messages is lost. Nobody waits for
// long, the next one is asked, and what the first one knew comes back to it once it is there again.
func TestWithoutLedgerServer(t *testing.T) {
	x := newTier(t, 40, 20, true)
	x.loss = 0.2
	x.flow(10*sec, 8, 15, false)
	x.dead[0] = true
	x.flow(8*sec, 8, 15, false)
	moved := 0
	for me, f := range x.all {
		if !x.dead[me] && f.b.ledger.client.Server(x.now) != 0 {
			moved++
		}
	}
	if moved < 10 {
		t.Errorf("%d of 39 balancers ask another ledger server", moved)
	}
	for id, at := range x.asked {
		if x.now-at > 3*ledgerReplyTimeout {
			t.Errorf("%s waits for %d ms", id, (x.now-at)/ms)
		}
	}
	x.dead[0] = false
	x.all[0] = x.begin(t, 0, 40, 20, true)
	for id, f := range x.open {
		if f.b.cfg.Instance == 0 {
			delete(x.open, id) // its connections died with it
		}
	}
	x.flow(12*sec, 8, 15, false)
	back := 0
	for _, f := range x.all {
		if f.b.ledger.client.Server(x.now) == 0 {
			back++
		}
	}
	known := 0.0
	for _, s := range x.all[0].b.hosts {
		n, _, _ := x.all[0].b.ledger.placements.Load(uint32(s.hash), 0)
		known += n
	}
	t.Logf("%d went on to another ledger server, %d came back; the ledger has %.0f of %d connections", moved, back, known, len(x.open))
	if back < 38 || math.Abs(known-float64(len(x.open))) > 0.25*float64(len(x.open)) {
		t.Errorf("%d of 40 ask the first ledger server, whose book has %.0f of %d connections", back, known, len(x.open))
	}
}
