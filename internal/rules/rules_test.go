package rules

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"croftlock/internal/jobs"
	"croftlock/internal/namespace"
	"croftlock/internal/settings"
)

const (
	ms     = Time(1e6)
	within = 1000 * ms
)

// group is a keeper and members whose messages a test may hold up; each has a clock of its own speed.
type group struct {
	t       *testing.T
	now     Time
	k       *Keeper
	m       map[uint32]*Member
	rate    map[uint32]float64
	cut     map[uint32]bool
	deaf    map[uint32]bool // hears no answers
	noNotes bool
	answers []string
	notes   []func()
	left    []byte
	acts    []act
	held    []func()
	hold    bool // answers are held up until release
}

type act struct {
	at     Time
	who    uint32
	number uint64
	lapsed bool
}

func (g *group) Do(to uint32, _ uint64, _ []byte) {
	if !g.cut[to] {
		g.m[to].Told(g.clock(to))
	}
}

func (g *group) Note(number uint64, left []byte) error {
	if g.noNotes {
		return errors.New("no lead")
	}
	g.notes = append(g.notes, func() { g.left = left; g.k.Noted(g.now, number, true) })
	return nil
}

func (g *group) Answer(to uint32, tag uint64, body []byte) {
	if to == 0 {
		g.answers = append(g.answers, string(body))
		return
	}
	if g.cut[to] || g.deaf[to] {
		return
	}
	deliver := func() { g.m[to].Answered(g.clock(to), tag, body) }
	if g.hold {
		g.held = append(g.held, deliver)
		return
	}
	deliver()
}

func (g *group) Members() (all []jobs.Member) {
	for i := uint32(1); i <= uint32(len(g.m)); i++ {
		all = append(all, jobs.Member{Name: string(rune('a' + i - 1)), Peer: i, Here: !g.cut[i]})
	}
	return all
}

func (g *group) clock(i uint32) Time { return 5e15 + Time(float64(g.now)*g.rate[i]) }

func newGroup(t *testing.T, n uint32) *group {
	g := &group{t: t, now: 1e9, m: map[uint32]*Member{}, rate: map[uint32]float64{}, cut: map[uint32]bool{}, deaf: map[uint32]bool{}}
	g.keeper()
	for i := uint32(1); i <= n; i++ {
		g.rate[i] = 1
		gate := &Gate{Now: func() Time { return g.clock(i) }, Wait: time.Second}
		g.m[i] = &Member{Within: within, Gate: gate, Ask: func(tag uint64, body []byte) {
			if !g.cut[i] {
				g.k.Asked(g.now, i, tag, body)
			}
		}}
	}
	g.run(2 * within)
	return g
}

// keeper begins a new keeper with what the last one has left with the group.
func (g *group) keeper() {
	g.k, g.notes = &Keeper{Within: within}, nil
	if err := g.k.Start(g.now, g, 1, 1, g.left); err != nil {
		g.t.Fatal(err)
	}
}

func (g *group) run(d Time) {
	for end := g.now + d; g.now < end; g.now += 20 * ms {
		notes := g.notes
		g.notes = nil
		for _, f := range notes {
			f()
		}
		g.k.Step(g.now)
		for i := uint32(1); i <= uint32(len(g.m)); i++ {
			g.m[i].Step(g.clock(i))
			v := g.m[i].Gate.Judge(anyAsk)
			g.acts = append(g.acts, act{g.now, i, v.Version, v.Lapsed})
		}
	}
}

func (g *group) put(v *Version, against uint64) {
	g.k.Asked(g.now, 0, 1, Propose(Put(v, against, nil)))
}

func (g *group) last() string {
	if len(g.answers) == 0 {
		return ""
	}
	return g.answers[len(g.answers)-1]
}

// overlap is the longest time after the first act by a newer version at which somebody acted by an older one.
func (g *group) overlap() (most Time) {
	first := map[uint64]Time{}
	newest := uint64(0)
	for _, a := range g.acts {
		if a.lapsed {
			continue
		}
		if _, seen := first[a.number]; !seen {
			first[a.number] = a.at
		}
		newest = max(newest, a.number)
		for n := a.number + 1; n <= newest; n++ {
			if at, seen := first[n]; seen {
				most = max(most, a.at-at)
			}
		}
	}
	return most
}

var anyAsk = namespace.Ask{Tenant: "t", Class: "c"}

var refuseAll = &Version{Refuse: []Refusal{{Advice: 500}}}

