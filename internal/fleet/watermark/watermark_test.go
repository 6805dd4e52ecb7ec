package watermark

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const sec = Time(1e9)

func has(all []string, id string) bool { return slices.Contains(all, id) }

func TestANewerListTakesAHostOut(t *testing.T) {
	b := NewRegistry()
	b.Listed(0, 5, true, []ListedHost{{"a", 100, Up}, {"b", 100, Up}})
	if c := b.Heard(sec, []Watermark{{"a", 100, 5, Draining, Lifetime}}); len(c) > 0 || b.Out(sec, "a", 100) {
		t.Error("a list that is no newer takes nothing out")
	}
	if c := b.Heard(sec, []Watermark{{"a", 100, 7, Draining, Lifetime}}); !has(c, "a") || !b.Out(sec, "a", 100) || b.Out(sec, "b", 100) {
		t.Error("a newer one takes its host out, and no other", c)
	}
	if b.Out(sec, "a", 101) {
		t.Error("a process that started later is not meant")
	}
	if b.Behind(3*sec) != sec {
		t.Error("behind since", b.Behind(3*sec))
	}
	if _, c := b.Listed(4*sec, 6, false, []ListedHost{{"b", 100, Up}}); len(c) > 0 || !b.Out(4*sec, "a", 100) {
		t.Error("an own list that is older still changes nothing")
	}
	if _, c := b.Listed(5*sec, 7, false, nil); !has(c, "a") || b.Out(5*sec, "a", 100) || b.Behind(5*sec) != 0 {
		t.Error("an own list as new has the last word")
	}
}

func TestAWordLapses(t *testing.T) {
	b := NewRegistry()
	b.Listed(0, 5, true, []ListedHost{{"a", 100, Up}})
	b.Heard(0, []Watermark{{"a", 100, 9, Gone, 10 * sec}})
	if c := b.Step(9 * sec); len(c) > 0 || !b.Out(9*sec, "a", 100) {
		t.Error("it holds still")
	}
	// An echo of it has less left, and does not make it hold longer.
	x := NewRegistry()
	x.Heard(4*sec, b.Above(4*sec, 0))
	b.Heard(8*sec, x.Above(8*sec, 0))
	if c := b.Step(10 * sec); !has(c, "a") || b.Out(10*sec, "a", 100) {
		t.Error("it has lapsed")
	}
}

// What a whole list no longer names is gone; what the first one says surprises nobody; what has come back is told of no more.
func TestNews(t *testing.T) {
	b := NewRegistry()
	if news, _ := b.Listed(0, 1, true, []ListedHost{{"a", 1, Up}, {"b", 1, Draining}, {"c", 1, Up}}); len(news) > 0 {
		t.Error(news)
	}
	news, _ := b.Listed(sec, 3, true, []ListedHost{{"a", 1, Up}, {"b", 1, Draining}})
	if want := []Watermark{{"c", 1, 3, Gone, Lifetime}}; !slices.Equal(news, want) {
		t.Error(news)
	}
	if got, want := b.Above(sec, 0), []Watermark{{"b", 1, 1, Draining, Lifetime}, {"c", 1, 3, Gone, Lifetime}}; !slices.Equal(got, want) {
		t.Error(got)
	}
	b.Listed(2*sec, 4, false, []ListedHost{{"c", 50, Up}, {"b", 60, Up}})
	if got := b.Above(2*sec, 0); len(got) > 0 {
		t.Error("both are back:", got)
	}
	if news, _ := b.Listed(3*sec, 2, false, []ListedHost{{"a", 1, Draining}}); len(news) > 0 || len(b.Above(3*sec, 0)) > 0 {
		t.Error("a change of an older list is none")
	}
}

