// Package handshake decides which TLS handshakes may begin, and when. It does no I/O and reads no clock: time comes with
// every call, in nanoseconds, and the same calls give the same answers.
//
// A handshake costs far more CPU than a relayed line, and a drain brings many at once. The budget bounds the CPU that they
// take from established connections (a share of a core), the full handshakes a second of one host and of all, and how many
// are in flight. Hosts take turns, so that a slow or popular one delays no other. A handshake that can't be done before its
// deadline is rejected by Enqueue at once, while the caller still has time for another host, or dropped by Next if it becomes too late
// while it waits.
package handshake

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits are the operator's. A zero means no limit of that kind.
type Limits struct {
	CPUShare           float64       // part of one core
	Rate               float64       // full handshakes a second, all hosts together
	HostRate           float64       // full handshakes a second with one host
	MaxInFlight        int           // handshakes in flight
	MaxInFlightPerHost int           // handshakes in flight with one host
	Burst              time.Duration // how long unused budget is saved
	MaxQueued          int           // requests that wait
	ResumedFactor      float64       // what a resumed handshake counts against the rates; a full one counts 1
}

// Defaults are the limits without a file: a third of a core, and no host gets more than it could do by itself.
func Defaults() Limits {
	return Limits{CPUShare: 0.35, Rate: 600, HostRate: 200, MaxInFlight: 16, MaxInFlightPerHost: 4, Burst: 100 * time.Millisecond,
		MaxQueued: 4096, ResumedFactor: 0.5}
}

// The reasons.
const (
	NotRejected     RejectReason = iota
	DeadlineTooSoon              // it could not be done before its deadline
	QueueFull                    // too many wait
)

// Estimates of one handshake, in nanoseconds.
const (
	initialCPU      = float64(700 * time.Microsecond)
	initialDuration = float64(3 * time.Millisecond) // until there are samples
	// meanGain is the weight of a new sample in the means, without a unit.
	meanGain = 0.1
	// maxCPUSample and maxDurationSample bound one sample: a suspended machine must not spoil the means.
	maxCPUSample      = float64(20 * time.Millisecond)
	maxDurationSample = float64(500 * time.Millisecond)
)

// Budget decides when each requested handshake may begin.
type Budget struct {
	limits       Limits
	cpu          tokenBucket // nanoseconds of CPU
	rate         tokenBucket // full handshakes
	hosts        map[string]*host
	rotation     []*host // hosts with requests that wait, in the order of their turns
	waiting      map[uint64]*request
	inFlight     map[uint64]*request
	meanCPU      [2]float64 // nanoseconds of one handshake, by kind: full, resumed
	meanDuration float64    // nanoseconds from a handshake's beginning to its end
}

type host struct {
	name       string
	rate       tokenBucket
	queue      []*request
	inFlight   int
	inRotation bool // it is in Budget.rotation
}

type request struct {
	requestID  uint64
	host       *host
	resumed    bool
	deadline   int64
	chargedCPU float64 // nanoseconds taken from Budget.cpu when it began
	beganAt    int64
}

// New makes a budget.
func New(l Limits, now int64) *Budget {
	if l.ResumedFactor <= 0 {
		l.ResumedFactor = 1
	}
	return &Budget{limits: l, hosts: map[string]*host{}, waiting: map[uint64]*request{}, inFlight: map[uint64]*request{},
		cpu: newBucket(l.CPUShare*1e9, l.Burst, 1, now), rate: newBucket(l.Rate, l.Burst, 1, now),
		meanCPU: [2]float64{initialCPU, initialCPU}, meanDuration: initialDuration}
}

