package handshake

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const ms = int64(time.Millisecond) // in nanoseconds

// runHandshakes calls Next and Done every quarter of a millisecond from now until the given time,
// in nanoseconds. Each handshake takes the duration, in nanoseconds, and costs cpu. It calls
// onBegin for each handshake that begins, and returns the IDs of those that Next dropped.
func runHandshakes(b *Budget, now, until int64, cpu time.Duration, duration int64, onBegin func(id uint64, at int64)) (late []uint64) {
	type end struct {
		at int64
		id uint64
	}
	var ends []end
	for ; now < until; now += ms / 4 {
		for len(ends) > 0 && ends[0].at <= now {
			b.Done(now, ends[0].id, false, cpu, true)
			ends = ends[1:]
		}
		begin, dropped, _ := b.Next(now)
		late = append(late, dropped...)
		for _, id := range begin {
			onBegin(id, now)
			ends = append(ends, end{now + duration, id})
		}
	}
	return late
}

// 500 handshakes are needed at once after the drain of a host. Their CPU must stay within the
// budget, and each handshake must begin in time, be rejected at once or be dropped.
func TestStormStaysInBudget(t *testing.T) {
	limits := Limits{CPUShare: 0.3, Rate: 1000, HostRate: 100, MaxInFlight: 8, MaxInFlightPerHost: 4, Burst: 100 * time.Millisecond, MaxQueued: 1000}
	b := New(limits, 0)
	rejected := 0
	for id := range uint64(500) {
		if b.Enqueue(0, id, fmt.Sprint("s", id%3), false, 1000*ms) != NotRejected {
			rejected++
		}
	}
	began, last := 0, int64(0)
	late := runHandshakes(b, 0, 2000*ms, time.Millisecond, 2*ms, func(id uint64, at int64) { began, last = began+1, at })
	if began+rejected+len(late) != 500 || b.Waiting()+b.InFlight() != 0 {
		t.Errorf("%d began, %d rejected and %d late, want 500 in all and none left; budget: %s", began, rejected, len(late), b.Describe())
	}
	// The bound is 0.3 s of CPU per second at 1 ms each, plus 30 ms of burst, one handshake that
	// overdraws the bucket, and those that were charged by the lower initial estimate.
	if last > 1000*ms || began > 345 || began < 250 {
		t.Errorf("%d handshakes began, the last at %d ms; want 250 to 345 until 1000 ms", began, last/ms)
	}
	if rejected == 0 {
		t.Error("Enqueue rejected no handshake, want those rejected that cannot begin in time")
	}
}

// Handshakes with a host that never answers stay in flight. They must not use up the budget of the
// other hosts.
func TestSilentHostDelaysNoOther(t *testing.T) {
	b := New(Limits{CPUShare: 1, MaxInFlight: 8, MaxInFlightPerHost: 2, Burst: time.Second}, 0)
	for id := range uint64(100) {
		b.Enqueue(0, id, "silent", false, 5000*ms)
	}
	begin, _, _ := b.Next(0)
	if len(begin) != 2 {
		t.Fatalf("Next began %d handshakes with one host, want 2", len(begin))
	}
	for id := uint64(100); id < 110; id++ {
		if b.Enqueue(ms, id, "sound", false, 5000*ms) != NotRejected {
			t.Fatalf("Enqueue rejected handshake %d although only another host is silent", id)
		}
	}
	began := 0
	for now := ms; began < 10; now += ms {
		if now > 100*ms {
			t.Fatalf("%d of 10 handshakes began within 100 ms; budget: %s", began, b.Describe())
		}
		begin, _, _ := b.Next(now)
		for _, id := range begin {
			if id >= 100 {
				began++
				b.Done(now, id, false, 0, true)
			}
		}
	}
}

// Hosts take turns: a host with many waiting handshakes must not delay the first handshake of
// another.
func TestHostsTakeTurns(t *testing.T) {
	b := New(Limits{Rate: 10, Burst: 100 * time.Millisecond, MaxInFlight: 100}, 0)
	for id := range uint64(50) {
		b.Enqueue(0, id, "popular", false, 100_000*ms)
	}
	b.Enqueue(0, 50, "rare", false, 100_000*ms)
	var order []uint64
	runHandshakes(b, 0, 500*ms, 0, ms, func(id uint64, _ int64) { order = append(order, id) })
	if len(order) < 2 || order[1] != 50 {
		t.Errorf("handshakes began in the order %v, want 50 as the second", order)
	}
}

// A resumed handshake counts less against the rates. One that turns out to be full must be charged
// as a full one.
func TestResumedHandshakeWeight(t *testing.T) {
	beganInOneSecond := func(resumed bool) (began int) {
		b := New(Limits{HostRate: 100, Burst: 10 * time.Millisecond, ResumedFactor: 0.25}, 0)
		for id := range uint64(1000) {
			b.Enqueue(0, id, "s", true, 1e15)
		}
		for now := int64(0); now < 1000*ms; now += ms {
			begin, _, _ := b.Next(now)
			for _, id := range begin {
				began++
				b.Done(now, id, resumed, 0, true)
			}
		}
		return began
	}
	if resumed, full := beganInOneSecond(true), beganInOneSecond(false); resumed < 395 || resumed > 405 || full < 99 || full > 103 {
		t.Errorf("%d resumed and %d full handshakes began in a second, want 395 to 405 and 99 to 103", resumed, full)
	}
}

// A step of the clock in either direction must not add to the budget.
func TestClockSteps(t *testing.T) {
	b := New(Limits{CPUShare: 0.1, Rate: 10, HostRate: 10, Burst: 100 * time.Millisecond}, 1000*ms)
	for id := range uint64(20) {
		b.Enqueue(1000*ms, id, "s", false, math.MaxInt64)
	}
	b.Next(1000 * ms)
	b.Next(-1 << 60)
	if begin, _, _ := b.Next(-1<<60 + 1); len(begin) > 0 {
		t.Errorf("Next began %d handshakes after the clock stepped back, want 0", len(begin))
	}
	if begin, _, _ := b.Next(1 << 60); len(begin) > 1 {
		t.Errorf("Next began %d handshakes after the clock stepped forward, want at most 1", len(begin))
	}
}
