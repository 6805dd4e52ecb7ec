// Package handshake decides which TLS handshakes may begin, and when. It does no I/O and reads no
// clock: callers pass in the time in nanoseconds, and the same calls return the same results.
//
// A handshake costs far more CPU than a relayed line, and the drain of a host or of another proxy
// causes many at once. The budget limits the CPU that they take from established connections (a
// share of a core), the full handshakes per second of one host and of all, and how many are in
// flight. Hosts take turns, so that a slow or popular host does not delay the others. Enqueue
// rejects a handshake at once if it cannot be done before its deadline, while the caller still has
// time for another host. Next drops one that becomes too late while it waits.
package handshake

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits holds the operator's limits. A zero field means no limit of that kind, but a zero
// ResumedFactor counts as 1.
type Limits struct {
	CPUShare           float64       // part of one core that handshakes may use
	Rate               float64       // full handshakes per second with all hosts together
	HostRate           float64       // full handshakes per second with one host
	MaxInFlight        int           // handshakes in flight with all hosts together
	MaxInFlightPerHost int           // handshakes in flight with one host
	Burst              time.Duration // how long unused budget accumulates
	MaxQueued          int           // waiting handshakes of all hosts together
	ResumedFactor      float64       // weight of a handshake that resumes a session against the rates; a full one has weight 1
}

// Defaults returns the limits that apply without a settings file: about a third of a core, and no
// more handshakes with one host than that host can compute by itself.
func Defaults() Limits {
	return Limits{CPUShare: 0.35, Rate: 600, HostRate: 200, MaxInFlight: 16, MaxInFlightPerHost: 4, Burst: 100 * time.Millisecond,
		MaxQueued: 4096, ResumedFactor: 0.5}
}

// Reasons for which Enqueue rejects a handshake.
const (
	NotRejected     RejectReason = iota
	DeadlineTooSoon              // it could not be done before its deadline
	QueueFull                    // the queue holds Limits.MaxQueued requests
)

// Estimates of the cost of one handshake, in nanoseconds.
const (
	initialCPU      = float64(700 * time.Microsecond) // initial mean of the CPU time, before the first samples
	initialDuration = float64(3 * time.Millisecond)   // initial mean of the duration, before the first samples
	// meanGain is the weight of a new sample in the means, without a unit.
	meanGain = 0.1
	// maxCPUSample and maxDurationSample limit one sample, so that a suspended machine does not
	// distort the means.
	maxCPUSample      = float64(20 * time.Millisecond)
	maxDurationSample = float64(500 * time.Millisecond)
)

// Budget decides when each requested handshake may begin. It is not safe for concurrent use.
type Budget struct {
	limits       Limits
	cpu          tokenBucket // a token is a nanosecond of CPU time
	rate         tokenBucket // a token is a full handshake
	hosts        map[string]*host
	rotation     []*host // hosts with waiting requests, in the order of their turns
	waiting      map[uint64]*request
	inFlight     map[uint64]*request
	meanCPU      [2]float64 // mean CPU time of a full and of a resumed handshake, in nanoseconds; see costIndex
	meanDuration float64    // mean duration of a handshake, in nanoseconds
}

// host holds the queue and the rate of one upstream host.
type host struct {
	name       string
	rate       tokenBucket
	queue      []*request // waiting, the oldest first
	inFlight   int        // number of handshakes in flight
	inRotation bool       // the host is in Budget.rotation
}

// request is a handshake that waits or is in flight.
type request struct {
	requestID  uint64
	host       *host
	resumed    bool    // whether a session is available to resume
	deadline   int64   // time by which the handshake must be done, in nanoseconds
	chargedCPU float64 // CPU time charged to Budget.cpu when the handshake began, in nanoseconds
	beganAt    int64   // time at which the handshake began, in nanoseconds; 0 while it waits
}

// New returns a Budget whose buckets are full at time now.
func New(l Limits, now int64) *Budget {
	if l.ResumedFactor <= 0 {
		l.ResumedFactor = 1
	}
	return &Budget{limits: l, hosts: map[string]*host{}, waiting: map[uint64]*request{}, inFlight: map[uint64]*request{},
		cpu: newBucket(l.CPUShare*1e9, l.Burst, 1, now), rate: newBucket(l.Rate, l.Burst, 1, now),
		meanCPU: [2]float64{initialCPU, initialCPU}, meanDuration: initialDuration}
}

// costIndex returns the index in Budget.meanCPU of a full or a resumed handshake.
func costIndex(resumed bool) int {
	if resumed {
		return 1
	}
	return 0
}

// weight returns how many full handshakes a handshake counts as against the rates.
func (b *Budget) weight(resumed bool) float64 {
	if resumed {
		return b.limits.ResumedFactor
	}
	return 1
}

// Enqueue queues a handshake with the host of the given name, or returns why it rejects it, which
// is final. The caller chooses an id that is not in use. resumed reports whether a session is
// available. The handshake must be done by the deadline, in nanoseconds.
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

// dropIdleHosts drops the hosts whose state equals that of a new host. Enqueue calls it for each
// new host, which bounds the map.
func (b *Budget) dropIdleHosts(now int64) {
	for name, h := range b.hosts {
		h.rate.refill(now)
		if len(h.queue) == 0 && h.inFlight == 0 && (h.rate.perSecond <= 0 || h.rate.tokens >= h.rate.capacity) {
			delete(b.hosts, name)
		}
	}
}

// refill refills the buckets that all hosts share.
func (b *Budget) refill(now int64) {
	b.cpu.refill(now)
	b.rate.refill(now)
}

// queueDelay estimates how long, in nanoseconds, a new request for h waits for the requests before
// it: those of its own host, and those of the other hosts, which take turns.
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

// Drop removes a waiting request. It does nothing if the handshake has begun; Done must end such a
// handshake.
func (b *Budget) Drop(id uint64) {
	r := b.waiting[id]
	if r == nil {
		return
	}
	delete(b.waiting, id)
	b.removeFromQueue(r)
}

// removeFromQueue removes a request from the queue of its host.
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

// removeIfIdle removes a host without waiting requests from the rotation.
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

// Waiting returns the number of waiting requests.
func (b *Budget) Waiting() int { return len(b.waiting) }

// InFlight returns the number of handshakes that have begun and not ended.
func (b *Budget) InFlight() int { return len(b.inFlight) }

// Describe returns the state as text. Equal states yield equal texts.
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