func TestAVersionBecomesActiveEverywhere(t *testing.T) {
	g := newGroup(t, 5)
	g.put(refuseAll, 0)
	g.run(200 * ms)
	if !strings.HasPrefix(g.last(), "active: version 1 at 5 of 5") {
		t.Fatalf("answered %q", g.last())
	}
	for i, m := range g.m {
		if v := m.Gate.Judge(anyAsk); !v.Refused || v.Version != 1 || v.Advice != 500*time.Millisecond || v.Lapsed {
			t.Errorf("%d: %+v", i, v)
		}
	}
	if o := g.overlap(); o > 100*ms {
		t.Errorf("without a fault two versions side by side for %d ms", o/ms)
	}
	g.put(refuseAll, 0) // asked twice is as once
	if !strings.HasPrefix(g.last(), "active: version 1") {
		t.Errorf("asked again: %q", g.last())
	}
	g.put(&Version{Out: []string{"h"}}, 0)
	if !strings.HasPrefix(g.last(), "refused: it was made against version 0, and 1 is active") {
		t.Errorf("an old base: %q", g.last())
	}
}

// Cut off in each direction: nothing newer is active before its right has ended, and it acts by nothing after.
func TestOneThatIsCutOffActsByNothing(t *testing.T) {
	for name, fault := range map[string]func(g *group, on bool){
		"both ways": func(g *group, on bool) { g.cut[3] = on }, "hears nothing": func(g *group, on bool) { g.deaf[3] = on }} {
		g := newGroup(t, 3)
		fault(g, true)
		began := g.now
		g.put(refuseAll, 0)
		g.run(500 * ms)
		if name == "both ways" && g.last() != "" {
			t.Errorf("%s: active %d ms after a cut, though a right may be held: %q", name, (g.now-began)/ms, g.last())
		}
		g.run(3 * within)
		if o := g.overlap(); o > within {
			t.Errorf("%s: two versions side by side for %d ms", name, o/ms)
		}
		if v := g.m[3].Gate.Judge(anyAsk); !v.Lapsed || !v.Refused {
			t.Errorf("%s: it goes on: %+v", name, v)
		}
		fault(g, false)
		g.run(2 * within)
		if name == "both ways" && !strings.HasPrefix(g.last(), "active: version 1 at 2 of 3; lapsed: c") {
			t.Errorf("%s: answered %q", name, g.last())
		}
		if name == "both ways" {
			if v := g.m[3].Gate.Judge(anyAsk); v.Lapsed || v.Version != 1 {
				t.Errorf("%s: not healed: %+v", name, v)
			}
		}
	}
}

// Keep goes on by the last version, and says that it stands outside the promise.
func TestKeepSaysThatItsRightHasLapsed(t *testing.T) {
	g := newGroup(t, 2)
	g.m[2].Gate.Keep = true
	g.put(&Version{Out: []string{"h"}}, 0)
	g.run(200 * ms)
	g.cut[2] = true
	g.run(2 * within)
	if v := g.m[2].Gate.Judge(anyAsk); v.Refused || !v.Lapsed || v.Version != 1 {
		t.Fatalf("%+v", v)
	}
	if g.m[2].Gate.Usable("h") || !g.m[2].Gate.Usable("i") {
		t.Fatal("its last version names h alone as out")
	}
}

// A version that compiles everywhere but on one is active nowhere, and its change is answered with who and why.
func TestAPoisonVersionIsActiveNowhere(t *testing.T) {
	g := newGroup(t, 3)
	g.m[2].Most = 1
	g.put(&Version{Out: []string{"g", "h"}}, 0)
	g.run(4 * within)
	if !strings.HasPrefix(g.last(), "refused: b: rules: 2 entries, this process takes 1") {
		t.Fatalf("answered %q", g.last())
	}
	for i, m := range g.m {
		if n, _ := m.Gate.Acting(); n != 0 {
			t.Errorf("%d acts by %d", i, n)
		}
	}
	g.put(&Version{Out: []string{"h"}}, 0)
	g.run(within)
	if !strings.HasPrefix(g.last(), "active: version 1 at 3 of 3") {
		t.Fatalf("the next change: %q", g.last())
	}
}

