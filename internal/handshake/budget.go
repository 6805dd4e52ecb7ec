// Package handshake decides which TLS handshakes may begin, and when. It does no I/O and reads no clock: time comes with
// every call, in nanoseconds, and the same calls give the same answers.
//
// A handshake costs a part of a millisecond of CPU, hundreds of times what a line costs, and a drain brings hundreds of
// them at once. The budget bounds what they take from standing connections (a share of a core), what strikes one host
// (full handshakes a second), and how many are out. Hosts take turns, so that one which is slow or popular holds up
// nobody else's. What can't be done before its limit is refused at once: whoever asked has time left to go elsewhere.
package handshake

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// Limits are what the operator grants. A zero means no limit of that kind.
type Limits struct {
	CPU           float64       // part of one core
	Rate          float64       // full handshakes a second, all hosts together
	HostRate      float64       // full handshakes a second with one host
	AtOnce        int           // handshakes out
	HostAtOnce    int           // handshakes out with one host
	Burst         time.Duration // how long unused budget is saved
	Queue         int           // requests that wait
	ResumedFactor float64       // what a resumed handshake counts against the rates; a full one counts 1
}

// Defaults are the limits without a file: a third of a core, and no host gets more than it could do by itself.
func Defaults() Limits {
	return Limits{CPU: 0.35, Rate: 600, HostRate: 200, AtOnce: 16, HostAtOnce: 4, Burst: 100 * time.Millisecond,
		Queue: 4096, ResumedFactor: 0.5}
}

// Refusal is why a handshake may not begin.
type Refusal int

// The refusals.
const (
	None      Refusal = iota
	NoTime            // its turn would come too late
	QueueFull         // too many wait
)

var refusals = [...]string{"none", "no time left in the handshake budget", "too many handshakes wait"}

func (r Refusal) String() string { return refusals[r] }

// What a handshake is taken to cost before any has been measured.
const (
	firstCPU  = float64(700 * time.Microsecond)
	firstTook = float64(3 * time.Millisecond)
	// learn is the weight of a new measurement.
	learn = 0.1
	// mostCPU and mostTook bound a single measurement: the clock stands still while the machine does.
	mostCPU  = float64(20 * time.Millisecond)
	mostTook = float64(500 * time.Millisecond)
)

// Budget is the state.
type Budget struct {
	limits  Limits
	cpu     bucket // nanoseconds of CPU
	rate    bucket // full handshakes
	hosts   map[string]*host
	ring    []*host // hosts with something waiting, in the order of their turns
	waiting map[uint64]*entry
	out     map[uint64]*entry
	// What handshakes were seen to cost, in nanoseconds, by kind: full, resumed.
	cost [2]float64
	took float64
}

type host struct {
	name  string
	rate  bucket
	queue []*entry
	out   int
	turn  bool // it stands in the ring
}

type entry struct {
	id       uint64
	host     *host
	resumed  bool
	deadline int64
	cost     float64 // what was charged
	began    int64
}

// bucket saves what is not used, up to most.
type bucket struct {
	have, most, perSecond float64
	at                    int64
}

func newBucket(perSecond float64, burst time.Duration, least float64, now int64) bucket {
	most := math.Max(perSecond*burst.Seconds(), least)
	return bucket{have: most, most: most, perSecond: perSecond, at: now}
}

// refill brings a bucket up to now. A clock that steps back brings nothing and takes nothing.
func (b *bucket) refill(now int64) {
	if now > b.at {
		b.have = math.Min(b.most, b.have+float64(now-b.at)/1e9*b.perSecond)
	}
	b.at = now
}

// until is how long, in nanoseconds, the bucket takes to hold n; 0: it does.
func (b *bucket) until(n float64) float64 {
	if b.perSecond <= 0 || b.have >= n {
		return 0
	}
	return (n - b.have) / b.perSecond * 1e9
}

// New makes a budget.
func New(l Limits, now int64) *Budget {
	if l.ResumedFactor <= 0 {
		l.ResumedFactor = 1
	}
	return &Budget{limits: l, hosts: map[string]*host{}, waiting: map[uint64]*entry{}, out: map[uint64]*entry{},
		cpu: newBucket(l.CPU*1e9, l.Burst, 1, now), rate: newBucket(l.Rate, l.Burst, 1, now),
		cost: [2]float64{firstCPU, firstCPU}, took: firstTook}
}

