package watermark

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const sec = Time(1e9)

func has(all []string, id string) bool { return slices.Contains(all, id) }

func TestNewerListTakesAHostOut(t *testing.T) {
	b := NewRegistry()
	b.UpdateList(0, 5, true, []ListedHost{{"a", 100, Up}, {"b", 100, Up}})
	if c := b.Merge(sec, []Watermark{{"a", 100, 5, Draining, Lifetime}}); len(c) > 0 || b.Out(sec, "a", 100) {
		t.Error("a list that is no newer takes nothing out")
	}
	if c := b.Merge(sec, []Watermark{{"a", 100, 7, Draining, Lifetime}}); !has(c, "a") || !b.Out(sec, "a", 100) || b.Out(sec, "b", 100) {
		t.Error("a newer one takes its host out, and no other", c)
	}
	if b.Out(sec, "a", 101) {
		t.Error("a process that started later is not meant")
	}
	if b.BehindSince(3*sec) != sec {
		t.Error("behind since", b.BehindSince(3*sec))
	}
	if _, c := b.UpdateList(4*sec, 6, false, []ListedHost{{"b", 100, Up}}); len(c) > 0 || !b.Out(4*sec, "a", 100) {
		t.Error("an own list that is older still changes nothing")
	}
	if _, c := b.UpdateList(5*sec, 7, false, nil); !has(c, "a") || b.Out(5*sec, "a", 100) || b.BehindSince(5*sec) != 0 {
		t.Error("an own list as new has the last word")
	}
}

func TestWatermarkExpires(t *testing.T) {
	b := NewRegistry()
	b.UpdateList(0, 5, true, []ListedHost{{"a", 100, Up}})
	b.Merge(0, []Watermark{{"a", 100, 9, Gone, 10 * sec}})
	if c := b.Expire(9 * sec); len(c) > 0 || !b.Out(9*sec, "a", 100) {
		t.Error("it holds still")
	}
	// An echo of it has less left, and does not make it hold longer.
	x := NewRegistry()
	x.Merge(4*sec, b.NewerThan(4*sec, 0))
	b.Merge(8*sec, x.NewerThan(8*sec, 0))
	if c := b.Expire(10 * sec); !has(c, "a") || b.Out(10*sec, "a", 100) {
		t.Error("it has lapsed")
	}
}

// What a whole list no longer names is gone; what the first one says surprises nobody; what has come back is told of no more.
func TestNews(t *testing.T) {
	b := NewRegistry()
	if news, _ := b.UpdateList(0, 1, true, []ListedHost{{"a", 1, Up}, {"b", 1, Draining}, {"c", 1, Up}}); len(news) > 0 {
		t.Error(news)
	}
	news, _ := b.UpdateList(sec, 3, true, []ListedHost{{"a", 1, Up}, {"b", 1, Draining}})
	if want := []Watermark{{"c", 1, 3, Gone, Lifetime}}; !slices.Equal(news, want) {
		t.Error(news)
	}
	if got, want := b.NewerThan(sec, 0), []Watermark{{"b", 1, 1, Draining, Lifetime}, {"c", 1, 3, Gone, Lifetime}}; !slices.Equal(got, want) {
		t.Error(got)
	}
	b.UpdateList(2*sec, 4, false, []ListedHost{{"c", 50, Up}, {"b", 60, Up}})
	if got := b.NewerThan(2*sec, 0); len(got) > 0 {
		t.Error("both are back:", got)
	}
	if news, _ := b.UpdateList(3*sec, 2, false, []ListedHost{{"a", 1, Draining}}); len(news) > 0 || len(b.NewerThan(3*sec, 0)) > 0 {
		t.Error("a change of an older list is none")
	}
}

// Whatever is told, lost and repeated: a host is out only if a list newer than the own one stated so of this start of it, within Life; and
// with the own list as new as any it is out by no word.
func TestOutOnlyByANewerList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type fact struct {
			host      string
			startedAt int64
			rev       int64
		}
		stated := map[fact]Time{} // when a list last stated so
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
		for _, b := range registries {
			b.UpdateList(now, rev, true, hosts())
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
				for _, b := range registries {
					b.Expire(now)
				}
			}
			for _, b := range registries {
				for id, o := range b.own {
					if o.state != Up {
						stated[fact{id, o.startedAt, o.revision}] = now // it can be told of at any time until the list changes
					}
				}
			}
			for k, b := range registries {
				for _, id := range []string{"a", "b", "c"} {
					startedAt := b.own[id].startedAt
					if !b.Out(now, id, startedAt) {
						continue
					}
					right := false
					for f, at := range stated {
						right = right || f.host == id && f.startedAt >= startedAt && f.rev > b.Revision() && now-at < Lifetime
					}
					if !right || b.Revision() == rev {
						rt.Fatalf("at %d host %s is out at list %d of %d by no newer list's word", k, id, b.Revision(), rev)
					}
				}
			}
		}
	})
}

func TestRegistryIsBounded(t *testing.T) {
	b := NewRegistry()
	b.UpdateList(0, 1, true, nil)
	for i := range 2 * maxWatermarks {
		id := string([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		b.Merge(0, []Watermark{{id, 1, 5, Gone, Lifetime}})
		b.recordGossip([]Watermark{{id, 1, 5, Gone, Lifetime}})
		b.UpdateList(0, 1, false, []ListedHost{{id, 1, Draining}})
	}
	if len(b.received) > maxWatermarks || len(b.gossiped) > maxWatermarks || len(b.own) > maxWatermarks {
		t.Error(len(b.received), len(b.gossiped), len(b.own))
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
		t.Error("what comes is not what went")
	}
	asked := query{noRevision}
	if m, err := decode(asked.encode(9)); err != nil || m.body != asked || m.source != 9 {
		t.Error(m, err)
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
		b := NewRegistry()
		b.UpdateList(0, 1, true, []ListedHost{{"s-1", 1, Up}})
		b.Merge(0, g.watermarks)
		b.Expire(Lifetime)
	})
}
