package watermark

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const second = Time(1e9) // nanoseconds

// contains reports whether a host is in a list.
func contains(hosts []string, host string) bool { return slices.Contains(hosts, host) }

func TestNewerListBlocksHost(t *testing.T) {
	r := NewRegistry()
	r.UpdateList(0, 5, true, []ListedHost{{"a", 100, Up}, {"b", 100, Up}})
	if c := r.Merge(second, []Watermark{{"a", 100, 5, Draining, Lifetime}}); len(c) > 0 || r.Blocks(second, "a", 100) {
		t.Errorf("Merge of a watermark that is not newer than the registry's list changed %v, want no host, and host a not blocked", c)
	}
	if c := r.Merge(second, []Watermark{{"a", 100, 7, Draining, Lifetime}}); !contains(c, "a") || !r.Blocks(second, "a", 100) || r.Blocks(second, "b", 100) {
		t.Errorf("Merge of a watermark of a newer list changed %v, want host a, and only host a blocked", c)
	}
	if r.Blocks(second, "a", 101) {
		t.Error("a watermark blocks a host that has restarted since")
	}
	if r.BehindSince(3*second) != second {
		t.Errorf("BehindSince = %d, want %d", r.BehindSince(3*second), second)
	}
	if _, c := r.UpdateList(4*second, 6, false, []ListedHost{{"b", 100, Up}}); len(c) > 0 || !r.Blocks(4*second, "a", 100) {
		t.Errorf("a list of this proxy that is still older than the watermark changed %v, want no host, and host a blocked", c)
	}
	if _, c := r.UpdateList(5*second, 7, false, nil); !contains(c, "a") || r.Blocks(5*second, "a", 100) || r.BehindSince(5*second) != 0 {
		t.Errorf("a list of this proxy that is as new as the watermark changed %v, want host a, which is no longer blocked, and BehindSince = 0", c)
	}
}

func TestWatermarkExpires(t *testing.T) {
	r := NewRegistry()
	r.UpdateList(0, 5, true, []ListedHost{{"a", 100, Up}})
	r.Merge(0, []Watermark{{"a", 100, 9, Gone, 10 * second}})
	if c := r.Expire(9 * second); len(c) > 0 || !r.Blocks(9*second, "a", 100) {
		t.Errorf("Expire after 9 s of 10 s returned %v, want no host, and host a blocked", c)
	}
	// A watermark that another proxy sends back has less time left, so it is not prolonged.
	other := NewRegistry()
	other.Merge(4*second, r.NewerThan(4*second, 0))
	r.Merge(8*second, other.NewerThan(8*second, 0))
	if c := r.Expire(10 * second); !contains(c, "a") || r.Blocks(10*second, "a", 100) {
		t.Errorf("Expire after 10 s returned %v, want host a, and host a not blocked", c)
	}
}

// A host that a complete list no longer names is gone. A first list has no fresh watermarks. A host
// that is up again has no watermark.
func TestFreshWatermarks(t *testing.T) {
	r := NewRegistry()
	if fresh, _ := r.UpdateList(0, 1, true, []ListedHost{{"a", 1, Up}, {"b", 1, Draining}, {"c", 1, Up}}); len(fresh) > 0 {
		t.Errorf("fresh watermarks of a first list = %v, want none", fresh)
	}
	fresh, _ := r.UpdateList(second, 3, true, []ListedHost{{"a", 1, Up}, {"b", 1, Draining}})
	if want := []Watermark{{"c", 1, 3, Gone, Lifetime}}; !slices.Equal(fresh, want) {
		t.Errorf("fresh watermarks = %v, want %v", fresh, want)
	}
	if got, want := r.NewerThan(second, 0), []Watermark{{"b", 1, 1, Draining, Lifetime}, {"c", 1, 3, Gone, Lifetime}}; !slices.Equal(got, want) {
		t.Errorf("NewerThan(0) = %v, want %v", got, want)
	}
	r.UpdateList(2*second, 4, false, []ListedHost{{"c", 50, Up}, {"b", 60, Up}})
	if got := r.NewerThan(2*second, 0); len(got) > 0 {
		t.Errorf("NewerThan(0) with all hosts up again = %v, want none", got)
	}
	if fresh, _ := r.UpdateList(3*second, 2, false, []ListedHost{{"a", 1, Draining}}); len(fresh) > 0 || len(r.NewerThan(3*second, 0)) > 0 {
		t.Errorf("a change to an older list has an effect: fresh watermarks = %v, NewerThan(0) = %v, want none", fresh, r.NewerThan(3*second, 0))
	}
}

