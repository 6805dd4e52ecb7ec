package watermark

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const second = Time(1e9)

func contains(all []string, id string) bool { return slices.Contains(all, id) }

func TestNewerListBlocksHost(t *testing.T) {
	r := NewRegistry()
	r.UpdateList(0, 5, true, []ListedHost{{"a", 100, Up}, {"b", 100, Up}})
	if c := r.Merge(second, []Watermark{{"a", 100, 5, Draining, Lifetime}}); len(c) > 0 || r.Blocks(second, "a", 100) {
		t.Error("a watermark of a list that is no newer takes a host out")
	}
	if c := r.Merge(second, []Watermark{{"a", 100, 7, Draining, Lifetime}}); !contains(c, "a") || !r.Blocks(second, "a", 100) || r.Blocks(second, "b", 100) {
		t.Error("a watermark of a newer list does not take out its host alone:", c)
	}
	if r.Blocks(second, "a", 101) {
		t.Error("a host that has started since is out")
	}
	if r.BehindSince(3*second) != second {
		t.Errorf("behind since %d, expected %d", r.BehindSince(3*second), second)
	}
	if _, c := r.UpdateList(4*second, 6, false, []ListedHost{{"b", 100, Up}}); len(c) > 0 || !r.Blocks(4*second, "a", 100) {
		t.Error("an own list that is still older revokes a watermark")
	}
	if _, c := r.UpdateList(5*second, 7, false, nil); !contains(c, "a") || r.Blocks(5*second, "a", 100) || r.BehindSince(5*second) != 0 {
		t.Error("an own list that is as new does not revoke a watermark")
	}
}

func TestWatermarkExpires(t *testing.T) {
	r := NewRegistry()
	r.UpdateList(0, 5, true, []ListedHost{{"a", 100, Up}})
	r.Merge(0, []Watermark{{"a", 100, 9, Gone, 10 * second}})
	if c := r.Expire(9 * second); len(c) > 0 || !r.Blocks(9*second, "a", 100) {
		t.Error("it has expired too early")
	}
	// Passed to another proxy and back it has less time left, and is not prolonged.
	other := NewRegistry()
	other.Merge(4*second, r.NewerThan(4*second, 0))
	r.Merge(8*second, other.NewerThan(8*second, 0))
	if c := r.Expire(10 * second); !contains(c, "a") || r.Blocks(10*second, "a", 100) {
		t.Error("it has not expired")
	}
}

// A host that a complete list no longer names is gone; a first list has nothing to gossip; a host that is back has no watermark.
func TestFreshWatermarks(t *testing.T) {
	r := NewRegistry()
	if fresh, _ := r.UpdateList(0, 1, true, []ListedHost{{"a", 1, Up}, {"b", 1, Draining}, {"c", 1, Up}}); len(fresh) > 0 {
		t.Error("a first list is gossiped:", fresh)
	}
	fresh, _ := r.UpdateList(second, 3, true, []ListedHost{{"a", 1, Up}, {"b", 1, Draining}})
	if want := []Watermark{{"c", 1, 3, Gone, Lifetime}}; !slices.Equal(fresh, want) {
		t.Errorf("fresh watermarks are %v, expected %v", fresh, want)
	}
	if got, want := r.NewerThan(second, 0), []Watermark{{"b", 1, 1, Draining, Lifetime}, {"c", 1, 3, Gone, Lifetime}}; !slices.Equal(got, want) {
		t.Errorf("watermarks are %v, expected %v", got, want)
	}
	r.UpdateList(2*second, 4, false, []ListedHost{{"c", 50, Up}, {"b", 60, Up}})
	if got := r.NewerThan(2*second, 0); len(got) > 0 {
		t.Error("hosts that are back have watermarks:", got)
	}
	if fresh, _ := r.UpdateList(3*second, 2, false, []ListedHost{{"a", 1, Draining}}); len(fresh) > 0 || len(r.NewerThan(3*second, 0)) > 0 {
		t.Error("a change of an older list has an effect")
	}
}

// blockedEntry is that a list has a host out.
type blockedEntry struct {
	host      string
	startedAt int64
	revision  int64
}

// gossipModel is three registries that get discovery's list, and one another's watermarks, at drawn times.
type gossipModel struct {
	now         Time
	revision    int64 // of discovery's list
	hosts       map[string]ListedHost
	registries  []*Registry
	lastBlocked map[blockedEntry]Time // when a registry's list last had a host out
}

var modelHosts = []string{"a", "b", "c"}

func newGossipModel() *gossipModel {
	m := &gossipModel{revision: 1, hosts: map[string]ListedHost{}, registries: []*Registry{NewRegistry(), NewRegistry(), NewRegistry()}, lastBlocked: map[blockedEntry]Time{}}
	for _, host := range modelHosts {
		m.hosts[host] = ListedHost{host, 1, Up}
	}
	for _, r := range m.registries {
		r.UpdateList(m.now, m.revision, true, m.list())
	}
	return m
}

// list is discovery's list: hosts that are gone are not in it.
func (m *gossipModel) list() (all []ListedHost) {
	for _, host := range modelHosts {
		if h := m.hosts[host]; h.State != Gone {
			all = append(all, h)
		}
	}
	return all
}

