package handshake

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = int64(time.Millisecond)

// drive has the budget do all that waits, each handshake taking cpu and took, and tells when each began.
func drive(b *Budget, now, until int64, cpu time.Duration, took int64, began func(id uint64, at int64)) (late []uint64) {
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
		begin, l, _ := b.Next(now)
		late = append(late, l...)
		for _, id := range begin {
			began(id, now)
			ends = append(ends, end{now + took, id})
		}
	}
	return late
}

// After the drain of one server 500 clients need handshakes at once. What they take is bounded, and nobody is left in the
// dark: each begins in time or is told at once.
func TestStormStaysInBudget(t *testing.T) {
	l := Limits{CPU: 0.3, Rate: 1000, HostRate: 100, AtOnce: 8, HostAtOnce: 4, Burst: 100 * time.Millisecond, Queue: 1000}
	b := New(l, 0)
	refused := 0
	for id := range uint64(500) {
		if b.Enqueue(0, id, fmt.Sprint("s", id%3), false, 1000*ms) != None {
			refused++
		}
	}
	n, last := 0, int64(0)
	late := drive(b, 0, 2000*ms, time.Millisecond, 2*ms, func(id uint64, at int64) { n, last = n+1, at })
	if n+refused+len(late) != 500 || b.Waiting()+b.InFlight() != 0 {
		t.Errorf("%d began, %d refused, %d late of 500; %s", n, refused, len(late), b.Describe())
	}
	// 0.3 s of CPU a second, 1 ms each, 30 ms saved, one overdrawn, and what was charged at the first estimate.
	if last > 1000*ms || n > 345 || n < 250 {
		t.Errorf("%d began, the last at %d ms", n, last/ms)
	}
	if refused == 0 {
		t.Error("what could not be done in time was not told at once")
	}
}