func kind(resumed bool) int {
	if resumed {
		return 1
	}
	return 0
}

// weight is what a handshake counts against the rates.
func (b *Budget) weight(resumed bool) float64 {
	if resumed {
		return b.limits.ResumedFactor
	}
	return 1
}

// Ask puts a handshake with host in the queue; id is the caller's and new. resumed tells that a session is at hand.
// The deadline is the moment by which it must be done. A refusal is final.
func (b *Budget) Ask(now int64, id uint64, name string, resumed bool, deadline int64) Refusal {
	if b.limits.Queue > 0 && len(b.waiting) >= b.limits.Queue {
		return QueueFull
	}
	h := b.hosts[name]
	if h == nil {
		b.forget(now)
		h = &host{name: name, rate: newBucket(b.limits.HostRate, b.limits.Burst, 1, now)}
		b.hosts[name] = h
	}
	b.refill(now)
	h.rate.refill(now)
	if float64(now)+b.wait(h, resumed)+b.took > float64(deadline) {
		b.settle(h)
		return NoTime
	}
	e := &entry{id: id, host: h, resumed: resumed, deadline: deadline}
	b.waiting[id] = e
	h.queue = append(h.queue, e)
	if !h.turn {
		h.turn = true
		b.ring = append(b.ring, h)
	}
	return None
}

// forget drops the hosts that are as good as new. It runs only when there is a new one.
func (b *Budget) forget(now int64) {
	for name, h := range b.hosts {
		h.rate.refill(now)
		if len(h.queue) == 0 && h.out == 0 && (h.rate.perSecond <= 0 || h.rate.have >= h.rate.most) {
			delete(b.hosts, name)
		}
	}
}

func (b *Budget) refill(now int64) {
	b.cpu.refill(now)
	b.rate.refill(now)
}

// wait estimates how long a new request for h stands in the queue: what its host lets through before it, and what all
// hosts, taking turns, do before it.
func (b *Budget) wait(h *host, resumed bool) float64 {
	own, all, cpu := 0.0, 0.0, 0.0
	for _, e := range h.queue {
		own += b.weight(e.resumed)
	}
	place := len(h.queue)
	for _, o := range b.ring {
		for i := 0; i < len(o.queue) && (o == h || i <= place); i++ {
			all += b.weight(o.queue[i].resumed)
			cpu += b.cost[kind(o.queue[i].resumed)]
		}
	}
	all += b.weight(resumed)
	longest := math.Max(h.rate.until(own+b.weight(resumed)), b.rate.until(all))
	return math.Max(longest, b.cpu.until(cpu))
}

// Drop forgets a request that waits. One that has begun must be ended by Done.
func (b *Budget) Drop(id uint64) {
	e := b.waiting[id]
	if e == nil {
		return
	}
	delete(b.waiting, id)
	b.unqueue(e)
}

func (b *Budget) unqueue(e *entry) {
	q := e.host.queue
	for i := range q {
		if q[i] == e {
			copy(q[i:], q[i+1:])
			q[len(q)-1] = nil
			e.host.queue = q[:len(q)-1]
			break
		}
	}
	b.settle(e.host)
}

// settle takes a host without work out of the ring.
func (b *Budget) settle(h *host) {
	if len(h.queue) > 0 || !h.turn {
		return
	}
	h.turn = false
	for i := range b.ring {
		if b.ring[i] == h {
			b.ring = append(b.ring[:i], b.ring[i+1:]...)
			return
		}
	}
}

// Next gives the requests that begin now, in order, those for which it has become too late, and how long after now to
// come again; 0: only when something is asked or done.
func (b *Budget) Next(now int64) (begin, late []uint64, again time.Duration) {
	b.refill(now)
	wake := math.Inf(1)
	for {
		e, wait := b.pick(now, &late)
		if e == nil {
			wake = math.Min(wake, wait)
			break
		}
		begin = append(begin, e.id)
	}
	if math.IsInf(wake, 1) {
		return begin, late, 0
	}
	return begin, late, time.Duration(math.Max(wake, float64(100*time.Microsecond)))
}

