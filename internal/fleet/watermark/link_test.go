package watermark

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// testFleet simulates members in virtual time, with one clock and faults between them.
type testFleet struct {
	now        Time
	due        eventQueue
	rng        *rand.Rand
	links      []*Link
	transports []*faultyTransport
	loss       float64 // probability that a datagram is lost
	sent       int     // number of datagrams, including lost ones
	refetches  []int   // number of fetches of the list, by member
}

// event is a call at a time. sequence orders events at the same time.
type event struct {
	at       Time
	sequence int
	run      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (t eventQueue) Len() int { return len(t) }
func (t eventQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t eventQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *eventQueue) Push(x any)   { *t = append(*t, x.(event)) }
func (t *eventQueue) Pop() any {
	x := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return x
}

// Now and After implement Clock.
func (f *testFleet) Now() Time { return f.now }
func (f *testFleet) After(d time.Duration, run func()) {
	heap.Push(&f.due, event{f.now + Time(d), f.sent + len(f.due), run})
}

// run advances the virtual time by d and runs the events that become due.
func (f *testFleet) run(d Time) {
	for end := f.now + d; ; {
		if len(f.due) == 0 || f.due[0].at > end {
			f.now = end
			return
		}
		next := heap.Pop(&f.due).(event)
		f.now = max(f.now, next.at)
		next.run()
	}
}

// faultyTransport is the Transport of one member. It delays and loses datagrams.
type faultyTransport struct {
	fleet    *testFleet
	member   int
	isolated bool // all datagrams to and from the member are lost
}

func (t *faultyTransport) MaxPayload() int { return 200 }
func (t *faultyTransport) Others() (out []uint32) {
	for i := range t.fleet.links {
		if i != t.member {
			out = append(out, uint32(i))
		}
	}
	return out
}

// SendPayload delivers a datagram after 1 to 40 ms, unless it is lost.
func (t *faultyTransport) SendPayload(member uint32, channel byte, data []byte) {
	f := t.fleet
	f.sent++
	if t.isolated || f.transports[member].isolated || f.rng.Float64() < f.loss || channel != PayloadChannel || len(data) > t.MaxPayload() {
		return
	}
	f.After(time.Duration(1+f.rng.IntN(40))*time.Millisecond, func() { f.links[member].Receive(uint32(t.member), data) })
}

// newTestFleet returns a fleet of n members, at 100 s of its virtual clock and without loss. Their
// lists are of source 1 and have revision 5 and hosts a and b up, both started at 1.
func newTestFleet(n int, seed uint64) *testFleet {
	f := &testFleet{now: 100 * second, rng: rand.New(rand.NewPCG(seed, 2)), refetches: make([]int, n)}
	for i := range n {
		f.transports = append(f.transports, &faultyTransport{fleet: f, member: i})
		f.links = append(f.links, &Link{
			Transport:    f.transports[i],
			Clock:        f,
			Rand:         rand.New(rand.NewPCG(seed, uint64(i))),
			RefetchAfter: 2 * time.Second,
			Source:       func() uint32 { return 1 },
			RefetchList:  func() { f.refetches[i]++ },
			HostsChanged: func([]string) {},
		})
	}
	for _, l := range f.links {
		l.Run()
		l.ReceiveList(5, true, []ListedHost{{"a", 1, Up}, {"b", 1, Up}})
	}
	return f
}

// countBlocking returns the number of members that block a host.
func (f *testFleet) countBlocking(host string) (n int) {
	for _, l := range f.links {
		if l.Blocks(host, 1) {
			n++
		}
	}
	return n
}

// Only one member receives a change from discovery. It reaches all other members although a third
// of all datagrams is lost, and it reaches a member that was isolated once that member is connected
// again.
func TestGossipReachesAll(t *testing.T) {
	for _, n := range []int{3, 30, 300} {
		f := newTestFleet(n, uint64(n))
		f.loss = 0.33
		f.transports[n-1].isolated = true
		f.run(2 * second)
		f.links[0].ReceiveList(6, false, []ListedHost{{"a", 1, Draining}})
		f.run(200 * 1e6)
		soon := f.countBlocking("a")
		if soon < (n-2)*9/10 || soon > n-2 {
			t.Errorf("%d members: %d block host a after 200 ms with a third of all datagrams lost, want %d to %d", n, soon, (n-2)*9/10, n-2)
		}
		f.run(25 * second) // several rounds of queries
		if got := f.countBlocking("a"); got < (n-2)*99/100 {
			t.Errorf("%d members: %d block host a after 25 s, want at least %d", n, got, (n-2)*99/100)
		}
		t.Logf("%d members, a third of all datagrams lost: %d block host a after 200 ms, %d of %d later; %d datagrams", n, soon, f.countBlocking("a"), n-2, f.sent)
		f.transports[n-1].isolated, f.loss = false, 0
		f.links[0].ReceiveList(7, false, []ListedHost{{"b", 1, Gone}})
		f.run(200 * 1e6)
		if got := f.countBlocking("b"); got != n-1 {
			t.Errorf("%d members: %d block host b without faults, want %d", n, got, n-1)
		}
	}
}

// All members receive the same change from discovery within 20 ms, which is the usual case. Only a
// few of them may gossip it.
func TestGossipIsNotDuplicated(t *testing.T) {
	const n = 300
	f := newTestFleet(n, 9)
	f.run(2 * second)
	before := f.sent
	for _, l := range f.links {
		f.After(time.Duration(f.rng.IntN(20))*time.Millisecond, func() { l.ReceiveList(6, false, []ListedHost{{"a", 1, Draining}}) })
	}
	f.run(second / 2)
	if sent := f.sent - before; sent > n*n/3 {
		t.Errorf("%d members sent %d datagrams, want at most %d", n, sent, n*n/3)
	} else {
		t.Logf("%d datagrams; if all gossiped, %d", sent, n*(n-1))
	}
	if f.countBlocking("a") > 0 {
		t.Error("a watermark that is not newer than the member's list blocks a host")
	}
}

// A proxy whose list stays behind refetches it, with a growing backoff while that does not help,
// and stops once the list has caught up.
func TestListThatIsBehindIsRefetched(t *testing.T) {
	f := newTestFleet(3, 5)
	f.links[0].ReceiveList(6, false, []ListedHost{{"a", 1, Gone}})
	f.run(60 * second)
	if f.refetches[0] > 0 || f.refetches[1] < 3 || f.refetches[1] > 6 {
		t.Errorf("refetches by member = %v, want 0 at member 0 and 3 to 6 at member 1", f.refetches)
	}
	f.links[1].ReceiveList(6, false, []ListedHost{{"a", 1, Gone}})
	f.links[2].ReceiveList(6, true, []ListedHost{{"b", 1, Up}})
	before := fmt.Sprint(f.refetches)
	f.run(60 * second)
	if got := fmt.Sprint(f.refetches); got != before || f.countBlocking("a") > 0 {
		t.Errorf("refetches by member = %s after the lists caught up, want %s as before; %d members block host a, want 0", got, before, f.countBlocking("a"))
	}
}

// An agent that pushes an old list after an outage does not release a host that the newer list had
// as draining. Revisions of another source have no effect.
func TestOlderListDoesNotRevoke(t *testing.T) {
	f := newTestFleet(2, 6)
	f.transports[0].isolated = true
	f.links[0].ReceiveList(8, false, []ListedHost{{"a", 1, Draining}})
	if changed := f.links[0].ReceiveList(5, true, []ListedHost{{"a", 1, Up}, {"b", 1, Up}}); len(changed) != 1 || !f.links[0].Blocks("a", 1) || f.links[0].Blocks("b", 1) {
		t.Errorf("after list 8 drained host a and the older list 5 arrived: changed hosts = %v, want only a, and only a blocked", changed)
	}
	if f.links[0].Blocks("a", 2) {
		t.Error("a watermark blocks a host that has restarted since")
	}
	f.run(Lifetime)
	if f.links[0].Blocks("a", 1) {
		t.Error("a watermark blocks a host beyond its lifetime, although the source's revisions may have restarted")
	}
	f.transports[0].isolated = false
	f.links[0].ReceiveList(9, false, []ListedHost{{"b", 1, Gone}})
	source := uint32(2)
	f.links[1].Source = func() uint32 { return source }
	f.links[1].ReceiveList(3, true, []ListedHost{{"a", 1, Up}, {"b", 1, Up}})
	f.run(5 * second)
	if f.links[1].Blocks("b", 1) {
		t.Error("a watermark of another source blocks host b: revisions of two sources were compared")
	}
}
