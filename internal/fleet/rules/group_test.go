package rules

import (
	"errors"
	"testing"
	"time"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/namespace"
)

const (
	ms     = Time(1e6)
	within = 1000 * ms
)

// group is a coordinator and members whose messages a test may hold up; each has a clock of its own speed.
type group struct {
	t       *testing.T
	now     Time
	k       *Coordinator
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
	record  *recorder
}

type act struct {
	at     Time
	who    uint32
	number uint64
	lapsed bool
}

func (g *group) SendEffect(to uint32, _ uint64, body []byte) {
	g.record.add("do", body)
	if !g.cut[to] {
		g.m[to].Notified(g.clock(to))
	}
}

func (g *group) StoreCheckpoint(number uint64, left []byte) error {
	if g.noNotes {
		return errors.New("no lead")
	}
	g.record.add("note", left)
	g.notes = append(g.notes, func() { g.left = left; g.k.CheckpointStored(g.now, number, true) })
	return nil
}

func (g *group) Reply(to uint32, tag uint64, body []byte) {
	g.record.add("answer", body)
	if to == 0 {
		g.answers = append(g.answers, string(body))
		return
	}
	if g.cut[to] || g.deaf[to] {
		return
	}
	deliver := func() { g.m[to].ReplyReceived(g.clock(to), tag, body) }
	if g.hold {
		g.held = append(g.held, deliver)
		return
	}
	deliver()
}

func (g *group) Members() (all []jobs.Member) {
	for i := uint32(1); i <= uint32(len(g.m)); i++ {
		all = append(all, jobs.Member{Name: string(rune('a' + i - 1)), Peer: i, Present: !g.cut[i]})
	}
	return all
}

func (g *group) clock(i uint32) Time { return 5e15 + Time(float64(g.now)*g.rate[i]) }

func newGroup(t *testing.T, n uint32) *group {
	g := &group{t: t, now: 1e9, m: map[uint32]*Member{}, rate: map[uint32]float64{}, cut: map[uint32]bool{}, deaf: map[uint32]bool{}}
	g.keeper()
	for i := uint32(1); i <= n; i++ {
		g.rate[i] = 1
		gate := &Enforcer{Now: func() Time { return g.clock(i) }, LapsedAdvice: time.Second}
		g.m[i] = &Member{AgreeWithin: within, Enforcer: gate, SendQuery: func(tag uint64, body []byte) {
			g.record.add("ask", body)
			if !g.cut[i] {
				g.k.QueryReceived(g.now, i, tag, body)
			}
		}}
	}
	g.run(2 * within)
	return g
}

// keeper begins a new coordinator with what the last one has left with the group.
func (g *group) keeper() {
	g.k, g.notes = &Coordinator{AgreeWithin: within}, nil
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
			v := g.m[i].Enforcer.Judge(anyAsk)
			g.acts = append(g.acts, act{g.now, i, v.Version, v.Lapsed})
		}
	}
}

func (g *group) put(v *Version, against uint64) {
	g.k.QueryReceived(g.now, 0, 1, EncodeProposal(ChangeOperators(v, against, nil)))
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