// step draws one event: a change of discovery's list, its delivery, gossip between two registries, or a check for expired watermarks.
func (m *gossipModel) step(rt *rapid.T) {
	m.now += Time(rapid.IntRange(1, 8000).Draw(rt, "ms")) * 1e6
	from := m.registries[rapid.IntRange(0, 2).Draw(rt, "from")]
	switch rapid.IntRange(0, 3).Draw(rt, "event") {
	case 0:
		m.revision++
		host := rapid.SampledFrom(modelHosts).Draw(rt, "host")
		h := m.hosts[host]
		if h.State = State(rapid.IntRange(0, 2).Draw(rt, "state")); h.State == Up {
			h.StartedAt++
		}
		m.hosts[host] = h
	case 1:
		from.UpdateList(m.now, m.revision, true, m.list())
	case 2:
		to := m.registries[rapid.IntRange(0, 2).Draw(rt, "to")]
		to.Merge(m.now, from.NewerThan(m.now, to.Revision()))
	case 3:
		for _, r := range m.registries {
			r.Expire(m.now)
		}
	}
	for _, r := range m.registries {
		for host, o := range r.own {
			if o.state != Up {
				m.lastBlocked[blockedEntry{host, o.startedAt, o.revision}] = m.now // the registry may gossip it until its list changes
			}
		}
	}
}

// check checks that each host that is out somewhere is out by a list that is newer than the registry's own, within Lifetime.
func (m *gossipModel) check(rt *rapid.T) {
	for i, r := range m.registries {
		for _, host := range modelHosts {
			startedAt := r.own[host].startedAt
			if r.Blocks(m.now, host, startedAt) && (!m.blockedByNewerList(r, host, startedAt) || r.Revision() == m.revision) {
				rt.Fatalf("at registry %d, with list %d of %d, host %s is out by no newer list", i, r.Revision(), m.revision, host)
			}
		}
	}
}

func (m *gossipModel) blockedByNewerList(r *Registry, host string, startedAt int64) bool {
	for s, at := range m.lastBlocked {
		if s.host == host && s.startedAt >= startedAt && s.revision > r.Revision() && m.now-at < Lifetime {
			return true
		}
	}
	return false
}

// Whatever is gossiped, lost and repeated: a host is out only if a list newer than the own one had it so, for this start of the host, within
// Lifetime; a proxy with the newest list has no host out.
func TestBlockedOnlyByNewerList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newGossipModel()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			m.step(rt)
			m.check(rt)
		}
	})
}

func TestRegistryIsBounded(t *testing.T) {
	r := NewRegistry()
	r.UpdateList(0, 1, true, nil)
	for i := range 2 * maxWatermarks {
		id := string([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		r.Merge(0, []Watermark{{id, 1, 5, Gone, Lifetime}})
		r.recordGossip([]Watermark{{id, 1, 5, Gone, Lifetime}})
		r.UpdateList(0, 1, false, []ListedHost{{id, 1, Draining}})
	}
	if len(r.received) > maxWatermarks || len(r.gossiped) > maxWatermarks || len(r.own) > maxWatermarks {
		t.Errorf("%d received, %d gossiped, %d own hosts, expected %d each at most", len(r.received), len(r.gossiped), len(r.own), maxWatermarks)
	}
}

func TestDatagrams(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var all []Watermark
	for range 100 {
		id := make([]byte, 1+rng.IntN(maxHostBytes))
		for i := range id {
			id[i] = 'a' + byte(rng.IntN(26))
		}
		all = append(all, Watermark{string(id), rng.Int64(), rng.Int64N(1 << 40), Draining + State(rng.IntN(2)), Time(rng.IntN(300)) * validityUnit})
	}
	var got []Watermark
	for _, data := range (gossip{all}).encode(7, 180) {
		m, err := decode(data)
		if len(data) > 180 || err != nil || m.source != 7 {
			t.Fatal(len(data), err, m)
		}
		got = append(got, m.body.(gossip).watermarks...)
	}
	if !slices.Equal(got, all) {
		t.Error("watermarks are decoded otherwise than they were encoded")
	}
	want := query{noRevision}
	if m, err := decode(want.encode(9)); err != nil || m.body != want || m.source != 9 {
		t.Errorf("a query is decoded as %v, %v", m, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(query{17}.encode(3))
	f.Add(gossip{[]Watermark{{"s-1", 5, 6, Gone, Lifetime}, {"s-2", 5, 6, Draining, 0}}}.encode(3, 200)[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		g, _ := m.body.(gossip)
		if len(g.watermarks) > 0 {
			again, err := decode(g.encode(m.source, 1<<20)[0])
			if err != nil || !slices.Equal(again.body.(gossip).watermarks, g.watermarks) {
				t.Fatalf("%v %v %v", m, again, err)
			}
		}
		r := NewRegistry()
		r.UpdateList(0, 1, true, []ListedHost{{"s-1", 1, Up}})
		r.Merge(0, g.watermarks)
		r.Expire(Lifetime)
	})
}