// blockedEntry identifies a list entry of a host that is draining or gone.
type blockedEntry struct {
	host      string
	startedAt int64
	revision  int64
}

// gossipModel runs three registries that receive discovery's list, and one another's watermarks, at
// random times.
type gossipModel struct {
	now         Time
	revision    int64 // of discovery's list
	hosts       map[string]ListedHost
	registries  []*Registry
	lastBlocked map[blockedEntry]Time // when a registry's list last contained the entry
}

var modelHosts = []string{"a", "b", "c"}

// newGossipModel returns a model in which all hosts are up and all registries have the list.
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

// list returns discovery's list, which omits hosts that are gone.
func (m *gossipModel) list() (all []ListedHost) {
	for _, host := range modelHosts {
		if h := m.hosts[host]; h.State != Gone {
			all = append(all, h)
		}
	}
	return all
}

// step advances the time by up to 8 s and runs one random event: a change of discovery's list, the
// delivery of the list to a registry, gossip between two registries, or the expiry of watermarks.
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

// check fails the test unless each blocked host was draining or gone within Lifetime in a list that is
// newer than the registry's own.
func (m *gossipModel) check(rt *rapid.T) {
	for i, r := range m.registries {
		for _, host := range modelHosts {
			startedAt := r.own[host].startedAt
			if r.Blocks(m.now, host, startedAt) && (!m.blockedByNewerList(r, host, startedAt) || r.Revision() == m.revision) {
				rt.Fatalf("registry %d with list %d of %d blocks host %s, which no newer list has as draining or gone", i, r.Revision(), m.revision, host)
			}
		}
	}
}

// blockedByNewerList reports whether a list newer than the registry's had the host as draining or
// gone within Lifetime.
func (m *gossipModel) blockedByNewerList(r *Registry, host string, startedAt int64) bool {
	for entry, at := range m.lastBlocked {
		if entry.host == host && entry.startedAt >= startedAt && entry.revision > r.Revision() && m.now-at < Lifetime {
			return true
		}
	}
	return false
}

// Whatever is gossiped, lost and repeated, a host is blocked only if a list newer than the proxy's own
// had it as draining or gone, for this start of the host, within Lifetime. A proxy with the newest
// list blocks no host.
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
		host := string([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		r.Merge(0, []Watermark{{host, 1, 5, Gone, Lifetime}})
		r.recordGossip([]Watermark{{host, 1, 5, Gone, Lifetime}})
		r.UpdateList(0, 1, false, []ListedHost{{host, 1, Draining}})
	}
	if len(r.received) > maxWatermarks || len(r.gossiped) > maxWatermarks || len(r.own) > maxWatermarks {
		t.Errorf("registry has %d received, %d gossiped and %d own hosts, want at most %d of each", len(r.received), len(r.gossiped), len(r.own), maxWatermarks)
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
			t.Fatalf("decode of %d bytes = %v, error %v; want at most 180 bytes and source 7", len(data), m, err)
		}
		got = append(got, m.body.(gossip).watermarks...)
	}
	if !slices.Equal(got, all) {
		t.Errorf("decoded watermarks = %v, want %v", got, all)
	}
	want := query{noRevision}
	if m, err := decode(want.encode(9)); err != nil || m.body != want || m.source != 9 {
		t.Errorf("decode of a query = %v, error %v; want %v and source 9", m, err, want)
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
				t.Fatalf("decode of the encoded message = %v, error %v; want %v", again, err, m)
			}
		}
		r := NewRegistry()
		r.UpdateList(0, 1, true, []ListedHost{{"s-1", 1, Up}})
		r.Merge(0, g.watermarks)
		r.Expire(Lifetime)
	})
}
