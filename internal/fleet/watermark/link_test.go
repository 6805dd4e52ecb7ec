package watermark

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world is members with clocks of one time, and faults between them.
type world struct {
	now        Time
	due        eventQueue
	rng        *rand.Rand
	links      []*Link
	transports []*faultyTransport
	loss       float64
	sent       int
	refetches  []int
}

type event struct {
	at Time
	n  int
	f  func()
}

type eventQueue []event

func (t eventQueue) Len() int { return len(t) }
func (t eventQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].n < t[j].n
}
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *eventQueue) Push(x any)   { *t = append(*t, x.(event)) }
func (t *eventQueue) Pop() any {
	x := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return x
}

func (w *world) Now() Time { return w.now }
func (w *world) After(d time.Duration, f func()) {
	heap.Push(&w.due, event{w.now + Time(d), w.sent + len(w.due), f})
}

func (w *world) run(d Time) {
	for end := w.now + d; ; {
		if len(w.due) == 0 || w.due[0].at > end {
			w.now = end
			return
		}
		x := heap.Pop(&w.due).(event)
		w.now = max(w.now, x.at)
		x.f()
	}
}

type faultyTransport struct {
	w   *world
	me  int
	cut bool
}

func (t *faultyTransport) MaxPayload() int { return 200 }
func (t *faultyTransport) Others() (out []uint32) {
	for i := range t.w.links {
		if i != t.me {
			out = append(out, uint32(i))
		}
	}
	return out
}

func (t *faultyTransport) Carry(peer uint32, whose byte, data []byte) {
	w := t.w
	w.sent++
	if t.cut || w.transports[peer].cut || w.rng.Float64() < w.loss || whose != CarrierID || len(data) > t.MaxPayload() {
		return
	}
	w.After(time.Duration(1+w.rng.IntN(40))*time.Millisecond, func() { w.links[peer].Receive(uint32(t.me), data) })
}

func newWorld(n int, seed uint64) *world {
	w := &world{now: 100 * sec, rng: rand.New(rand.NewPCG(seed, 2)), refetches: make([]int, n)}
	for i := range n {
		w.transports = append(w.transports, &faultyTransport{w: w, me: i})
		w.links = append(w.links, &Link{Transport: w.transports[i], Clock: w, Rand: rand.New(rand.NewPCG(seed, uint64(i))), RefetchAfter: 2 * time.Second, Source: func() uint32 { return 1 }, RefetchList: func() { w.refetches[i]++ }, Changed: func([]string) {}})
	}
	for _, l := range w.links {
		l.Run()
		l.List(5, true, []ListedHost{{"a", 1, Up}, {"b", 1, Up}})
	}
	return w
}

func (w *world) out(host string) (n int) {
	for _, l := range w.links {
		if l.Out(host, 1) {
			n++
		}
	}
	return n
}

// One alone hears of a change: all others go by it, also with a third of all datagrams lost, and whoever was cut off soon after it is back.
func TestGossipReachesAll(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		w := newWorld(n, uint64(n))
		w.loss = 0.33
		w.transports[n-1].cut = true
		w.run(2 * sec)
		w.links[0].List(6, false, []ListedHost{{"a", 1, Draining}})
		w.run(200 * 1e6)
		soon := w.out("a")
		if soon < (n-2)*9/10 || soon > n-2 {
			t.Errorf("%d members: %d know within 200 ms, with a third of what is sent lost", n, soon)
		}
		w.run(25 * sec) // some rounds of asking
		if got := w.out("a"); got < (n-2)*99/100 {
			t.Errorf("%d members: %d know in the end", n, got)
		}
		t.Logf("%d members, a third of all lost: %d know within 200 ms, %d of %d later; %d datagrams", n, soon, w.out("a"), n-2, w.sent)
		w.transports[n-1].cut, w.loss = false, 0
		w.links[0].List(7, false, []ListedHost{{"b", 1, Gone}})
		w.run(200 * 1e6)
		if got := w.out("b"); got != n-1 {
			t.Errorf("%d members: %d know of b", n, got)
		}
	}
}

// All hear of the same change within moments, as is usual: one or a few tell, and the rest keep silent.
func TestFewGossipWhatAllHear(t *testing.T) {
	const n = 300
	w := newWorld(n, 9)
	w.run(2 * sec)
	before := w.sent
	for _, l := range w.links {
		w.After(time.Duration(w.rng.IntN(20))*time.Millisecond, func() { l.List(6, false, []ListedHost{{"a", 1, Draining}}) })
	}
	w.run(sec / 2)
	if told := w.sent - before; told > n*n/3 {
		t.Errorf("%d datagrams", told)
	} else {
		t.Logf("%d datagrams where %d would tell all", told, n*(n-1))
	}
	if w.out("a") > 0 {
		t.Error("a floor under a list that is as new")
	}
}

// A proxy that stays behind asks discovery anew, and less and less often while that does not help; one whose list catches up asks no more.
func TestListThatIsBehindIsRefetched(t *testing.T) {
	w := newWorld(3, 5)
	w.links[0].List(6, false, []ListedHost{{"a", 1, Gone}})
	w.run(60 * sec)
	if w.refetches[0] > 0 || w.refetches[1] < 3 || w.refetches[1] > 6 {
		t.Errorf("asked anew: %v", w.refetches)
	}
	w.links[1].List(6, false, []ListedHost{{"a", 1, Gone}})
	w.links[2].List(6, true, []ListedHost{{"b", 1, Up}})
	was := fmt.Sprint(w.refetches)
	w.run(60 * sec)
	if got := fmt.Sprint(w.refetches); got != was || w.out("a") > 0 {
		t.Errorf("asked anew: %s, %s before; %d hold a out", got, was, w.out("a"))
	}
}

// An agent that pushes an old list after an outage does not unsay what it has said; whose numbers are another's say nothing.
func TestOldListRevokesNothing(t *testing.T) {
	w := newWorld(2, 6)
	w.transports[0].cut = true
	w.links[0].List(8, false, []ListedHost{{"a", 1, Draining}})
	if ids := w.links[0].List(5, true, []ListedHost{{"a", 1, Up}, {"b", 1, Up}}); len(ids) != 1 || !w.links[0].Out("a", 1) || w.links[0].Out("b", 1) {
		t.Error("a drained by list 8, and list 5 came after", ids)
	}
	if w.links[0].Out("a", 2) {
		t.Error("it has started anew")
	}
	w.run(Lifetime)
	if w.links[0].Out("a", 1) {
		t.Error("the numbering may have begun anew: it has lapsed")
	}
	w.transports[0].cut = false
	w.links[0].List(9, false, []ListedHost{{"b", 1, Gone}})
	source := uint32(2)
	w.links[1].Source = func() uint32 { return source }
	w.links[1].List(3, true, []ListedHost{{"a", 1, Up}, {"b", 1, Up}})
	w.run(5 * sec)
	if w.links[1].Out("b", 1) {
		t.Error("revisions of two services are not comparable")
	}
}
