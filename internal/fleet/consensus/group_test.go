package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"croftlock/internal/fleet/encoding"
)

// register is a machine that keeps all it is told.
type register struct{ log []string }

func (r *register) Apply(cmd []byte) []byte {
	r.log = append(r.log, string(cmd))
	return []byte(fmt.Sprint(len(r.log)))
}

func (r *register) Snapshot() []byte {
	var w encoding.Writer
	w.Uint(uint64(len(r.log)))
	for _, s := range r.log {
		w.Text(s)
	}
	return w.Data
}

func (r *register) Restore(data []byte) error {
	rd := encoding.Reader{Data: data}
	r.log = nil
	for n := rd.Count(1 << 20); n > 0; n-- {
		r.log = append(r.log, rd.Text(1<<16))
	}
	return rd.Err()
}

type mail struct {
	from, to uint32
	data     []byte
	at       Time
}

// fleet is some voters in virtual time.
type fleet struct {
	t       testing.TB
	rng     *rand.Rand
	now     Time
	names   []string
	initial []string
	cores   map[string]*Core
	regs    map[string]*register
	disks   map[string]*MemoryStore
	done    map[uint64]bool
	led     map[uint64]bool
	queue   []mail
	loss    float64
	cut     func(from, to string) bool
	tags    uint64
	events  []string
}

func newGroup(t testing.TB, seed uint64, voters ...string) *fleet {
	g := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 9)), initial: voters, cores: map[string]*Core{}, regs: map[string]*register{}, disks: map[string]*MemoryStore{},
		done: map[uint64]bool{}, led: map[uint64]bool{}, cut: func(string, string) bool { return false }}
	for _, n := range voters {
		g.start(n)
	}
	return g
}

type side struct {
	g    *fleet
	name string
}

func (s side) Send(peer uint32, msg []byte) {
	for _, n := range s.g.names {
		if PeerID(n) == peer && s.g.rng.Float64() >= s.g.loss && !s.g.cut(s.name, n) {
			s.g.queue = append(s.g.queue, mail{PeerID(s.name), peer, slices.Clone(msg), s.g.now + 1e6 + s.g.rng.Int64N(5e6)})
		}
	}
}

func (s side) Applied(_ byte, tag uint64, _ []byte) { s.g.done[tag] = true }

func (s side) Confirmed(tag uint64) { s.g.led[tag] = true }

func (s side) LogEvent(event string, args ...any) {
	s.g.events = append(s.g.events, fmt.Sprint(s.name, " ", event, " ", args))
}

func (g *fleet) start(name string) error {
	if g.disks[name] == nil {
		g.disks[name] = &MemoryStore{}
		g.names = append(g.names, name)
	}
	reg := &register{}
	c, err := Open(Config{Group: "g", Name: name, InitialVoters: g.initial, Seed: g.rng.Uint64(), SnapshotEvery: 20, KeepBehindSnapshot: 5}, g.disks[name], map[byte]Machine{1: reg}, side{g, name})
	if err == nil {
		g.cores[name], g.regs[name] = c, reg
	}
	return err
}

func (g *fleet) kill(name string) {
	g.disks[name].Crash()
	delete(g.cores, name)
}

func (g *fleet) run(d Time) {
	for end := g.now + d; g.now < end; g.now += 1e7 {
		for i := 0; i < len(g.queue); i++ {
			if m := g.queue[i]; m.at <= g.now {
				g.queue = slices.Delete(g.queue, i, i+1)
				i--
				for _, n := range g.names {
					if c := g.cores[n]; c != nil && PeerID(n) == m.to {
						c.Receive(g.now, m.from, m.data)
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

// leader waits for one.
func (g *fleet) leader() *Core {
	g.t.Helper()
	for range 200 {
		for _, n := range g.names {
			if c := g.cores[n]; c != nil {
				if _, ok := c.Leading(); ok {
					tag := g.tag()
					c.Confirm(g.now, tag)
					g.run(2e8)
					if g.led[tag] {
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

func (g *fleet) tag() uint64 { g.tags++; return g.tags }

// propose has a command agreed on, whoever leads.
func (g *fleet) propose(text string) {
	g.t.Helper()
	for range 50 {
		tag := g.tag()
		if g.leader().Propose(g.now, 1, tag, []byte(text)) == nil {
			for range 30 {
				if g.run(1e8); g.done[tag] {
					return
				}
			}
		}
	}
	g.t.Fatalf("%q is not agreed on", text)
}

func (g *fleet) alike() {
	g.t.Helper()
	g.run(3e9)
	var first []string
	for _, n := range g.names {
		if c := g.cores[n]; c != nil && c.phase == Member {
			if first == nil {
				first = g.regs[n].log
			} else if !slices.Equal(first, g.regs[n].log) {
				g.t.Fatalf("%s has %q, another %q", n, g.regs[n].log, first)
			}
		}
	}
}
