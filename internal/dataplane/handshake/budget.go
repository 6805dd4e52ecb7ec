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

// The refusals.
const (
	None      Refusal = iota
	NoTime            // its turn would come too late
	QueueFull         // too many wait
)

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
	requestID uint64
	host      *host
	resumed   bool
	deadline  int64
	cost      float64 // what was charged
	began     int64
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

// Enqueue puts a handshake with a host in the queue; id is the caller's and new. resumed: a session is available.
// The deadline is the moment by which it must be done. A refusal is final.
func (b *Budget) Enqueue(now int64, id uint64, name string, resumed bool, deadline int64) Refusal {
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
	e := &entry{requestID: id, host: h, resumed: resumed, deadline: deadline}
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