// pick begins the next request, or tells how long nothing can.
func (b *Budget) pick(now int64, late *[]uint64) (*entry, float64) {
	wake := math.Inf(1)
	for turns := len(b.ring); turns > 0 && len(b.ring) > 0; turns-- {
		h := b.ring[0]
		for len(h.queue) > 0 && float64(h.queue[0].deadline) < float64(now)+b.took/2 {
			e := h.queue[0]
			*late = append(*late, e.id)
			delete(b.waiting, e.id)
			b.unqueue(e)
		}
		if len(h.queue) == 0 {
			continue // settle took it out of the ring
		}
		e := h.queue[0]
		h.rate.refill(now)
		w := b.weight(e.resumed)
		blocked := math.Max(h.rate.until(math.Min(w, h.rate.most)), b.rate.until(math.Min(w, b.rate.most)))
		// The last of the CPU may be overdrawn by one handshake: what it really costs is known only afterwards.
		if b.cpu.perSecond > 0 && b.cpu.have <= 0 {
			blocked = math.Max(blocked, b.cpu.until(1))
		}
		if b.limits.AtOnce > 0 && len(b.out) >= b.limits.AtOnce {
			return nil, b.expiry(now) // Done will come
		}
		full := b.limits.HostAtOnce > 0 && h.out >= b.limits.HostAtOnce
		b.ring = append(b.ring[1:], h)
		if full {
			wake = math.Min(wake, float64(e.deadline-now))
			continue
		}
		if blocked > 0 {
			wake = math.Min(wake, math.Min(blocked, float64(e.deadline-now)))
			continue
		}
		h.queue[0] = nil
		h.queue = h.queue[1:]
		delete(b.waiting, e.id)
		b.out[e.id] = e
		h.out++
		h.rate.have -= w
		b.rate.have -= w
		e.cost, e.began = b.cost[kind(e.resumed)], now
		b.cpu.have -= e.cost
		b.settle(h)
		return e, 0
	}
	return nil, wake
}

// expiry is how long until the first of those that wait is too late.
func (b *Budget) expiry(now int64) float64 {
	first := math.Inf(1)
	for _, h := range b.ring {
		if len(h.queue) > 0 {
			first = math.Min(first, float64(h.queue[0].deadline-now))
		}
	}
	return first
}

// Done ends a handshake that has begun: whether a session was in fact resumed, the CPU it took on this side, and whether
// it succeeded. One that was taken for a resumed one and was not is charged as the full one it was.
func (b *Budget) Done(now int64, id uint64, resumed bool, cpu time.Duration, ok bool) {
	e := b.out[id]
	if e == nil {
		return
	}
	delete(b.out, id)
	e.host.out--
	b.refill(now)
	e.host.rate.refill(now)
	spent := math.Min(math.Max(float64(cpu), 0), mostCPU)
	b.cpu.have = math.Min(b.cpu.most, b.cpu.have+e.cost-spent)
	if more := b.weight(resumed) - b.weight(e.resumed); more != 0 {
		e.host.rate.have = math.Min(e.host.rate.most, e.host.rate.have-more)
		b.rate.have = math.Min(b.rate.most, b.rate.have-more)
	}
	if ok {
		k := kind(resumed)
		b.cost[k] += learn * (spent - b.cost[k])
		b.took += learn * (math.Min(math.Max(float64(now-e.began), 0), mostTook) - b.took)
	}
	b.settle(e.host)
}

// Waiting is how many requests wait, Out how many are out.
func (b *Budget) Waiting() int { return len(b.waiting) }

// Out is how many handshakes have begun and not ended.
func (b *Budget) Out() int { return len(b.out) }

// Describe writes the state for people: the same state gives the same text.
func (b *Budget) Describe() string {
	var s strings.Builder
	fmt.Fprintf(&s, "waiting=%d out=%d cpu_us=%.0f full_us=%.0f resumed_us=%.0f took_us=%.0f", len(b.waiting), len(b.out),
		b.cpu.have/1e3, b.cost[0]/1e3, b.cost[1]/1e3, b.took/1e3)
	names := make([]string, 0, len(b.hosts))
	for n := range b.hosts {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		h := b.hosts[n]
		fmt.Fprintf(&s, "\n  %s waiting=%d out=%d tokens=%.2f", n, len(h.queue), h.out, h.rate.have)
	}
	return s.String()
}