func costIndex(resumed bool) int {
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
// The deadline is the moment by which it must be done. A rejection is final.
func (b *Budget) Enqueue(now int64, id uint64, name string, resumed bool, deadline int64) RejectReason {
	if b.limits.MaxQueued > 0 && len(b.waiting) >= b.limits.MaxQueued {
		return QueueFull
	}
	h := b.hosts[name]
	if h == nil {
		b.dropIdleHosts(now)
		h = &host{name: name, rate: newBucket(b.limits.HostRate, b.limits.Burst, 1, now)}
		b.hosts[name] = h
	}
	b.refill(now)
	h.rate.refill(now)
	if float64(now)+b.queueDelay(h, resumed)+b.meanDuration > float64(deadline) {
		b.removeIfIdle(h)
		return DeadlineTooSoon
	}
	r := &request{requestID: id, host: h, resumed: resumed, deadline: deadline}
	b.waiting[id] = r
	h.queue = append(h.queue, r)
	if !h.inRotation {
		h.inRotation = true
		b.rotation = append(b.rotation, h)
	}
	return NotRejected
}

// dropIdleHosts drops the hosts whose state equals that of a new one. It runs only when a host is added, and so bounds the map.
func (b *Budget) dropIdleHosts(now int64) {
	for name, h := range b.hosts {
		h.rate.refill(now)
		if len(h.queue) == 0 && h.inFlight == 0 && (h.rate.perSecond <= 0 || h.rate.tokens >= h.rate.capacity) {
			delete(b.hosts, name)
		}
	}
}

func (b *Budget) refill(now int64) {
	b.cpu.refill(now)
	b.rate.refill(now)
}

// queueDelay estimates how long, in nanoseconds, a new request for h waits: for the requests of its own host before it, and for
// those of all hosts, which take turns.
func (b *Budget) queueDelay(h *host, resumed bool) float64 {
	ownTokens, allTokens, cpu := 0.0, 0.0, 0.0
	for _, queued := range h.queue {
		ownTokens += b.weight(queued.resumed)
	}
	position := len(h.queue)
	for _, other := range b.rotation {
		for i := 0; i < len(other.queue) && (other == h || i <= position); i++ {
			allTokens += b.weight(other.queue[i].resumed)
			cpu += b.meanCPU[costIndex(other.queue[i].resumed)]
		}
	}
	allTokens += b.weight(resumed)
	longest := math.Max(h.rate.timeUntil(ownTokens+b.weight(resumed)), b.rate.timeUntil(allTokens))
	return math.Max(longest, b.cpu.timeUntil(cpu))
}

// Drop removes a request that waits. One that has begun must be ended by Done.
func (b *Budget) Drop(id uint64) {
	r := b.waiting[id]
	if r == nil {
		return
	}
	delete(b.waiting, id)
	b.removeFromQueue(r)
}

func (b *Budget) removeFromQueue(r *request) {
	requests := r.host.queue
	for i := range requests {
		if requests[i] == r {
			copy(requests[i:], requests[i+1:])
			requests[len(requests)-1] = nil
			r.host.queue = requests[:len(requests)-1]
			break
		}
	}
	b.removeIfIdle(r.host)
}

// removeIfIdle takes a host without requests that wait out of the rotation.
func (b *Budget) removeIfIdle(h *host) {
	if len(h.queue) > 0 || !h.inRotation {
		return
	}
	h.inRotation = false
	for i := range b.rotation {
		if b.rotation[i] == h {
			b.rotation = append(b.rotation[:i], b.rotation[i+1:]...)
			return
		}
	}
}

// Waiting is how many requests wait.
func (b *Budget) Waiting() int { return len(b.waiting) }

// InFlight is how many handshakes have begun and not ended.
func (b *Budget) InFlight() int { return len(b.inFlight) }

// Describe writes the state as text: the same state gives the same text.
func (b *Budget) Describe() string {
	var text strings.Builder
	fmt.Fprintf(&text, "waiting=%d out=%d cpu_us=%.0f full_us=%.0f resumed_us=%.0f took_us=%.0f", len(b.waiting), len(b.inFlight),
		b.cpu.tokens/1e3, b.meanCPU[0]/1e3, b.meanCPU[1]/1e3, b.meanDuration/1e3)
	for _, name := range slices.Sorted(maps.Keys(b.hosts)) {
		h := b.hosts[name]
		fmt.Fprintf(&text, "\n  %s waiting=%d out=%d tokens=%.2f", name, len(h.queue), h.inFlight, h.rate.tokens)
	}
	return text.String()
}
