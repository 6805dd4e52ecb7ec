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

// group is a publisher and members whose messages a test may delay or lose; each has a clock of its own speed.
type group struct {
	t                  *testing.T
	now                Time
	publisher          *Publisher
	members            map[uint32]*Member
	clockRate          map[uint32]float64
	cut                map[uint32]bool // neither reaches the publisher nor hears it
	deaf               map[uint32]bool // hears no replies
	checkpointsFail    bool
	answers            []string // to administrators
	pendingCheckpoints []func()
	checkpoint         []byte // the last one stored
	observations       []observation
	delayedReplies     []func()
	delayReplies       bool // until release
	recorder           *recorder
}

// observation is by which version a member acts at a time.
type observation struct {
	at     Time
	who    uint32
	number uint64
	lapsed bool
}

func (g *group) SendEffect(to uint32, _ uint64, body []byte) {
	g.recorder.add("do", body)
	if !g.cut[to] {
		g.members[to].Notified(g.clock(to))
	}
}

func (g *group) StoreCheckpoint(number uint64, left []byte) error {
	if g.checkpointsFail {
		return errors.New("no lead")
	}
	g.recorder.add("note", left)
	g.pendingCheckpoints = append(g.pendingCheckpoints, func() { g.checkpoint = left; g.publisher.CheckpointStored(g.now, number, true) })
	return nil
}

func (g *group) Reply(to uint32, tag uint64, body []byte) {
	g.recorder.add("answer", body)
	if to == 0 {
		g.answers = append(g.answers, string(body))
		return
	}
	if g.cut[to] || g.deaf[to] {
		return
	}
	deliver := func() { g.members[to].ReplyReceived(g.clock(to), tag, body) }
	if g.delayReplies {
		g.delayedReplies = append(g.delayedReplies, deliver)
		return
	}
	deliver()
}

func (g *group) Members() (all []jobs.Member) {
	for i := uint32(1); i <= uint32(len(g.members)); i++ {
		all = append(all, jobs.Member{Name: string(rune('a' + i - 1)), Peer: i, Present: !g.cut[i]})
	}
	return all
}

func (g *group) clock(i uint32) Time { return 5e15 + Time(float64(g.now)*g.clockRate[i]) }

func newGroup(t *testing.T, n uint32) *group {
	t.Helper()
	g := &group{t: t, now: 1e9, members: map[uint32]*Member{}, clockRate: map[uint32]float64{}, cut: map[uint32]bool{}, deaf: map[uint32]bool{}}
	g.restartPublisher()
	for i := uint32(1); i <= n; i++ {
		g.clockRate[i] = 1
		enforcer := &Enforcer{Now: func() Time { return g.clock(i) }, LapsedAdvice: time.Second}
		g.members[i] = &Member{AgreeWithin: within, Enforcer: enforcer, SendQuery: func(tag uint64, body []byte) {
			g.recorder.add("ask", body)
			if !g.cut[i] {
				g.publisher.QueryReceived(g.now, i, tag, body)
			}
		}}
	}
	g.run(2 * within)
	return g
}

// restartPublisher begins a new publisher with what the last one has left with the group.
func (g *group) restartPublisher() {
	g.publisher, g.pendingCheckpoints = &Publisher{AgreeWithin: within}, nil
	if err := g.publisher.Start(g.now, g, 1, 1, g.checkpoint); err != nil {
		g.t.Fatal(err)
	}
}

func (g *group) run(d Time) {
	for end := g.now + d; g.now < end; g.now += 20 * ms {
		pending := g.pendingCheckpoints
		g.pendingCheckpoints = nil
		for _, f := range pending {
			f()
		}
		g.publisher.Step(g.now)
		for i := uint32(1); i <= uint32(len(g.members)); i++ {
			g.members[i].Step(g.clock(i))
			v := g.members[i].Enforcer.Judge(anyAsk)
			g.observations = append(g.observations, observation{g.now, i, v.Version, v.Lapsed})
		}
	}
}

func (g *group) put(v *Version, against uint64) {
	g.publisher.QueryReceived(g.now, 0, 1, EncodeProposal(ChangeOperators(v, against, nil)))
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
	for _, a := range g.observations {
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

var anyAsk = namespace.Request{Tenant: "t", Class: "c"}

var refuseAll = &Version{Refusals: []Refusal{{Advice: 500}}}
