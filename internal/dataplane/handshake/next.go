package handshake

import (
	"math"
	"time"
)

// Next begins the handshakes that may begin now. It returns their IDs in order, the IDs of the
// requests that it dropped because their handshakes cannot be done before their deadlines any more,
// and after how long, at least 100 µs, to call Next again. A zero callAgainAfter means to call it
// only after Enqueue or Done.
func (b *Budget) Next(now int64) (begin, late []uint64, callAgainAfter time.Duration) {
	b.refill(now)
	wakeAfter := math.Inf(1) // no handshake waits for time to pass
	for {
		r, wait := b.beginNext(now, &late)
		if r == nil {
			wakeAfter = math.Min(wakeAfter, wait)
			break
		}
		begin = append(begin, r.requestID)
	}
	if math.IsInf(wakeAfter, 1) {
		return begin, late, 0
	}
	return begin, late, time.Duration(math.Max(wakeAfter, float64(100*time.Microsecond)))
}

// beginNext begins the next request that may begin, of the first host in the rotation that has one.
// If there is none, it returns nil and how long, in nanoseconds, until that can change. It appends
// the requests that it drops to late.
func (b *Budget) beginNext(now int64, late *[]uint64) (next *request, wakeAfter float64) {
	wakeAfter = math.Inf(1)
	for hostsLeft := len(b.rotation); hostsLeft > 0 && len(b.rotation) > 0; hostsLeft-- {
		h := b.rotation[0]
		b.dropLate(now, h, late)
		if len(h.queue) == 0 {
			continue // removeIfIdle has removed the host from the rotation
		}
		r := h.queue[0]
		h.rate.refill(now)
		delay := b.tokenDelay(h, r)
		if b.limits.MaxInFlight > 0 && len(b.inFlight) >= b.limits.MaxInFlight {
			return nil, b.untilFirstDeadline(now) // Done frees a place, and the caller calls Next again
		}
		b.rotation = append(b.rotation[1:], h)
		untilDeadline := float64(r.deadline - now)
		switch {
		case b.limits.MaxInFlightPerHost > 0 && h.inFlight >= b.limits.MaxInFlightPerHost:
			wakeAfter = math.Min(wakeAfter, untilDeadline)
		case delay > 0:
			wakeAfter = math.Min(wakeAfter, math.Min(delay, untilDeadline))
		default:
			b.begin(now, r)
			return r, 0
		}
	}
	return nil, wakeAfter
}

// dropLate drops the first requests of a host whose handshakes cannot be done before their
// deadlines any more, since less than half of the mean duration is left, and appends their IDs to
// late.
func (b *Budget) dropLate(now int64, h *host, late *[]uint64) {
	for len(h.queue) > 0 && float64(h.queue[0].deadline) < float64(now)+b.meanDuration/2 {
		r := h.queue[0]
		*late = append(*late, r.requestID)
		delete(b.waiting, r.requestID)
		b.removeFromQueue(r)
	}
}

// tokenDelay returns how long, in nanoseconds, a request has to wait for tokens, or 0 if there are
// enough.
func (b *Budget) tokenDelay(h *host, r *request) float64 {
	cost := b.weight(r.resumed)
	delay := math.Max(h.rate.timeUntil(math.Min(cost, h.rate.capacity)), b.rate.timeUntil(math.Min(cost, b.rate.capacity)))
	// One handshake may overdraw the CPU bucket, because its cost is known only afterwards.
	if b.cpu.perSecond > 0 && b.cpu.tokens <= 0 {
		delay = math.Max(delay, b.cpu.timeUntil(1))
	}
	return delay
}

// begin removes r, the first request in the queue of its host, from the queue, records r as in
// flight and charges the buckets for it.
func (b *Budget) begin(now int64, r *request) {
	h, cost := r.host, b.weight(r.resumed)
	h.queue[0] = nil
	h.queue = h.queue[1:]
	delete(b.waiting, r.requestID)
	b.inFlight[r.requestID] = r
	h.inFlight++
	h.rate.tokens -= cost
	b.rate.tokens -= cost
	r.chargedCPU, r.beganAt = b.meanCPU[costIndex(r.resumed)], now
	b.cpu.tokens -= r.chargedCPU
	b.removeIfIdle(h)
}

// untilFirstDeadline returns the time, in nanoseconds, until the earliest deadline among the first
// requests of all hosts, or +Inf if none waits.
func (b *Budget) untilFirstDeadline(now int64) float64 {
	first := math.Inf(1)
	for _, h := range b.rotation {
		if len(h.queue) > 0 {
			first = math.Min(first, float64(h.queue[0].deadline-now))
		}
	}
	return first
}

// Done ends a handshake that has begun. resumed reports whether a session was in fact resumed, cpu
// is the CPU time that this side used, and ok reports whether the handshake succeeded. One that was
// expected to resume a session and did not is charged as a full one. Done ignores an unknown id.
func (b *Budget) Done(now int64, id uint64, resumed bool, cpu time.Duration, ok bool) {
	r := b.inFlight[id]
	if r == nil {
		return
	}
	delete(b.inFlight, id)
	r.host.inFlight--
	b.refill(now)
	r.host.rate.refill(now)
	spent := math.Min(math.Max(float64(cpu), 0), maxCPUSample)
	b.cpu.tokens = math.Min(b.cpu.capacity, b.cpu.tokens+r.chargedCPU-spent)
	if extraWeight := b.weight(resumed) - b.weight(r.resumed); extraWeight != 0 {
		r.host.rate.tokens = math.Min(r.host.rate.capacity, r.host.rate.tokens-extraWeight)
		b.rate.tokens = math.Min(b.rate.capacity, b.rate.tokens-extraWeight)
	}
	if ok {
		index := costIndex(resumed)
		b.meanCPU[index] += meanGain * (spent - b.meanCPU[index])
		b.meanDuration += meanGain * (math.Min(math.Max(float64(now-r.beganAt), 0), maxDurationSample) - b.meanDuration)
	}
	b.removeIfIdle(r.host)
}
