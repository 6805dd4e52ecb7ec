package handshake

import (
	"math"
	"time"
)

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
		begin = append(begin, e.requestID)
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
			*late = append(*late, e.requestID)
			delete(b.waiting, e.requestID)
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
		delete(b.waiting, e.requestID)
		b.out[e.requestID] = e
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
