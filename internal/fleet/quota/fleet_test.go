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

// fleet is proxies that open connections of accounts, and one issuer a shard at a time.
type fleet struct {
	now         Time
	limits      map[string]Limit
	clients     []*Client
	issuers     [Shards]*Issuer
	cut         map[int]bool // hears no issuer
	inFlight    []func()     // messages, and connections that are to end
	rng         *rand.Rand
	loss        float64
	acquiredAt  map[string][]Time
	open        map[string]int
	rejected    int
	waiting     int // requests
	longestWait Time
	noIssuer    bool

	recorded *golden.Digest // nil: nothing is recorded
	samples  *golden.Samples
}

// issuerOwner is what the issuer of a shard can do.
type issuerOwner struct {
	f     *fleet
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

func (s issuerOwner) Reply(to uint32, tag uint64, body []byte) {
	f := s.f
	f.record("answer", body)
	if f.cut[int(to)] || f.rng.Float64() < f.loss {
		return
	}
	f.inFlight = append(f.inFlight, func() { f.clients[to].ReplyReceived(tag, body) })
}

func newFleet(n int, seed uint64, limits map[string]Limit) *fleet {
	f := &fleet{now: 100 * sec, limits: limits, cut: map[int]bool{}, rng: rand.New(rand.NewPCG(seed, 1)), acquiredAt: map[string][]Time{}, open: map[string]int{}}
	of := func(a string) Limit { return f.limits[a] }
	for i := range n {
		f.clients = append(f.clients, &Client{Now: func() Time { return f.now }, GrantLifetime: grantLifetime, FleetSize: n, Limits: of, Accounts: func() []string { return slices.Sorted(maps.Keys(f.limits)) }, SendQuery: func(shard int, tag uint64, body []byte) {
			f.record("ask", body)
			if f.cut[i] || f.noIssuer || f.rng.Float64() < f.loss {
				return
			}
			f.inFlight = append(f.inFlight, func() {
				if !f.noIssuer {
					f.issuers[shard].QueryReceived(f.now, uint32(i), tag, body)
				}
			})
		}})
	}
	f.restartIssuers()
	return f
}

// record notes a message between a proxy and the owner.
func (f *fleet) record(kind string, body []byte) {
	if f.recorded == nil {
		return
	}
	f.recorded.Add("%s %x", kind, body)
	if f.samples != nil {
		f.samples.Add(kind, body)
	}
}

// restartIssuers begins issuers that know nothing of earlier grants.
func (f *fleet) restartIssuers() {
	for s := range f.issuers {
		f.issuers[s] = &Issuer{GrantLifetime: grantLifetime, FleetSize: len(f.clients), Limits: func(a string) Limit { return f.limits[a] }}
		f.issuers[s].Start(f.now, issuerOwner{f, s}, 1, 1, nil)
	}
}

// run lets time go on; want gives how many connections of an account a proxy is asked for in a step of 10 ms, and life how long each stays.
func (f *fleet) run(d Time, account string, want func(proxy int) float64, life Time) {
	for end := f.now + d; f.now < end; f.now += 10 * ms {
		messages := f.inFlight
		f.inFlight = nil
		for _, g := range messages {
			g()
		}
		for i, p := range f.clients {
			for n := want(i); n > 0; n-- {
				if f.rng.Float64() >= n {
					continue
				}
				asked := f.now
				f.waiting++
				p.Acquire(account, 0.5, func(over string, _ time.Duration) {
					f.waiting--
					f.longestWait = max(f.longestWait, f.now-asked)
					if over != "" {
						f.rejected++
						return
					}
					for _, a := range withAncestors(account) {
						f.acquiredAt[a] = append(f.acquiredAt[a], f.now)
						f.open[a]++
					}
					f.ends(i, account, f.now+life)
				})
			}
			p.RetryWaiting()
			if f.now%(grantLifetime/3/(10*ms)*(10*ms)) == 0 {
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

// ends has a connection end at a time.
func (f *fleet) ends(i int, account string, at Time) {
	var try func()
	try = func() {
		if f.now < at {
			f.inFlight = append(f.inFlight, try)
			return
		}
		f.clients[i].Release(account)
		for _, a := range withAncestors(account) {
			f.open[a]--
		}
	}
	f.inFlight = append(f.inFlight, try)
}

// maxPerSecond gives the most acquired within any second.
func maxPerSecond(at []Time) (n int) {
	for i, j := 0, 0; i < len(at); i++ {
		for at[i]-at[j] >= sec {
			j++
		}
		n = max(n, i-j+1)
	}
	return n
}