// Whatever is told, lost and repeated: a host is out only if a list newer than the own one said so of this start of it, within Life; and
// with the own list as new as any it is out by no word.
func TestOutOnlyByANewerList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type fact struct {
			host string
			boot int64
			rev  int64
		}
		said := map[fact]Time{} // when a list last said so
		books := []*Registry{NewRegistry(), NewRegistry(), NewRegistry()}
		truth, rev, now := map[string]ListedHost{"a": {"a", 1, Up}, "b": {"b", 1, Up}, "c": {"c", 1, Up}}, int64(1), Time(0)
		hosts := func() (all []ListedHost) {
			for _, id := range []string{"a", "b", "c"} {
				if h := truth[id]; h.State != Gone {
					all = append(all, h)
				}
			}
			return all
		}
		for _, b := range books {
			b.Listed(now, rev, true, hosts())
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
				books[i].Listed(now, rev, true, hosts())
			case 2:
				to := rapid.IntRange(0, 2).Draw(rt, "to")
				books[to].Heard(now, books[i].Above(now, books[to].Rev()))
			case 3:
				for _, b := range books {
					b.Step(now)
				}
			}
			for _, b := range books {
				for id, o := range b.list {
					if o.state != Up {
						said[fact{id, o.boot, o.rev}] = now // it can be told of at any time until the list changes
					}
				}
			}
			for k, b := range books {
				for _, id := range []string{"a", "b", "c"} {
					boot := b.list[id].boot
					if !b.Out(now, id, boot) {
						continue
					}
					right := false
					for f, at := range said {
						right = right || f.host == id && f.boot >= boot && f.rev > b.Rev() && now-at < Lifetime
					}
					if !right || b.Rev() == rev {
						rt.Fatalf("at %d host %s is out at list %d of %d by no newer list's word", k, id, b.Rev(), rev)
					}
				}
			}
		}
	})
}

func TestBooksAreBounded(t *testing.T) {
	b := NewRegistry()
	b.Listed(0, 1, true, nil)
	for i := range 2 * mostFloors {
		id := string([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		b.Heard(0, []Watermark{{id, 1, 5, Gone, Lifetime}})
		b.note([]Watermark{{id, 1, 5, Gone, Lifetime}})
		b.Listed(0, 1, false, []ListedHost{{id, 1, Draining}})
	}
	if len(b.heard) > mostFloors || len(b.said) > mostFloors || len(b.list) > mostFloors {
		t.Error(len(b.heard), len(b.said), len(b.list))
	}
}

func TestDatagrams(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var all []Watermark
	for range 100 {
		id := make([]byte, 1+rng.IntN(mostHost))
		for i := range id {
			id[i] = 'a' + byte(rng.IntN(26))
		}
		all = append(all, Watermark{string(id), rng.Int64(), rng.Int64N(1 << 40), Draining + State(rng.IntN(2)), Time(rng.IntN(300)) * unit})
	}
	var got []Watermark
	for _, data := range tells(7, all, 180) {
		m, err := read(data)
		if len(data) > 180 || err != nil || m.kind != kindTell || m.source != 7 {
			t.Fatal(len(data), err, m.kind)
		}
		got = append(got, m.floors...)
	}
	if !slices.Equal(got, all) {
		t.Error("what comes is not what went")
	}
	if m, err := read(ask(9, -1)); err != nil || m.kind != kindAsk || m.rev != -1 || m.source != 9 {
		t.Error(m, err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(ask(3, 17))
	f.Add(tells(3, []Watermark{{"s-1", 5, 6, Gone, Lifetime}, {"s-2", 5, 6, Draining, 0}}, 200)[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := read(data)
		if err != nil {
			return
		}
		if m.kind == kindTell && len(m.floors) > 0 {
			again, err := read(tells(m.source, m.floors, 1<<20)[0])
			if err != nil || !slices.Equal(again.floors, m.floors) {
				t.Fatalf("%v %v %v", m, again, err)
			}
		}
		b := NewRegistry()
		b.Listed(0, 1, true, []ListedHost{{"s-1", 1, Up}})
		b.Heard(0, m.floors)
		b.Step(Lifetime)
	})
}
