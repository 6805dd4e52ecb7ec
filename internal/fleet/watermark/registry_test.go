package watermark

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const sec = Time(1e9)

func contains(all []string, id string) bool { return slices.Contains(all, id) }

func TestNewerListTakesAHostOut(t *testing.T) {
	r := NewRegistry()
	r.UpdateList(0, 5, true, []ListedHost{{"a", 100, Up}, {"b", 100, Up}})
	if c := r.Merge(sec, []Watermark{{"a", 100, 5, Draining, Lifetime}}); len(c) > 0 || r.Out(sec, "a", 100) {
		t.Error("a watermark of a list that is no newer takes a host out")
	}
	if c := r.Merge(sec, []Watermark{{"a", 100, 7, Draining, Lifetime}}); !contains(c, "a") || !r.Out(sec, "a", 100) || r.Out(sec, "b", 100) {
		t.Error("a watermark of a newer list does not take out its host alone:", c)
	}
	if r.Out(sec, "a", 101) {
		t.Error("a host that has started since is out")
	}
	if r.BehindSince(3*sec) != sec {
		t.Errorf("behind since %d, expected %d", r.BehindSince(3*sec), sec)
	}
	if _, c := r.UpdateList(4*sec, 6, false, []ListedHost{{"b", 100, Up}}); len(c) > 0 || !r.Out(4*sec, "a", 100) {
		t.Error("an own list that is still older revokes a watermark")
	}
	if _, c := r.UpdateList(5*sec, 7, false, nil); !contains(c, "a") || r.Out(5*sec, "a", 100) || r.BehindSince(5*sec) != 0 {
		t.Error("an own list that is as new does not revoke a watermark")
	}
}

func TestWatermarkExpires(t *testing.T) {
	r := NewRegistry()
	r.UpdateList(0, 5, true, []ListedHost{{"a", 100, Up}})
	r.Merge(0, []Watermark{{"a", 100, 9, Gone, 10 * sec}})
	if c := r.Expire(9 * sec); len(c) > 0 || !r.Out(9*sec, "a", 100) {
		t.Error("it has expired too early")
	}
	// Passed to another proxy and back it has less time left, and is not prolonged.
	other := NewRegistry()
	other.Merge(4*sec, r.NewerThan(4*sec, 0))
	r.Merge(8*sec, other.NewerThan(8*sec, 0))
	if c := r.Expire(10 * sec); !contains(c, "a") || r.Out(10*sec, "a", 100) {
		t.Error("it has not expired")
	}
}

// A host that a complete list no longer names is gone; a first list has nothing to gossip; a host that is back has no watermark.
func TestFreshWatermarks(t *testing.T) {
	r := NewRegistry()
	if fresh, _ := r.UpdateList(0, 1, true, []ListedHost{{"a", 1, Up}, {"b", 1, Draining}, {"c", 1, Up}}); len(fresh) > 0 {
		t.Error("a first list is gossiped:", fresh)
	}
	fresh, _ := r.UpdateList(sec, 3, true, []ListedHost{{"a", 1, Up}, {"b", 1, Draining}})
	if want := []Watermark{{"c", 1, 3, Gone, Lifetime}}; !slices.Equal(fresh, want) {
		t.Errorf("fresh watermarks are %v, expected %v", fresh, want)
	}
	if got, want := r.NewerThan(sec, 0), []Watermark{{"b", 1, 1, Draining, Lifetime}, {"c", 1, 3, Gone, Lifetime}}; !slices.Equal(got, want) {
		t.Errorf("watermarks are %v, expected %v", got, want)
	}
	r.UpdateList(2*sec, 4, false, []ListedHost{{"c", 50, Up}, {"b", 60, Up}})
	if got := r.NewerThan(2*sec, 0); len(got) > 0 {
		t.Error("hosts that are back have watermarks:", got)
	}
	if fresh, _ := r.UpdateList(3*sec, 2, false, []ListedHost{{"a", 1, Draining}}); len(fresh) > 0 || len(r.NewerThan(3*sec, 0)) > 0 {
		t.Error("a change of an older list has an effect")
	}
}

// Whatever is gossiped, lost and repeated: a host is out only if a list newer than the own one had it so, for this start of the host, within
// Lifetime; a proxy with the newest list has no host out.
func TestOutOnlyByANewerList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type statement struct {
			host      string
			startedAt int64
			rev       int64
		}
		stated := map[statement]Time{} // when a list last had a host so
		registries := []*Registry{NewRegistry(), NewRegistry(), NewRegistry()}
		truth, rev, now := map[string]ListedHost{"a": {"a", 1, Up}, "b": {"b", 1, Up}, "c": {"c", 1, Up}}, int64(1), Time(0)
		hosts := func() (all []ListedHost) {
			for _, id := range []string{"a", "b", "c"} {
				if h := truth[id]; h.State != Gone {
					all = append(all, h)
				}
			}
			return all
		}
		for _, r := range registries {
			r.UpdateList(now, rev, true, hosts())
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += Time(rapid.IntRange(1, 8000).Draw(rt, "ms")) * 1e6
			i := rapid.IntRange(0, 2).Draw(rt, "at")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				rev++
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "host")
				h := truth[id]
				if h.State = State(rapid.IntRange(0, 2).Draw(rt, "state")); h.State == Up {
					h.StartedAt++
				}
				truth[id] = h
			case 1:
				registries[i].UpdateList(now, rev, true, hosts())
			case 2:
				to := rapid.IntRange(0, 2).Draw(rt, "to")
				registries[to].Merge(now, registries[i].NewerThan(now, registries[to].Revision()))
			case 3:
				for _, r := range registries {
					r.Expire(now)
				}
			}
			for _, r := range registries {
				for id, o := range r.own {
					if o.state != Up {
						stated[statement{id, o.startedAt, o.revision}] = now // the registry may gossip it until its list changes
					}
				}
			}
			for k, r := range registries {
				for _, id := range []string{"a", "b", "c"} {
					startedAt := r.own[id].startedAt
					if !r.Out(now, id, startedAt) {
						continue
					}
					stillStated := false
					for f, at := range stated {
						stillStated = stillStated || f.host == id && f.startedAt >= startedAt && f.rev > r.Revision() && now-at < Lifetime
					}
					if !stillStated || r.Revision() == rev {
						rt.Fatalf("at registry %d, with list %d of %d, host %s is out by no newer list", k, r.Revision(), rev, id)
					}
				}
			}
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
	asked := query{noRevision}
	if m, err := decode(asked.encode(9)); err != nil || m.body != asked || m.source != 9 {
		t.Errorf("a query is decoded as %v, %v", m, err)
	}
}

func FuzzRead(f *testing.F) {
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
