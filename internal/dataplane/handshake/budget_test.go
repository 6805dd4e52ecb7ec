package handshake

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const ms = int64(time.Millisecond)

// drive begins all that waits, each handshake taking took and costing cpu, and gives those that were too late; began is called for the others.
func runHandshakes(b *Budget, now, until int64, cpu time.Duration, took int64, onBegin func(id uint64, at int64)) (late []uint64) {
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
			ends = append(ends, end{now + took, id})
		}
	}
	return late
}

// After the drain of one server 500 clients need handshakes at once. What they take is bounded, and each begins in time or is rejected at once.
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
		t.Errorf("%d began, %d rejected, %d late of 500; %s", began, rejected, len(late), b.Describe())
	}
	// 0.3 s of CPU a second, 1 ms each, 30 ms saved, one overdrawn, and what was charged at the first estimate.
	if last > 1000*ms || began > 345 || began < 250 {
		t.Errorf("%d began, the last at %d ms", began, last/ms)
	}
	if rejected == 0 {
		t.Error("what could not begin in time was not rejected at once")
	}
}

// A host that answers nothing uses its own part of the budget and no more.
func TestSilentHostDelaysNoOther(t *testing.T) {
	b := New(Limits{CPUShare: 1, MaxInFlight: 8, MaxInFlightPerHost: 2, Burst: time.Second}, 0)
	for id := range uint64(100) {
		b.Enqueue(0, id, "silent", false, 5000*ms)
	}
	begin, _, _ := b.Next(0)
	if len(begin) != 2 {
		t.Fatalf("%d began with one host", len(begin))
	}
	for id := uint64(100); id < 110; id++ {
		if b.Enqueue(ms, id, "sound", false, 5000*ms) != NotRejected {
			t.Fatal("rejected because of another host")
		}
	}
	began := 0
	for now := ms; began < 10; now += ms {
		if now > 100*ms {
			t.Fatalf("%d began; %s", began, b.Describe())
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

// Hosts take turns: one with many handshakes waiting does not keep another's first one waiting.
func TestTurns(t *testing.T) {
	b := New(Limits{Rate: 10, Burst: 100 * time.Millisecond, MaxInFlight: 100}, 0)
	for id := range uint64(50) {
		b.Enqueue(0, id, "popular", false, 100_000*ms)
	}
	b.Enqueue(0, 50, "rare", false, 100_000*ms)
	var order []uint64
	runHandshakes(b, 0, 500*ms, 0, ms, func(id uint64, _ int64) { order = append(order, id) })
	if len(order) < 2 || order[1] != 50 {
		t.Errorf("began in the order %v", order)
	}
}

// A resumed handshake is cheaper against the rates; one that turns out to be full is charged as such.
func TestResumed(t *testing.T) {
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
		t.Errorf("%d resumed and %d full ones in a second of 100", resumed, full)
	}
}

// A step of the clock, either way, gives no budget.
func TestClockSteps(t *testing.T) {
	b := New(Limits{CPUShare: 0.1, Rate: 10, HostRate: 10, Burst: 100 * time.Millisecond}, 1000*ms)
	for id := range uint64(20) {
		b.Enqueue(1000*ms, id, "s", false, math.MaxInt64)
	}
	b.Next(1000 * ms)
	b.Next(-1 << 60)
	if begin, _, _ := b.Next(-1<<60 + 1); len(begin) > 0 {
		t.Errorf("a step back gave %d handshakes", len(begin))
	}
	if begin, _, _ := b.Next(1 << 60); len(begin) > 1 {
		t.Errorf("a step forward gave %d handshakes", len(begin))
	}
}
