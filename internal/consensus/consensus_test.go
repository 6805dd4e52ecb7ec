package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"croftlock/internal/pack"
)

// register is a machine that keeps all it is told.
type register struct{ log []string }

func (r *register) Apply(cmd []byte) []byte {
	r.log = append(r.log, string(cmd))
	return []byte(fmt.Sprint(len(r.log)))
}

func (r *register) Snapshot() []byte {
	var w pack.Writer
	w.Uint(uint64(len(r.log)))
	for _, s := range r.log {
		w.Text(s)
	}
	return w.Data
}

func (r *register) Restore(data []byte) error {
	rd := pack.Reader{Data: data}
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
	disks   map[string]*Memory
	done    map[uint64]bool
	led     map[uint64]bool
	queue   []mail
	loss    float64
	cut     func(from, to string) bool
	tags    uint64
	events  []string
}

func newGroup(t testing.TB, seed uint64, voters ...string) *fleet {
	g := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 9)), initial: voters, cores: map[string]*Core{}, regs: map[string]*register{}, disks: map[string]*Memory{},
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
		if Peer(n) == peer && s.g.rng.Float64() >= s.g.loss && !s.g.cut(s.name, n) {
			s.g.queue = append(s.g.queue, mail{Peer(s.name), peer, slices.Clone(msg), s.g.now + 1e6 + s.g.rng.Int64N(5e6)})
		}
	}
}

func (s side) Applied(_ byte, tag uint64, _ []byte) { s.g.done[tag] = true }
func (s side) Confirmed(tag uint64)                 { s.g.led[tag] = true }
func (s side) Tell(event string, args ...any) {
	s.g.events = append(s.g.events, fmt.Sprint(s.name, " ", event, " ", args))
}

