package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"croftlock/internal/fleet/encoding"
)

// recorder is a Machine whose state is the list of all applied commands. The result of a command is
// the length of the list.
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
	reader := encoding.Reader{Data: data}
	r.log = nil
	for n := reader.Count(1 << 20); n > 0; n-- {
		r.log = append(r.log, reader.Text(1<<16))
	}
	return reader.Err()
}

// queuedMessage is a message in flight.
type queuedMessage struct {
	sender, receiver uint32
	data             []byte
	due              Time // when it is delivered
}

// testGroup runs replicas in virtual time on a network that loses messages and can be cut.
type testGroup struct {
	t         testing.TB
	rng       *rand.Rand
	now       Time
	names     []string // names of all processes that were ever started
	initial   []string // names of the initial voters
	cores     map[string]*Core
	machines  map[string]*recorder
	disks     map[string]*MemoryStore
	applied   map[uint64]bool // tags passed to Applied
	confirmed map[uint64]bool // tags passed to Confirmed
	queue     []queuedMessage
	loss      float64                    // probability that a message is lost
	isCut     func(from, to string) bool // reports whether messages between two processes are lost
	lastTag   uint64
	events    []string // logged events with the names of their processes
}

// newGroup returns a group, at time 0 of its virtual clock and without message loss, in which it has
// started the initial voters. The seed determines lost and delayed messages and the processes' seeds.
func newGroup(t testing.TB, seed uint64, voters ...string) *testGroup {
	t.Helper()
	g := &testGroup{t: t, rng: rand.New(rand.NewPCG(seed, 9)), initial: voters, cores: map[string]*Core{}, machines: map[string]*recorder{}, disks: map[string]*MemoryStore{},
		applied: map[uint64]bool{}, confirmed: map[uint64]bool{}, isCut: func(string, string) bool { return false }}
	for _, name := range voters {
		g.mustStart(name)
	}
	return g
}

// testEffects implements Effects for one process.
type testEffects struct {
	group *testGroup
	name  string
}

func (e testEffects) Send(peer uint32, msg []byte) {
	g := e.group
	for _, name := range g.names {
		if PeerID(name) == peer && g.rng.Float64() >= g.loss && !g.isCut(e.name, name) {
			due := g.now + 1e6 + g.rng.Int64N(5e6)
			g.queue = append(g.queue, queuedMessage{sender: PeerID(e.name), receiver: peer, data: slices.Clone(msg), due: due})
		}
	}
}

func (e testEffects) Applied(_ byte, tag uint64, _ []byte) { e.group.applied[tag] = true }

func (e testEffects) Confirmed(tag uint64) { e.group.confirmed[tag] = true }

func (e testEffects) LogEvent(event string, args ...any) {
	e.group.events = append(e.group.events, fmt.Sprint(e.name, " ", event, " ", args))
}

// mustStart starts a process, from its disk if it has one.
func (g *testGroup) mustStart(name string) {
	g.t.Helper()
	if err := g.start(name); err != nil {
		g.t.Fatalf("start of %s: %v", name, err)
	}
}

// start starts a process like mustStart, and returns the error of Open.
func (g *testGroup) start(name string) error {
	if g.disks[name] == nil {
		g.disks[name] = &MemoryStore{}
		g.names = append(g.names, name)
	}
	machine := &recorder{}
	cfg := Config{Group: "g", Name: name, InitialVoters: g.initial, Seed: g.rng.Uint64(), SnapshotEvery: 20, TrailingEntries: 5}
	c, err := Open(cfg, g.disks[name], map[byte]Machine{1: machine}, testEffects{g, name})
	if err == nil {
		g.cores[name], g.machines[name] = c, machine
	}
	return err
}

// kill ends a process without closing its Core. Its disk keeps what was synced.
func (g *testGroup) kill(name string) {
	g.disks[name].Crash()
	delete(g.cores, name)
}

// run advances the time by duration, in steps of 10 ms. It delivers the messages that are due and
// ticks each process every 100 ms.
func (g *testGroup) run(duration Time) {
	for end := g.now + duration; g.now < end; g.now += 1e7 {
		for i := 0; i < len(g.queue); i++ {
			if m := g.queue[i]; m.due <= g.now {
				g.queue = slices.Delete(g.queue, i, i+1)
				i--
				for _, name := range g.names {
					if c := g.cores[name]; c != nil && PeerID(name) == m.receiver {
						c.Receive(g.now, m.sender, m.data)
					}
				}
			}
		}
		if g.now%1e8 == 0 {
			for _, name := range g.names {
				if c := g.cores[name]; c != nil {
					c.Tick(g.now)
				}
			}
		}
	}
}

// leader advances the time until the voters confirm the leadership of a process, and returns that
// process. It fails the test if there is none after at least 20 s.
func (g *testGroup) leader() *Core {
	g.t.Helper()
	for range 200 {
		for _, name := range g.names {
			if c := g.cores[name]; c != nil {
				if _, ok := c.Leading(); ok {
					tag := g.newTag()
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
	g.t.Fatalf("no confirmed leader after at least 20 s; events: %v", g.events)
	return nil
}

// newTag returns a tag that was not used before.
func (g *testGroup) newTag() uint64 { g.lastTag++; return g.lastTag }

// propose proposes a command to the leader until the command is applied: up to 50 times, each time
// waiting for up to 3 s. The command may be applied more than once.
func (g *testGroup) propose(text string) {
	g.t.Helper()
	for range 50 {
		tag := g.newTag()
		if g.leader().Propose(g.now, 1, tag, []byte(text)) == nil {
			for range 30 {
				if g.run(1e8); g.applied[tag] {
					return
				}
			}
		}
	}
	g.t.Fatalf("command %q not applied after 50 proposals", text)
}

// checkEqual advances the time by 3 s, and checks that all running members have then applied the same
// commands.
func (g *testGroup) checkEqual() {
	g.t.Helper()
	g.run(3e9)
	var first []string
	for _, name := range g.names {
		if c := g.cores[name]; c != nil && c.phase == Member {
			if first == nil {
				first = g.machines[name].log
			} else if !slices.Equal(first, g.machines[name].log) {
				g.t.Fatalf("%s has applied %q, want %q as another member", name, g.machines[name].log, first)
			}
		}
	}
}

// checkPhase checks the phase of a running process.
func (g *testGroup) checkPhase(name string, want Phase) {
	g.t.Helper()
	if phase, reason := g.cores[name].Phase(); phase != want {
		g.t.Errorf("phase of %s is %v (reason %q), want %v", name, phase, reason, want)
	}
}
