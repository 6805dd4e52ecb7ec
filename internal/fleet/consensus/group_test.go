package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"croftlock/internal/fleet/encoding"
)

// recorder is a machine that keeps all commands.
type recorder struct{ log []string }

func (r *recorder) Apply(cmd []byte) []byte {
	r.log = append(r.log, string(cmd))
	return []byte(fmt.Sprint(len(r.log)))
}

func (r *recorder) Snapshot() []byte {
	var w encoding.Writer
	w.Uint(uint64(len(r.log)))
	for _, s := range r.log {
		w.Text(s)
	}
	return w.Data
}

func (r *recorder) Restore(data []byte) error {
	rd := encoding.Reader{Data: data}
	r.log = nil
	for n := rd.Count(1 << 20); n > 0; n-- {
		r.log = append(r.log, rd.Text(1<<16))
	}
	return rd.Err()
}

type queuedMessage struct {
	sender, receiver uint32
	data             []byte
	due              Time
}

// testGroup is some replicas in virtual time.
type testGroup struct {
	t         testing.TB
	rng       *rand.Rand
	now       Time
	names     []string
	initial   []string
	cores     map[string]*Core
	machines  map[string]*recorder
	disks     map[string]*MemoryStore
	applied   map[uint64]bool
	confirmed map[uint64]bool
	queue     []queuedMessage
	loss      float64
	isCut     func(from, to string) bool
	lastTag   uint64
	events    []string
}

func newGroup(t testing.TB, seed uint64, voters ...string) *testGroup {
	g := &testGroup{t: t, rng: rand.New(rand.NewPCG(seed, 9)), initial: voters, cores: map[string]*Core{}, machines: map[string]*recorder{}, disks: map[string]*MemoryStore{},
		applied: map[uint64]bool{}, confirmed: map[uint64]bool{}, isCut: func(string, string) bool { return false }}
	for _, n := range voters {
		g.start(n)
	}
	return g
}

type testEffects struct {
	group *testGroup
	name  string
}

func (s testEffects) Send(peer uint32, msg []byte) {
	for _, n := range s.group.names {
		if PeerID(n) == peer && s.group.rng.Float64() >= s.group.loss && !s.group.isCut(s.name, n) {
			s.group.queue = append(s.group.queue, queuedMessage{PeerID(s.name), peer, slices.Clone(msg), s.group.now + 1e6 + s.group.rng.Int64N(5e6)})
		}
	}
}

func (s testEffects) Applied(_ byte, tag uint64, _ []byte) { s.group.applied[tag] = true }

func (s testEffects) Confirmed(tag uint64) { s.group.confirmed[tag] = true }

func (s testEffects) LogEvent(event string, args ...any) {
	s.group.events = append(s.group.events, fmt.Sprint(s.name, " ", event, " ", args))
}

func (g *testGroup) start(name string) error {
	if g.disks[name] == nil {
		g.disks[name] = &MemoryStore{}
		g.names = append(g.names, name)
	}
	reg := &recorder{}
	c, err := Open(Config{Group: "g", Name: name, InitialVoters: g.initial, Seed: g.rng.Uint64(), SnapshotEvery: 20, TrailingEntries: 5}, g.disks[name], map[byte]Machine{1: reg}, testEffects{g, name})
	if err == nil {
		g.cores[name], g.machines[name] = c, reg
	}
	return err
}

func (g *testGroup) kill(name string) {
	g.disks[name].Crash()
	delete(g.cores, name)
}

func (g *testGroup) run(d Time) {
	for end := g.now + d; g.now < end; g.now += 1e7 {
		for i := 0; i < len(g.queue); i++ {
			if m := g.queue[i]; m.due <= g.now {
				g.queue = slices.Delete(g.queue, i, i+1)
				i--
				for _, n := range g.names {
					if c := g.cores[n]; c != nil && PeerID(n) == m.receiver {
						c.Receive(g.now, m.sender, m.data)
					}
				}
			}
		}
		if g.now%1e8 == 0 {
			for _, n := range g.names {
				if c := g.cores[n]; c != nil {
					c.Tick(g.now)
				}
			}
		}
	}
}

// leader waits for one that is confirmed.
func (g *testGroup) leader() *Core {
	g.t.Helper()
	for range 200 {
		for _, n := range g.names {
			if c := g.cores[n]; c != nil {
				if _, ok := c.Leading(); ok {
					tag := g.tag()
					c.Confirm(g.now, tag)
					g.run(2e8)
					if g.confirmed[tag] {
						return c
					}
				}
			}
		}
		g.run(1e8)
	}
	g.t.Fatalf("no leader after 20 s; %v", g.events)
	return nil
}

func (g *testGroup) tag() uint64 { g.lastTag++; return g.lastTag }

// propose has a command agreed on, by whichever process leads.
func (g *testGroup) propose(text string) {
	g.t.Helper()
	for range 50 {
		tag := g.tag()
		if g.leader().Propose(g.now, 1, tag, []byte(text)) == nil {
			for range 30 {
				if g.run(1e8); g.applied[tag] {
					return
				}
			}
		}
	}
	g.t.Fatalf("%q is not agreed on", text)
}

func (g *testGroup) checkEqual() {
	g.t.Helper()
	g.run(3e9)
	var first []string
	for _, n := range g.names {
		if c := g.cores[n]; c != nil && c.phase == Member {
			if first == nil {
				first = g.machines[n].log
			} else if !slices.Equal(first, g.machines[n].log) {
				g.t.Fatalf("%s has %q, another %q", n, g.machines[n].log, first)
			}
		}
	}
}
