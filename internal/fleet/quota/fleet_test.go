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
	ms    = Time(time.Millisecond)
	lapse = 500 * ms
)

// fleet is proxies that take connections of accounts, and one owner of all shards at a time.
type fleet struct {
	now     Time
	limits  map[string]Limit
	p       []*Client
	bank    [Shards]*Issuer
	cut     map[int]bool // neither reaches the owner nor hears it
	late    []func()
	rng     *rand.Rand
	loss    float64
	taken   map[string][]Time
	open    map[string]int
	refused int
	asked   int // that wait for their answer
	waited  Time
	gone    bool // no owner

	recorded *golden.Digest // nil: nothing is recorded
	samples  *golden.Samples
}

type side struct {
	f     *fleet
	shard int
}

func (s side) SendEffect(uint32, uint64, []byte)    {}
func (s side) StoreCheckpoint(uint64, []byte) error { return nil }
func (s side) Members() (all []jobs.Member) {
	for i := range s.f.p {
		all = append(all, jobs.Member{Peer: uint32(i), Present: true})
	}
	return all
}

func (s side) Reply(to uint32, tag uint64, body []byte) {
	f := s.f
	f.record("answer", body)
	if f.cut[int(to)] || f.rng.Float64() < f.loss {
		return
	}
	f.late = append(f.late, func() { f.p[to].ReplyReceived(tag, body) })
}

func newFleet(n int, seed uint64, limits map[string]Limit) *fleet {
	f := &fleet{now: 100 * sec, limits: limits, cut: map[int]bool{}, rng: rand.New(rand.NewPCG(seed, 1)), taken: map[string][]Time{}, open: map[string]int{}}
	of := func(a string) Limit { return f.limits[a] }
	for i := range n {
		f.p = append(f.p, &Client{Now: func() Time { return f.now }, GrantLifetime: lapse, FleetSize: n, Limits: of, Accounts: func() []string { return slices.Sorted(maps.Keys(f.limits)) }, SendQuery: func(shard int, tag uint64, body []byte) {
			f.record("ask", body)
			if f.cut[i] || f.gone || f.rng.Float64() < f.loss {
				return
			}
			f.late = append(f.late, func() {
				if !f.gone {
					f.bank[shard].QueryReceived(f.now, uint32(i), tag, body)
				}
			})
		}})
	}
	f.owner()
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

// owner begins another one, who knows nothing.
func (f *fleet) owner() {
	for s := range f.bank {
		f.bank[s] = &Issuer{GrantLifetime: lapse, FleetSize: len(f.p), Limits: func(a string) Limit { return f.limits[a] }}
		f.bank[s].Start(f.now, side{f, s}, 1, 1, nil)
	}
}

// run lets time go on; want gives how many connections of an account a proxy is asked for in a step of 10 ms, and life how long each stays.
func (f *fleet) run(d Time, account string, want func(proxy int) float64, life Time) {
	for end := f.now + d; f.now < end; f.now += 10 * ms {
		late := f.late
		f.late = nil
		for _, g := range late {
			g()
		}
		for i, p := range f.p {
			for n := want(i); n > 0; n-- {
				if f.rng.Float64() >= n {
					continue
				}
				asked := f.now
				f.asked++
				p.Acquire(account, 0.5, func(over string, _ time.Duration) {
					f.asked--
					f.waited = max(f.waited, f.now-asked)
					if over != "" {
						f.refused++
						return
					}
					for _, a := range chain(account) {
						f.taken[a] = append(f.taken[a], f.now)
						f.open[a]++
					}
					f.ends(i, account, f.now+life)
				})
			}
			p.RetryWaiting()
			if f.now%(lapse/3/(10*ms)*(10*ms)) == 0 {
				p.Step()
			}
		}
		for s := range f.bank {
			if !f.gone {
				f.bank[s].Step(f.now)
			}
		}
	}
}

// ends has a connection end at a time.
func (f *fleet) ends(i int, account string, at Time) {
	var try func()
	try = func() {
		if f.now < at {
			f.late = append(f.late, try)
			return
		}
		f.p[i].Release(account)
		for _, a := range chain(account) {
			f.open[a]--
		}
	}
	f.late = append(f.late, try)
}

// most gives the most taken within any second.
func most(at []Time) (n int) {
	for i, j := 0, 0; i < len(at); i++ {
		for at[i]-at[j] >= sec {
			j++
		}
		n = max(n, i-j+1)
	}
	return n
}