// A new keeper knows of no rights: it makes nothing active before those that its predecessor may have given have ended, and
// what the group keeps is not lost.
func TestAKeeperThatIsLostBetweenReadyAndActive(t *testing.T) {
	g := newGroup(t, 3)
	g.cut[3] = true
	g.put(refuseAll, 0)
	g.run(200 * ms) // kept, and on its way: the one cut off may hold a right
	g.keeper()
	began := g.now
	for g.now < began+3*within && g.overlap() == 0 && !strings.Contains(g.k.show(g.now), "version 1 at") {
		g.run(20 * ms)
	}
	if n, _ := g.m[1].Gate.Acting(); n == 1 && g.now-began < within {
		t.Fatalf("active %d ms after a new keeper began, and the one cut off may act still", (g.now-began)/ms)
	}
	g.run(3 * within)
	if n, _ := g.m[1].Gate.Acting(); n != 1 {
		t.Fatalf("what was kept is lost: %d is acted by; %s", n, g.k.show(g.now))
	}
	if o := g.overlap(); o > within {
		t.Fatalf("two versions side by side for %d ms", o/ms)
	}
}

// An answer that was held up says nothing of now: a right counts from before it was asked for.
func TestALateAnswerGivesNoRight(t *testing.T) {
	g := newGroup(t, 2)
	g.hold = true
	g.run(within / 2)
	g.cut[1], g.cut[2] = true, true
	g.run(3 * within)
	for _, f := range g.held {
		f()
	}
	if v := g.m[1].Gate.Judge(anyAsk); !v.Lapsed {
		t.Fatalf("a right from an answer %d ms late", 3*within/ms)
	}
}

// What the tests here look for is found where it is put in: a right that is counted for too long.
func TestARightThatIsTooLongIsFound(t *testing.T) {
	g := newGroup(t, 3)
	g.m[3].Within = 10 * within
	g.run(3 * within)
	g.cut[3] = true
	g.put(refuseAll, 0)
	g.run(5 * within)
	if o := g.overlap(); o <= within {
		t.Fatalf("overlap %d ms with a right of ten times its time", o/ms)
	}
}

// Clocks that run a hundredth apart each, and a change each while one is cut off.
func TestOverlapWithClocksApart(t *testing.T) {
	g := newGroup(t, 4)
	g.rate[3], g.rate[4] = 0.99, 1.01
	for n := uint64(0); n < 6; n++ {
		g.cut[3] = n%2 == 0
		g.run(200 * ms)
		g.put(&Version{Out: []string{strings.Repeat("h", int(n)+1)}}, n)
		g.run(3 * within)
		if !strings.HasPrefix(g.last(), "active: version ") {
			t.Fatalf("change %d: %q", n+1, g.last())
		}
	}
	if o := g.overlap(); o > within {
		t.Fatalf("overlap %d ms of %d", o/ms, within/ms)
	}
}

// Without the group nothing changes, and nobody loses a right for it.
func TestNothingIsActiveThatTheGroupDoesNotKeep(t *testing.T) {
	g := newGroup(t, 2)
	g.noNotes = true
	g.put(refuseAll, 0)
	g.run(3 * within)
	if !strings.HasPrefix(g.last(), "unknown") {
		t.Fatalf("answered %q", g.last())
	}
	if v := g.m[1].Gate.Judge(anyAsk); v.Lapsed || v.Version != 0 || v.Refused {
		t.Fatalf("%+v", v)
	}
}

func TestVersionsThatAreRefused(t *testing.T) {
	for name, v := range map[string]*Version{
		"twice":        {Refuse: []Refusal{{Tenant: "a"}, {Tenant: "a"}}},
		"out of order": {Out: []string{"b", "a"}},
		"no name":      {Out: []string{""}},
		"too many":     {Out: func() (s []string) { return strings.Split(strings.Repeat("x,", MostEntries+1), ",") }()},
		"long":         {Refuse: []Refusal{{Class: strings.Repeat("c", mostName+1)}}},
	} {
		if _, err := Decode(v.Encode()); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	tree, faults := settings.Parse("x", []byte(`(rules (refuse a (tenant t) (advice 2s)) (refuse b (class c)) (out h g))`))
	if err := faults.Err(); err != nil || tree == nil {
		t.Fatal(err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(refuseAll.Encode())
	f.Add((&Version{Number: 3, Out: []string{"a", "b"}}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := Decode(data); err == nil && !bytes.Equal(v.Encode(), data) {
			t.Fatalf("%x is read as %x", data, v.Encode())
		}
		g := &Keeper{Within: within}
		if g.Start(1, &group{t: t}, 1, 1, data) == nil && len(data) > 0 {
			g.Asked(2, 0, 1, append([]byte{askPut}, data...))
		}
	})
}
