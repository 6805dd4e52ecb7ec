package ownership

import (
	"fmt"
	"slices"
	"sort"

	"croftlock/internal/fleet/group"
)

// Machine is the table's number among the group's machines.
const Machine = 1

// Config is what a process is told once.
type Config struct {
	Name        string
	Incarnation uint64   // of this process, over 0
	Voters      []string // who may lead the group
	Jobs        []string // that this process can do
	Lease       Time     // how long an owner may go on without a word from the coordinator; 0: 2 s
	Wall        func() int64
	// FromAnswer is a planted fault: a lease is counted from its answer, not from before it was asked for.
	FromAnswer bool
}

// confirmEach bounds how often the voters are asked whether this process leads still: once for all keeps that came meanwhile.
const confirmEach = 200 * ms

// drift is by what part clocks may run apart, twice: an owner counts its lease shorter by so much, a coordinator longer.
const drift = 50 // one fiftieth

// Effects is what a Core can do. What is passed is valid during the call only.
type Effects interface {
	Send(peer uint32, msg []byte)
	// Start begins a job with its token and what was left. A job that can't start gives an error; it is given back.
	Start(job string, token, number uint64, left []byte) error
	// Stop ends a job, before it returns, and gives what the next owner is to have, under a number above the last one noted.
	Stop(job string, token uint64, why string) (number uint64, left []byte)
	// Effect carries out what an owner sent; the fence has let it pass.
	Effect(job string, m FencingToken, body []byte)
	// EffectAcknowledged tells an owner what became of its effect at a receiver.
	EffectAcknowledged(peer uint32, job string, m FencingToken, v Verdict, highest FencingToken)
	// CheckpointStored tells an owner that what it wants left is kept, or was refused.
	CheckpointStored(job string, token, number uint64, ok bool)
	// QueryReceived brings a word for a job's owner from another process, and Answered the answer.
	QueryReceived(peer uint32, job string, tag uint64, body []byte)
	ReplyReceived(tag uint64, body []byte)
	LogEvent(event string, args ...any)
}

type held struct {
	token    uint64
	released bool // stopped; the coordinator is to know
	raise    uint64
	number   uint64
	left     []byte
	why      string
	toldAt   Time
}

// who is a process: two of one name may be there for a moment.
type who struct {
	name string
	life uint64
}

type session struct {
	who
	keptAt Time
	began  Time
	able   bool
	since  Time // able without a break
	offers map[string]bool
	told   uint64 // version of the table it was told, and one
	list   uint64 // under which number
	toldAt Time
	behind bool // it does not seem to have heard
}

type pending struct {
	job   string
	until Time
	note  *noted
}

type noted struct {
	peer          uint32
	token, number uint64
}

type confirming struct {
	who
	seq uint64
	at  Time
}

type failing struct {
	n     int
	until Time
}

// Core is one process's part: as one that may own, as a receiver, and as the coordinator while it leads the group.
type Core struct {
	cfg   Config
	fx    Effects
	group Group // nil: this process is no voter
	table *Table
	fence *Fence
	now   Time

	inbox    [][]byte
	draining bool

	// As one that may own.
	held    map[string]*held
	leader  uint32
	tryAt   int
	heardAt Time // the coordinator
	seq     uint64
	asked   map[uint64]Time // keeps that are out
	askAt   Time
	until   Time // of the lease
	epoch   uint64
	list    uint64 // of the last list of jobs, within the epoch
	able    bool
	leaving bool
	hard    map[string]int

	// As the coordinator.
	leads       uint64 // epoch; 0: it does not lead
	ledSince    Time
	fresh       bool // it leads a group that has given nothing yet
	sessions    map[who]*session
	keeps       []confirming // that came since the voters were last asked
	confirmedAt Time
	lists       uint64
	tag         uint64
	waits       map[uint64]pending
	busy        map[string]uint64 // jobs with a command under way, by its tag
	confirms    map[uint64][]confirming
	since       map[string]Time
	gives       map[string]Placement
	gaveAt      Time
	fails       map[string]*failing
	looked      Time
}

// New makes a process's part. table is the one that group keeps.
func New(cfg Config, group Group, table *Table, fence *Fence, fx Effects) (*Core, error) {
	if cfg.Name == "" || len(cfg.Name) > mostName || cfg.Incarnation == 0 || len(cfg.Voters) == 0 || len(cfg.Jobs) > MaxJobs {
		return nil, fmt.Errorf("ownership: name %q, life %d, %d voters and %d jobs are not possible", cfg.Name, cfg.Incarnation, len(cfg.Voters), len(cfg.Jobs))
	}
	if cfg.Lease <= 0 {
		cfg.Lease = 2 * sec
	}
	if cfg.Wall == nil {
		cfg.Wall = func() int64 { return 0 }
	}
	return &Core{cfg: cfg, fx: fx, group: group, table: table, fence: fence, held: map[string]*held{}, asked: map[uint64]Time{}, able: true,
		sessions: map[who]*session{}, waits: map[uint64]pending{}, busy: map[string]uint64{},
		confirms: map[uint64][]confirming{}, since: map[string]Time{}, gives: map[string]Placement{}, fails: map[string]*failing{}}, nil
}

// The messages.
const (
	msgKeep     = 1
	msgKept     = 2
	msgElse     = 3
	msgOffer    = 4
	msgJobs     = 5
	msgReleased = 6
	msgNote     = 7
	msgNoted    = 8
	msgEffect   = 9
	msgAck      = 10
	msgMove     = 11
	msgMoved    = 12
	msgAsk      = 13
	msgAnswer   = 14
)

// Tick is to be called every 50 to 100 ms, and before a job acts: a lease that has ended is noticed here.
func (c *Core) Tick(now Time) {
	c.now = max(c.now, now)
	defer c.drain()
	c.lapse()
	if c.group != nil {
		c.group.Tick(c.now)
		c.lead()
	}
	if !c.leaving || len(c.held) > 0 {
		c.keep()
	}
	for _, job := range c.jobs() {
		if h := c.held[job]; h.released && c.now-h.toldAt >= 100*ms {
			c.tellReleased(job, h)
		}
	}
}

func (c *Core) jobs() []string {
	names := make([]string, 0, len(c.held))
	for n := range c.held {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// send sends a message, or keeps it for drain where this process is meant.
func (c *Core) send(peer uint32, msg []byte) {
	if peer == group.Peer(c.cfg.Name) {
		c.inbox = append(c.inbox, slices.Clone(msg))
		return
	}
	c.fx.Send(peer, msg)
}

// drain takes what this process has told itself, once whatever it was doing is done.
func (c *Core) drain() {
	if c.draining {
		return
	}
	c.draining = true
	for len(c.inbox) > 0 {
		msg := c.inbox[0]
		c.inbox = c.inbox[1:]
		c.receive(group.Peer(c.cfg.Name), msg)
	}
	c.draining = false
}
