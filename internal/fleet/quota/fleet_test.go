package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/testbed/golden"
)

const (
	ms            = Time(time.Millisecond)
	grantLifetime = 500 * ms
)

// testFleet simulates proxies that open connections of accounts, and one issuer per shard, in
// virtual time.
type testFleet struct {
	now         Time
	limits      map[string]Limit
	clients     []*Client
	issuers     [Shards]*Issuer
	isolated    map[int]bool // by index of the proxy: messages to and from issuers are lost
	inFlight    []func()     // message deliveries and connection ends for the next step
	rng         *rand.Rand
	loss        float64           // probability that a message is lost
	acquiredAt  map[string][]Time // by account
	open        map[string]int    // connections by account
	rejected    int               // number of rejected requests
	waiting     int               // requests that wait for a grant
	longestWait Time
	noIssuer    bool // whether the issuers are stopped

	recorded *golden.Digest // nil if nothing is recorded
	samples  *golden.Samples
}

// issuerOwner implements jobs.Owner for one shard.
type issuerOwner struct {
	f     *testFleet
	shard int
}

func (s issuerOwner) SendEffect(uint32, uint64, []byte)    {}
func (s issuerOwner) StoreCheckpoint(uint64, []byte) error { return nil }
func (s issuerOwner) Members() (all []jobs.Member) {
	for i := range s.f.clients {
		all = append(all, jobs.Member{Peer: uint32(i), Present: true})
	}
	return all
}

// Reply delivers a reply in the next step, unless it is lost.
func (s issuerOwner) Reply(to uint32, tag uint64, body []byte) {
	f := s.f
	f.record("answer", body)
	if f.isolated[int(to)] || f.rng.Float64() < f.loss {
		return
	}
	f.inFlight = append(f.inFlight, func() { f.clients[to].ReplyReceived(tag, body) })
}

// newTestFleet returns a fleet of n proxies and new issuers, at 100 s of its virtual clock and
// without loss. limits holds the limits by account. The seed determines the lost messages and the
// demand.
func newTestFleet(n int, seed uint64, limits map[string]Limit) *testFleet {
	f := &testFleet{now: 100 * second, limits: limits, isolated: map[int]bool{}, rng: rand.New(rand.NewPCG(seed, 1)), acquiredAt: map[string][]Time{}, open: map[string]int{}}
	for i := range n {
		f.clients = append(f.clients, &Client{
			Now:             func() Time { return f.now },
			GrantLifetime:   grantLifetime,
			FleetSize:       n,
			Limits:          func(account string) Limit { return f.limits[account] },
			LimitedAccounts: func() []string { return slices.Sorted(maps.Keys(f.limits)) },
			SendQuery:       func(shard int, tag uint64, body []byte) { f.sendQuery(i, shard, tag, body) },
		})
	}
	f.restartIssuers()
	return f
}

// sendQuery delivers a proxy's query to a shard's issuer in the next step, unless it is lost.
func (f *testFleet) sendQuery(proxy, shard int, tag uint64, body []byte) {
	f.record("ask", body)
	if f.isolated[proxy] || f.noIssuer || f.rng.Float64() < f.loss {
		return
	}
	f.inFlight = append(f.inFlight, func() {
		if !f.noIssuer {
			f.issuers[shard].QueryReceived(f.now, uint32(proxy), tag, body)
		}
	})
}

// record adds a message between a proxy and an issuer to the digest and the samples.
func (f *testFleet) record(kind string, body []byte) {
	if f.recorded == nil {
		return
	}
	f.recorded.Add("%s %x", kind, body)
	if f.samples != nil {
		f.samples.Add(kind, body)
	}
}

// restartIssuers replaces all issuers with new ones, which do not know earlier grants.
func (f *testFleet) restartIssuers() {
	for s := range f.issuers {
		f.issuers[s] = &Issuer{GrantLifetime: grantLifetime, FleetSize: len(f.clients), Limits: func(a string) Limit { return f.limits[a] }}
		f.issuers[s].Start(f.now, issuerOwner{f, s}, 1, 1, nil)
	}
}

// run advances the virtual time by d in steps of 10 ms. In each step, demand returns the average
// number of connections of the account that are requested at a proxy. Each connection lasts for
// lifetime.
func (f *testFleet) run(d Time, account string, demand func(proxy int) float64, lifetime Time) {
	for end := f.now + d; f.now < end; f.now += 10 * ms {
		deliveries := f.inFlight
		f.inFlight = nil
		for _, deliver := range deliveries {
			deliver()
		}
		for i, p := range f.clients {
			for n := demand(i); n > 0; n-- {
				if f.rng.Float64() < n {
					f.acquire(i, account, lifetime)
				}
			}
			p.RetryWaiting()
			if f.now%(grantLifetime/3/(10*ms)*(10*ms)) == 0 { // a third of a grant lifetime, in whole steps
				p.Step()
			}
		}
		for s := range f.issuers {
			if !f.noIssuer {
				f.issuers[s].Step(f.now)
			}
		}
	}
}

// endConnectionAt schedules the end of a connection.
func (f *testFleet) endConnectionAt(proxy int, account string, at Time) {
	var endIfDue func()
	endIfDue = func() {
		if f.now < at {
			f.inFlight = append(f.inFlight, endIfDue)
			return
		}
		f.clients[proxy].Release(account)
		for _, a := range withAncestors(account) {
			f.open[a]--
		}
	}
	f.inFlight = append(f.inFlight, endIfDue)
}

// acquire requests a connection of an account at a proxy and counts the result. If it is granted,
// the connection ends after lifetime.
func (f *testFleet) acquire(proxy int, account string, lifetime Time) {
	requestedAt := f.now
	f.waiting++
	f.clients[proxy].Acquire(account, 0.5, func(exceeded string, _ time.Duration) {
		f.waiting--
		f.longestWait = max(f.longestWait, f.now-requestedAt)
		if exceeded != "" {
			f.rejected++
			return
		}
		for _, a := range withAncestors(account) {
			f.acquiredAt[a] = append(f.acquiredAt[a], f.now)
			f.open[a]++
		}
		f.endConnectionAt(proxy, account, f.now+lifetime)
	})
}

// maxPerSecond returns the largest number of connections acquired within one second. The times must
// be sorted.
func maxPerSecond(at []Time) (n int) {
	for i, j := 0, 0; i < len(at); i++ {
		for at[i]-at[j] >= second {
			j++
		}
		n = max(n, i-j+1)
	}
	return n
}