// A host that answers nothing keeps its own part of the budget and no more.
func TestSilentHostHoldsUpNobody(t *testing.T) {
	b := New(Limits{CPU: 1, AtOnce: 8, HostAtOnce: 2, Burst: time.Second}, 0)
	for id := range uint64(100) {
		b.Enqueue(0, id, "silent", false, 5000*ms)
	}
	begin, _, _ := b.Next(0)
	if len(begin) != 2 {
		t.Fatalf("%d began with one host", len(begin))
	}
	for id := uint64(100); id < 110; id++ {
		if b.Enqueue(ms, id, "sound", false, 5000*ms) != None {
			t.Fatal("refused because of another host")
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

func TestTurns(t *testing.T) {
	b := New(Limits{Rate: 10, Burst: 100 * time.Millisecond, AtOnce: 100}, 0)
	for id := range uint64(50) {
		b.Enqueue(0, id, "popular", false, 100_000*ms)
	}
	b.Enqueue(0, 50, "rare", false, 100_000*ms)
	var order []uint64
	drive(b, 0, 500*ms, 0, ms, func(id uint64, _ int64) { order = append(order, id) })
	if len(order) < 2 || order[1] != 50 {
		t.Errorf("began in the order %v", order)
	}
}

// A resumed handshake is cheaper against the rates; one that turns out to be full is charged as such.
func TestResumed(t *testing.T) {
	begun := func(turnedOut bool) (n int) {
		b := New(Limits{HostRate: 100, Burst: 10 * time.Millisecond, ResumedFactor: 0.25}, 0)
		for id := range uint64(1000) {
			b.Enqueue(0, id, "s", true, 1e15)
		}
		for now := int64(0); now < 1000*ms; now += ms {
			begin, _, _ := b.Next(now)
			for _, id := range begin {
				n++
				b.Done(now, id, turnedOut, 0, true)
			}
		}
		return n
	}
	if cheap, dear := begun(true), begun(false); cheap < 395 || cheap > 405 || dear < 99 || dear > 103 {
		t.Errorf("%d resumed and %d full ones in a second of 100", cheap, dear)
	}
}

func TestClockSteps(t *testing.T) {
	b := New(Limits{CPU: 0.1, Rate: 10, HostRate: 10, Burst: 100 * time.Millisecond}, 1000*ms)
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

// Whatever is asked and however long it takes: over any span no limit is passed by more than its burst and one, every
// request ends in one way, nothing begins past its deadline, and the same calls give the same answers.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{CPU: rapid.Float64Range(0.05, 1).Draw(t, "cpu"), Rate: rapid.Float64Range(5, 500).Draw(t, "rate"),
			HostRate: rapid.Float64Range(2, 200).Draw(t, "hostRate"), AtOnce: rapid.IntRange(1, 20).Draw(t, "atOnce"),
			HostAtOnce: rapid.IntRange(1, 8).Draw(t, "hostAtOnce"), Burst: 50 * time.Millisecond, Queue: 60,
			ResumedFactor: 0.5}
		b, twin := New(l, 0), New(l, 0)
		now, next := int64(0), uint64(0)
		state := map[uint64]string{}
		host, deadline, resumed := map[uint64]string{}, map[uint64]int64{}, map[uint64]bool{}
		var out []uint64
		weight, hostWeight := 0.0, map[string]float64{}
		end := func(id uint64, how string) {
			if state[id] != "waiting" && !(how == "done" && state[id] == "out") {
				t.Fatalf("%d ended as %s after %s", id, how, state[id])
			}
			state[id] = how
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, 20*ms).Draw(t, "dt")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				next++
				host[next] = fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "host"))
				deadline[next] = now + rapid.Int64Range(0, 800*ms).Draw(t, "within")
				resumed[next] = rapid.Bool().Draw(t, "resumed")
				state[next] = "waiting"
				r := b.Enqueue(now, next, host[next], resumed[next], deadline[next])
				if r2 := twin.Enqueue(now, next, host[next], resumed[next], deadline[next]); r2 != r {
					t.Fatalf("answers differ: %v, %v", r, r2)
				}
				if r != None {
					end(next, "refused")
				}
			case 2:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
					id := out[i]
					out = append(out[:i], out[i+1:]...)
					cpu := time.Duration(rapid.Int64Range(0, 2*ms).Draw(t, "took"))
					b.Done(now, id, resumed[id], cpu, true)
					twin.Done(now, id, resumed[id], cpu, true)
					end(id, "done")
				}
			case 3:
				id := uint64(rapid.Int64Range(0, int64(next)).Draw(t, "drop"))
				b.Drop(id)
				twin.Drop(id)
				if state[id] == "waiting" {
					end(id, "dropped")
				}
			}
			begin, late, _ := b.Next(now)
			begin2, late2, _ := twin.Next(now)
			if fmt.Sprint(begin, late) != fmt.Sprint(begin2, late2) || b.Describe() != twin.Describe() {
				t.Fatalf("the same calls gave %v %v and %v %v", begin, late, begin2, late2)
			}
			for _, id := range late {
				end(id, "late")
			}
			outOf := map[string]int{}
			for _, id := range begin {
				if state[id] != "waiting" || deadline[id] < now {
					t.Fatalf("%d began at %d, due %d, %s", id, now, deadline[id], state[id])
				}
				state[id] = "out"
				out = append(out, id)
				w := 1.0
				if resumed[id] {
					w = 0.5
				}
				weight += w
				hostWeight[host[id]] += w
			}
			for _, id := range out {
				outOf[host[id]]++
			}
			if len(out) > l.AtOnce {
				t.Fatalf("%d out of %d", len(out), l.AtOnce)
			}
			for h, n := range outOf {
				if n > l.HostAtOnce {
					t.Fatalf("%d of %d out with %s", n, l.HostAtOnce, h)
				}
			}
			span := float64(now) / 1e9
			if most := l.Rate*span + math.Max(1, l.Rate*0.05); weight > most+1e-6 {
				t.Fatalf("%v handshakes in %v s of %v a second", weight, span, l.Rate)
			}
			for h, w := range hostWeight {
				if most := l.HostRate*span + math.Max(1, l.HostRate*0.05); w > most+1e-6 {
					t.Fatalf("%v handshakes with %s in %v s of %v a second", w, h, span, l.HostRate)
				}
			}
		}
		waiting := 0
		for _, s := range state {
			if s == "waiting" {
				waiting++
			}
		}
		if waiting != b.Waiting() || len(out) != b.InFlight() {
			t.Fatalf("%d wait, %d out: %s", waiting, len(out), b.Describe())
		}
	})
}