func (g *fleet) start(name string) error {
	if g.disks[name] == nil {
		g.disks[name] = &Memory{}
		g.names = append(g.names, name)
	}
	reg := &register{}
	c, err := Open(Config{Group: "g", Name: name, Initial: g.initial, Seed: g.rng.Uint64(), Every: 20, Keep: 5}, g.disks[name], map[byte]Machine{1: reg}, side{g, name})
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
					if c := g.cores[n]; c != nil && Peer(n) == m.to {
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

func TestAgreesThroughLossAndRestarts(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(t, seed, "a", "b", "c")
		g.loss = 0.2
		for i := range 60 {
			if i%7 == 3 {
				n := g.names[g.rng.IntN(3)]
				g.kill(n)
				g.run(g.rng.Int64N(2e9))
				if err := g.start(n); err != nil {
					t.Fatal(err)
				}
			}
			g.propose(fmt.Sprint("command ", i))
		}
		g.loss = 0
		g.alike()
		at := -1
		for i := range 60 { // each once at least, in their order
			next := slices.Index(g.regs["a"].log, fmt.Sprint("command ", i))
			if next <= at {
				t.Fatalf("seed %d: command %d at %d after %d", seed, i, next, at)
			}
			at = next
		}
	}
}

// TestOlderFilePutBack: a voter whose file is yesterday's takes no part, whether it was copied in an earlier life or in the last.
func TestOlderFilePutBack(t *testing.T) {
	for _, sameLife := range []bool{false, true} {
		g := newGroup(t, 5, "a", "b", "c")
		g.propose("yesterday")
		g.run(1e9)
		old := g.disks["b"].Copy()
		if !sameLife {
			g.kill("b")
			g.start("b")
			g.run(3e9)
		}
		g.propose("today")
		g.run(1e9)
		g.kill("b")
		g.disks["b"].PutBack(old)
		if err := g.start("b"); err != nil {
			t.Fatal(err)
		}
		g.run(5e9)
		if p, why := g.cores["b"].Phase(); p != Stale || !strings.Contains(why, "put back") {
			t.Errorf("same life %v: phase %v, %q", sameLife, p, why)
		}
		g.propose("goes on without it")
		// Also when all start anew, and nobody remembers what it was told.
		for _, n := range []string{"a", "b", "c"} {
			g.kill(n)
		}
		for _, n := range []string{"a", "b", "c"} {
			g.start(n)
		}
		g.run(5e9)
		if p, _ := g.cores["b"].Phase(); p != Stale {
			t.Errorf("same life %v: phase %v after all started anew", sameLife, p)
		}
	}
}

// TestLostDisk: a voter that lost its disk is not the voter it was; it is added under another identity and gets its vote.
func TestLostDisk(t *testing.T) {
	g := newGroup(t, 6, "a", "b", "c")
	g.propose("one")
	g.kill("b")
	g.disks["b"] = &Memory{}
	if err := g.start("b"); err != nil {
		t.Fatal(err)
	}
	g.run(3e9)
	if p, _ := g.cores["b"].Phase(); p != Outside {
		t.Fatalf("phase %v", p)
	}
	g.propose("two")
	do := func(what string, f func(c *Core, tag uint64) error) {
		t.Helper()
		for range 20 {
			tag := g.tag()
			err := f(g.leader(), tag)
			g.run(1e9)
			if g.done[tag] {
				return
			}
			t.Log(what, err)
		}
		t.Fatalf("%s: not done", what)
	}
	if err := g.leader().Add(g.now, 1, "x"); err == nil {
		t.Error("a process that never asked is added")
	}
	do("add", func(c *Core, tag uint64) error { return c.Add(g.now, tag, "b") })
	do("promote", func(c *Core, tag uint64) error { return c.Promote(g.now, tag, "b") })
	g.propose("three")
	g.alike()
	s := g.leader().Status()
	votes := 0
	for _, m := range s.Members {
		if m.Votes {
			votes++
		}
	}
	if votes != 3 || !slices.Equal(g.regs["b"].log, g.regs["a"].log) {
		t.Errorf("%d voters; %+v", votes, s)
	}
	// Its vote counts: with another one gone the fleet goes on.
	for _, n := range []string{"a", "c"} {
		if g.leader() != g.cores[n] {
			g.kill(n)
			break
		}
	}
	g.propose("four")
	if err := g.leader().Remove(g.now, g.tag(), "b"); err == nil {
		t.Error("a voter is removed without whom there is no majority")
	}
}

// TestNoSecondBeginning: two of three that lost their disks do not begin another fleet beside the third.
func TestNoSecondBeginning(t *testing.T) {
	g := newGroup(t, 7, "a", "b", "c")
	g.propose("one")
	for _, n := range []string{"a", "b"} {
		g.kill(n)
		g.disks[n] = &Memory{}
		g.start(n)
	}
	g.run(10e9)
	for _, n := range []string{"a", "b"} {
		if p, _ := g.cores[n].Phase(); p != Outside {
			t.Errorf("%s: %v", n, p)
		}
	}
}

// TestFailedStore: a voter whose store fails says so, stops, and acknowledges nothing; the others go on, and from its disk it comes back.
func TestFailedStore(t *testing.T) {
	g := newGroup(t, 8, "a", "b", "c")
	g.propose("one")
	lead := g.leader()
	name := lead.cfg.Name
	g.disks[name].Fail = errors.New("no space")
	g.propose("two")
	if p, why := lead.Phase(); p != Broken || !strings.Contains(why, "no space") {
		t.Errorf("phase %v, %q", p, why)
	}
	if _, ok := lead.Leading(); ok {
		t.Error("a broken voter leads")
	}
	if err := lead.Propose(g.now, 1, 1, nil); err != ErrNotLeader {
		t.Error(err)
	}
	g.disks[name].Fail = nil
	g.kill(name)
	g.start(name)
	g.propose("three")
	g.alike()
	if p, _ := g.cores[name].Phase(); p != Member {
		t.Errorf("phase %v after its return", p)
	}
}

func TestYieldsTheLead(t *testing.T) {
	g := newGroup(t, 9, "a", "b", "c")
	g.propose("one")
	old := g.leader()
	old.Yield(g.now)
	if _, ok := old.Leading(); ok {
		t.Error("leads after it yielded")
	}
	began := g.now
	next := g.leader()
	if next == old || g.now-began > 5e8 {
		t.Errorf("the next leader after %d ms", (g.now-began)/1e6)
	}
}

// TestDeposedLeaderConfirmsNothing: a leader that is cut off may take itself for one, but nobody confirms it.
func TestDeposedLeaderConfirmsNothing(t *testing.T) {
	g := newGroup(t, 10, "a", "b", "c")
	g.propose("one")
	old := g.leader()
	g.cut = func(from, to string) bool { return from == old.cfg.Name || to == old.cfg.Name }
	tag, cmd := g.tag(), g.tag()
	old.Confirm(g.now, tag)
	old.Propose(g.now, 1, cmd, []byte("lost"))
	g.run(5e9)
	if g.led[tag] || g.done[cmd] {
		t.Error("a leader without a majority was confirmed")
	}
	if _, ok := old.Leading(); ok {
		t.Error("leads after 5 s without a majority")
	}
}

// TestWrongStore: a file of another process is refused in clear words.
func TestWrongStore(t *testing.T) {
	g := newGroup(t, 11, "a")
	g.run(2e9)
	_, err := Open(Config{Group: "g", Name: "b", Initial: []string{"b"}}, g.disks["a"], nil, side{g, "b"})
	if err == nil || !strings.Contains(err.Error(), "store is of a in group g") {
		t.Error(err)
	}
}

// FuzzReceive: whatever a peer sends, a voter neither ends nor takes what is not from that peer.
func FuzzReceive(f *testing.F) {
	g := newGroup(f, 12, "a", "b", "c")
	g.cut = func(from, to string) bool { return to != "a" }
	var seeds [][]byte
	for range 30 {
		g.run(1e8)
		for _, m := range g.queue {
			if m.to == Peer("a") && len(seeds) < 40 {
				seeds = append(seeds, m.data)
			}
		}
	}
	for _, s := range seeds {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := newGroup(t, 13, "a", "b", "c")
		g.run(2e9)
		a := g.cores["a"]
		a.Receive(g.now, Peer("b"), data)
		a.Receive(g.now, Peer("b"), append([]byte{msgRaft, 1, 'g'}, data...))
		g.run(5e8)
	})
}
