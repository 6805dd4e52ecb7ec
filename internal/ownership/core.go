package ownership

import (
	"errors"
	"fmt"
	"slices"
	"sort"

	"croftlock/internal/group"
	"croftlock/internal/pack"
)

// Machine is the table's number among the group's machines.
const Machine = 1

// Config is what a process is told once.
type Config struct {
	Name   string
	Life   uint64   // of this process, over 0
	Voters []string // who may lead the group
	Jobs   []string // that this process can do
	Lease  Time     // how long an owner may go on without a word from the coordinator; 0: 2 s
	Wall   func() int64
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
	Effect(job string, m Mark, body []byte)
	// Acked tells an owner what became of its effect at a receiver.
	Acked(peer uint32, job string, m Mark, v Verdict, highest Mark)
	// Noted tells an owner that what it wants left is kept, or was refused.
	Noted(job string, token, number uint64, ok bool)
	// Asked brings a word for a job's owner from another process, and Answered the answer.
	Asked(peer uint32, job string, tag uint64, body []byte)
	Answered(tag uint64, body []byte)
	Tell(event string, args ...any)
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
	if cfg.Name == "" || len(cfg.Name) > mostName || cfg.Life == 0 || len(cfg.Voters) == 0 || len(cfg.Jobs) > MostJobs {
		return nil, fmt.Errorf("ownership: name %q, life %d, %d voters and %d jobs are not possible", cfg.Name, cfg.Life, len(cfg.Voters), len(cfg.Jobs))
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

// lapse stops everything once the lease has ended.
func (c *Core) lapse() {
	if c.now < c.until {
		return
	}
	for _, job := range c.jobs() {
		if h := c.held[job]; !h.released {
			c.stop(job, h, "the lease ended")
		}
	}
}

// Holds tells whether this process may act as a job's owner, now, under a token. It may sleep right after it has asked: the receivers'
// fences are for that.
func (c *Core) Holds(now Time, job string, token uint64) bool {
	c.now = max(c.now, now)
	h := c.held[job]
	return h != nil && !h.released && h.token == token && c.now < c.until
}

// stop ends a job here. What it leaves is told to the coordinator until that has it.
func (c *Core) stop(job string, h *held, why string) {
	h.released, h.why = true, why
	h.number, h.left = c.fx.Stop(job, h.token, why)
	c.tellReleased(job, h)
}

func (c *Core) tellReleased(job string, h *held) {
	h.toldAt = c.now
	if c.leader == 0 {
		return
	}
	var w pack.Writer
	c.send(c.leader, w.Uint(msgReleased).Text(c.cfg.Name).Uint(c.cfg.Life).Bool(c.fit()).Text(job).Uint(h.token).Uint(h.raise).Uint(h.number).Bytes(h.left).Text(h.why).Data)
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

// keep asks the coordinator for another lease.
func (c *Core) keep() {
	every := c.cfg.Lease / 4
	if c.now-c.heardAt > every+every/2 {
		every /= 2 // the coordinator may be another by now
	}
	if c.now-c.askAt < every && c.askAt > 0 {
		return
	}
	c.askAt = max(1, c.now)
	if c.now-c.heardAt > c.cfg.Lease/2 || c.leader == 0 {
		// Whoever is asked says whom it takes for the coordinator.
		c.leader = 0
		if c.group != nil {
			c.leader = c.group.Leader()
		}
		if c.leader == 0 || c.now-c.heardAt > c.cfg.Lease {
			c.leader = group.Peer(c.cfg.Voters[c.tryAt%len(c.cfg.Voters)])
			c.tryAt++
		}
	}
	c.seq++
	for s, at := range c.asked {
		if c.now-at > c.cfg.Lease {
			delete(c.asked, s)
		}
	}
	c.asked[c.seq] = c.now
	var w pack.Writer
	c.send(c.leader, w.Uint(msgKeep).Text(c.cfg.Name).Uint(c.cfg.Life).Uint(c.seq).Bool(c.fit()).Uint(c.epoch).Uint(c.list).Data)
}

// Able says whether this process is fit to own: not while it is starved or short of disk.
func (c *Core) Able(able bool) { c.able = able }

// fit tells whether this process should be given jobs: not one that had a lease and hears nobody renew it. It may be deaf, and would not hear of
// a job either, though its own words arrive.
func (c *Core) fit() bool { return c.able && !c.leaving && (c.until == 0 || c.now < c.until) }

// Hard says how many members can't hear another, as membership's reach table has it; the coordinator keeps jobs away from such.
func (c *Core) Hard(hard map[string]int) { c.hard = hard }

// Leave gives all jobs back, and takes none any more.
func (c *Core) Leave(now Time, why string) {
	c.now = max(c.now, now)
	defer c.drain()
	c.leaving = true
	for _, job := range c.jobs() {
		if h := c.held[job]; !h.released {
			c.stop(job, h, why)
		}
	}
}

// Left tells whether all that Leave gave back has been taken, or nobody is there to take it. A coordinator has to see to it that others have it: what it
// has granted and not told yet waits for the next one.
func (c *Core) Left() bool {
	return c.now >= c.until || len(c.held) == 0 && (c.leads == 0 || len(c.waits) == 0)
}

// SetGroup takes another group, or none: a voter whose store has failed is one no more until it is opened again. The table is the same one.
func (c *Core) SetGroup(g Group) { c.group, c.leads = g, 0 }

// Yield gives the lead of the group away.
func (c *Core) Yield(now Time) {
	if c.group != nil {
		c.group.Yield(now)
	}
}

// Failed says that a job ended by a fault of its own.
func (c *Core) Failed(now Time, job string, token uint64, why string) {
	c.now = max(c.now, now)
	defer c.drain()
	if h := c.held[job]; h != nil && h.token == token && !h.released {
		c.stop(job, h, failedMark+why)
	}
}

// failedMark begins the reason of a job that ended by a fault of its own.
const failedMark = "failed: "

// Note asks for what a job leaves to be kept. Noted answers; without an answer it is not known whether it is kept.
func (c *Core) Note(now Time, job string, token, number uint64, left []byte) error {
	c.now = max(c.now, now)
	defer c.drain()
	if len(left) > MostLeft {
		return fmt.Errorf("ownership: %d bytes to be left, %d are possible", len(left), MostLeft)
	}
	if !c.Holds(now, job, token) {
		return errors.New("ownership: this process does not own the job")
	}
	var w pack.Writer
	c.send(c.leader, w.Uint(msgNote).Text(job).Uint(token).Uint(number).Bytes(left).Data)
	return nil
}

// Do sends an effect of a job to a receiver, which may be this process. The caller has asked Holds just before.
func (c *Core) Do(now Time, to uint32, job string, m Mark, body []byte) {
	c.now = max(c.now, now)
	defer c.drain()
	var w pack.Writer
	c.send(to, w.Uint(msgEffect).Text(job).Uint(m.Token).Uint(m.Number).Bytes(body).Data)
}

// Ask brings a word to whoever owns a job, by way of the coordinator. It may be lost.
func (c *Core) Ask(now Time, job string, tag uint64, body []byte) {
	c.now = max(c.now, now)
	defer c.drain()
	var w pack.Writer
	if h := c.held[job]; h != nil && !h.released && c.now < c.until {
		c.fx.Asked(group.Peer(c.cfg.Name), job, tag, body)
		return
	}
	if c.leader != 0 {
		c.send(c.leader, w.Uint(msgAsk).Text(job).Uint(tag).Uint(uint64(group.Peer(c.cfg.Name))).Bytes(body).Data)
	}
}

// Answer answers one that was Asked.
func (c *Core) Answer(now Time, to uint32, tag uint64, body []byte) {
	c.now = max(c.now, now)
	defer c.drain()
	var w pack.Writer
	c.send(to, w.Uint(msgAnswer).Uint(tag).Bytes(body).Data)
}

// Move asks the coordinator to have a job handed over to a member.
func (c *Core) Move(now Time, job, to string, tag uint64) {
	c.now = max(c.now, now)
	defer c.drain()
	var w pack.Writer
	c.send(c.leader, w.Uint(msgMove).Text(job).Text(to).Uint(tag).Data)
}

// Leader is whom this process takes for the coordinator; 0: nobody.
func (c *Core) Leader() uint32 { return c.leader }

// Lease is how long this process may go on as an owner.
func (c *Core) Lease(now Time) Time { return max(0, c.until-now) }

// Held gives the jobs this process owns, with their tokens.
func (c *Core) Held() map[string]uint64 {
	out := map[string]uint64{}
	for job, h := range c.held {
		if !h.released {
			out[job] = h.token
		}
	}
	return out
}

var errTorn = errors.New("ownership: a message is torn, or of no known kind")

// Receive takes another Core's message.
func (c *Core) Receive(now Time, from uint32, msg []byte) error {
	c.now = max(c.now, now)
	defer c.drain()
	return c.receive(from, msg)
}

func (c *Core) receive(from uint32, msg []byte) error {
	r := pack.Reader{Data: msg}
	switch kind := r.Uint(); kind {
	case msgKeep:
		name, life, seq, able, epoch, list := r.Text(mostName), r.Uint(), r.Uint(), r.Bool(), r.Uint(), r.Uint()
		if r.Err() != nil || group.Peer(name) != from || life == 0 {
			return errTorn
		}
		c.takeKeep(from, name, life, seq, able, epoch, list)
	case msgKept:
		seq, life, epoch, offer := r.Uint(), r.Uint(), r.Uint(), r.Bool()
		if r.Err() != nil {
			return errTorn
		}
		if life == c.cfg.Life {
			c.takeKept(from, seq, epoch, offer)
		}
	case msgElse:
		leader := uint32(r.Uint())
		if r.Err() != nil {
			return errTorn
		}
		if from == c.leader && leader != 0 && leader != from {
			c.leader, c.askAt = leader, 0
		}
	case msgOffer:
		name, life := r.Text(mostName), r.Uint()
		offers := map[string]bool{}
		for n := r.Count(MostJobs); n > 0; n-- {
			offers[r.Text(mostName)] = true
		}
		if r.Err() != nil || group.Peer(name) != from {
			return errTorn
		}
		if s := c.sessions[who{name, life}]; s != nil {
			s.offers = offers
		}
	case msgJobs:
		return c.takeJobs(from, r)
	case msgReleased:
		name, life, able := r.Text(mostName), r.Uint(), r.Bool()
		job, token, raise := r.Text(mostName), r.Uint(), r.Uint()
		number, left, why := r.Uint(), r.Bytes(MostLeft), r.Text(200)
		if r.Err() != nil || group.Peer(name) != from {
			return errTorn
		}
		if s := c.sessions[who{name, life}]; s != nil && !able {
			s.able = false // else it would be granted again what it has just given back
		}
		c.takeReleased(name, life, job, token, raise, number, left, why)
	case msgNote:
		job, token, number, left := r.Text(mostName), r.Uint(), r.Uint(), r.Bytes(MostLeft)
		if r.Err() != nil {
			return errTorn
		}
		if c.leads != 0 {
			c.propose("", noteCmd(job, token, number, left), &noted{from, token, number}, job)
		}
	case msgNoted:
		job, token, number, ok := r.Text(mostName), r.Uint(), r.Uint(), r.Bool()
		if r.Err() != nil {
			return errTorn
		}
		if h := c.held[job]; h != nil && h.token == token {
			c.fx.Noted(job, token, number, ok)
		}
	case msgEffect:
		job, m, body := r.Text(mostName), Mark{r.Uint(), r.Uint()}, r.Bytes(1<<16)
		if r.Err() != nil || job == "" {
			return errTorn
		}
		v, highest := c.fence.Take(job, m)
		switch v {
		case Taken:
			c.fx.Effect(job, m, body)
		case Old:
			c.fx.Tell("effect_refused", "job", job, "token", m.Token, "seen", highest.Token, "from", fmt.Sprintf("%08x", from))
		}
		var w pack.Writer
		c.send(from, w.Uint(msgAck).Text(job).Uint(m.Token).Uint(m.Number).Uint(uint64(v)).Uint(highest.Token).Uint(highest.Number).Data)
	case msgAck:
		job, m, v, highest := r.Text(mostName), Mark{r.Uint(), r.Uint()}, Verdict(r.Uint()), Mark{r.Uint(), r.Uint()}
		if r.Err() != nil || v > Old {
			return errTorn
		}
		if h := c.held[job]; v == Old && h != nil && h.token == m.Token && !h.released {
			// There was a later owner, or so a receiver remembers: this one is none, and the next token is to be above.
			h.raise = highest.Token
			c.stop(job, h, "a receiver has seen a later token")
		}
		c.fx.Acked(from, job, m, v, highest)
	case msgMove:
		job, to, tag := r.Text(mostName), r.Text(mostName), r.Uint()
		if r.Err() != nil {
			return errTorn
		}
		var w pack.Writer
		c.send(from, w.Uint(msgMoved).Uint(tag).Text(c.move(job, to)).Data)
	case msgMoved:
		tag, answer := r.Uint(), r.Text(200)
		if r.Err() != nil {
			return errTorn
		}
		c.fx.Answered(tag, []byte(answer))
	case msgAsk:
		job, tag, asker, body := r.Text(mostName), r.Uint(), uint32(r.Uint()), r.Bytes(1<<16)
		if r.Err() != nil {
			return errTorn
		}
		if h := c.held[job]; h != nil && !h.released && c.now < c.until {
			c.fx.Asked(asker, job, tag, body)
		} else if row := c.table.Row(job); c.leads != 0 && row != nil && row.Owner != "" && row.Owner != c.cfg.Name {
			c.send(group.Peer(row.Owner), msg)
		}
	case msgAnswer:
		tag, body := r.Uint(), r.Bytes(1<<16)
		if r.Err() != nil {
			return errTorn
		}
		c.fx.Answered(tag, body)
	default:
		return errTorn
	}
	return nil
}

// takeKept takes a lease.
func (c *Core) takeKept(from uint32, seq, epoch uint64, offer bool) {
	at, out := c.asked[seq]
	if !out || epoch < c.epoch {
		return
	}
	delete(c.asked, seq)
	if c.cfg.FromAnswer {
		at = c.now
	}
	if epoch > c.epoch {
		c.epoch, c.list = epoch, 0
	}
	c.leader, c.heardAt = from, c.now
	c.until = max(c.until, at+c.cfg.Lease-c.cfg.Lease/drift)
	if offer {
		var w pack.Writer
		w.Uint(msgOffer).Text(c.cfg.Name).Uint(c.cfg.Life).Uint(uint64(len(c.cfg.Jobs)))
		for _, j := range c.cfg.Jobs {
			w.Text(j)
		}
		c.send(from, w.Data)
	}
}

// takeJobs takes the list of what this process is to own.
func (c *Core) takeJobs(from uint32, r pack.Reader) error {
	life, epoch, list := r.Uint(), r.Uint(), r.Uint()
	type row struct {
		job                 string
		token, number, give uint64
		left                []byte
	}
	var rows []row
	for n := r.Count(MostJobs); n > 0; n-- {
		rows = append(rows, row{r.Text(mostName), r.Uint(), r.Uint(), r.Uint(), r.Bytes(MostLeft)})
	}
	if r.Err() != nil {
		return errTorn
	}
	if life != c.cfg.Life || epoch < c.epoch || epoch == c.epoch && list <= c.list {
		return nil
	}
	c.epoch, c.list, c.leader = epoch, list, from
	listed := map[string]row{}
	for _, x := range rows {
		listed[x.job] = x
	}
	for _, job := range c.jobs() {
		h := c.held[job]
		x, in := listed[job]
		switch {
		case in && x.token == h.token && x.give == 1 && !h.released:
			c.stop(job, h, "it is to be handed over")
		case in && x.token == h.token:
		case !h.released:
			c.fx.Stop(job, h.token, "the coordinator has given it to another")
			delete(c.held, job)
		default:
			delete(c.held, job) // the coordinator has it back
		}
	}
	for _, x := range rows {
		switch {
		case c.held[x.job] != nil:
			continue
		case x.give == 1 || c.leaving:
			h := &held{token: x.token, released: true, why: "not begun: it is to be handed over, or this process is leaving"}
			c.held[x.job] = h
			c.tellReleased(x.job, h)
			continue
		case c.now >= c.until:
			c.list = list - 1 // without a lease it can't begin, and has to be told again once there is one
			continue
		}
		h := &held{token: x.token}
		c.held[x.job] = h
		if err := c.fx.Start(x.job, x.token, x.number, x.left); err != nil {
			h.released, h.why, h.number = true, failedMark+err.Error(), 0
			c.tellReleased(x.job, h)
		}
	}
	return nil
}

// The coordinator.

// lead is the coordinator's turn.
func (c *Core) lead() {
	epoch, ok := c.group.Leading()
	if !ok {
		c.leads = 0
		return
	}
	if c.leads != epoch {
		// What an earlier coordinator knew is not known here. Nobody it may have given a lease is given up before that lease ended.
		c.leads, c.ledSince, c.lists, c.fresh = epoch, c.now, 0, c.table.Version == 0
		c.keeps = nil
		clear(c.sessions)
		clear(c.waits)
		clear(c.busy)
		clear(c.confirms)
		clear(c.since)
		clear(c.gives)
		clear(c.fails)
		for _, row := range c.table.Rows() {
			c.since[row.Job] = c.now
		}
		c.fx.Tell("coordinates", "epoch", epoch)
	}
	for tag, p := range c.waits {
		if c.now >= p.until {
			delete(c.waits, tag)
			if c.busy[p.job] == tag {
				delete(c.busy, p.job)
			}
		}
	}
	for tag, k := range c.confirms {
		if c.now-k[0].at > c.cfg.Lease {
			delete(c.confirms, tag)
		}
	}
	c.confirm()
	if c.now-c.looked < 20*ms {
		return
	}
	c.looked = c.now
	if c.table.unsure {
		if c.now >= c.over(c.ledSince) && c.busy[""] == 0 {
			c.propose("", sureCmd(), nil, "")
		}
		return
	}
	c.allot()
	c.tellLists()
}

// over is when a lease that was given at a time has surely ended at whoever has it.
func (c *Core) over(at Time) Time { return at + c.cfg.Lease + c.cfg.Lease/drift }

// there are the sessions, in order.
func (c *Core) there() []*session {
	out := make([]*session, 0, len(c.sessions))
	for _, s := range c.sessions {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].name < out[j].name || out[i].name == out[j].name && (out[i].began < out[j].began || out[i].began == out[j].began && out[i].life < out[j].life)
	})
	return out
}

// latest is the session of a name that began last; nil: none.
func (c *Core) latest(name string) (last *session) {
	for _, s := range c.there() {
		if s.name == name {
			last = s
		}
	}
	return last
}

// allot makes jobs known, takes them from owners that are lost, and grants them.
func (c *Core) allot() {
	var cands []Candidate
	offered := map[string]bool{}
	for _, s := range c.there() {
		if c.now >= c.over(s.keptAt) {
			c.fx.Tell("session_over", "member", s.name)
			delete(c.sessions, s.who)
			continue
		}
		if n := len(cands); n > 0 && cands[n-1].Name == s.name {
			cands = cands[:n-1] // an earlier process of the same name: it keeps what it has until it gives it back
		}
		if s.offers == nil || c.now-s.keptAt > c.cfg.Lease*2/3 {
			continue // not known yet what it can do, or it may be lost
		}
		for j := range s.offers {
			offered[j] = true
		}
		cands = append(cands, Candidate{Name: s.name, Life: s.life, Able: s.able, Hard: c.hard[s.name], Stable: c.now - s.since, Offers: func(job string) bool { return s.offers[job] }})
	}
	fresh := make([]string, 0, 4)
	for j := range offered {
		if c.table.Row(j) == nil && c.busy[j] == 0 {
			fresh = append(fresh, j)
		}
	}
	sort.Strings(fresh)
	for _, j := range fresh {
		c.propose(j, knowCmd(j, c.cfg.Wall()), nil, j)
	}
	var free []string
	var owned []Row
	why := map[string]string{}
	for _, row := range c.table.Rows() {
		if c.busy[row.Job] != 0 {
			continue
		}
		if row.Owner != "" {
			if c.sessions[who{row.Owner, row.Life}] != nil || c.now < c.over(c.ledSince) {
				owned = append(owned, *row)
				continue
			}
			why[row.Job] = "its owner " + row.Owner + " was lost"
		}
		if f := c.fails[row.Job]; f != nil && c.now < f.until {
			continue
		}
		free = append(free, row.Job)
	}
	if c.now-c.gaveAt < sec && len(free) == 0 {
		return
	}
	// The processes come one after the other: before they have had the time, whoever is first would get everything.
	wait := 200 * ms
	if c.fresh {
		wait = c.cfg.Lease / 2
	}
	if c.now < c.ledSince+wait {
		return
	}
	for _, p := range Allot(c.now, free, owned, func(job string) Time { return c.since[job] }, cands) {
		if p.Handover {
			if c.now-c.gaveAt >= sec {
				c.gaveAt = c.now
				c.give(p)
			}
			continue
		}
		if g, asked := c.gives[p.Job]; asked {
			delete(c.gives, p.Job)
			if s := c.latest(g.To); s != nil && s.offers[p.Job] && s.able {
				p.To, p.Life, p.Why = g.To, s.life, g.Why
			}
		}
		if w := why[p.Job]; w != "" {
			p.Why = w
		}
		c.grant(p)
	}
}

func (c *Core) grant(p Placement) {
	row := c.table.Row(p.Job)
	token := max(row.Token+1, c.leads<<epochBits)
	c.propose(p.Job, grantCmd(p.Job, p.To, p.Life, token, c.cfg.Wall(), p.Why), nil, p.Job)
}

func (c *Core) give(p Placement) {
	c.gives[p.Job] = p
	if row := c.table.Row(p.Job); row != nil {
		if s := c.sessions[who{row.Owner, row.Life}]; s != nil {
			s.told = 0 // it is to hear at once
		}
	}
}

// move is an operator's wish for a handover; "" where it is taken.
func (c *Core) move(job, to string) string {
	row, s := c.table.Row(job), c.latest(to)
	switch {
	case c.leads == 0:
		return "this process does not coordinate any more: ask again"
	case row == nil:
		return fmt.Sprintf("there is no job %q", job)
	case s == nil || !s.able:
		return fmt.Sprintf("%s is not there, or not fit to own", to)
	case !s.offers[job]:
		return fmt.Sprintf("%s can't do %s", to, job)
	case row.Owner == to:
		return fmt.Sprintf("%s owns %s already", to, job)
	}
	c.give(Placement{Job: job, To: to, Life: s.life, Handover: true, Why: "moved by an operator"})
	c.tellLists()
	return ""
}

// propose has a command agreed on. Of each job one is under way at a time, notes aside.
func (c *Core) propose(job string, cmd []byte, n *noted, about string) {
	tag := c.nextTag()
	// Where this process is a majority by itself it is applied before Propose returns.
	c.waits[tag] = pending{job: about, until: c.now + 2*sec, note: n}
	if job != "" {
		c.busy[job] = tag
	}
	if c.group.Propose(c.now, Machine, tag, cmd) != nil {
		delete(c.waits, tag)
		if c.busy[about] == tag {
			delete(c.busy, about)
		}
	}
}

func (c *Core) nextTag() uint64 {
	c.tag++
	return c.cfg.Life<<24 ^ c.tag
}

// Applied is the group's word that a command was applied.
func (c *Core) Applied(now Time, tag uint64, result []byte) {
	c.now = max(c.now, now)
	defer c.drain()
	p, mine := c.waits[tag]
	if !mine {
		return
	}
	delete(c.waits, tag)
	ok := len(result) == 1 && result[0] == resultDone
	if c.busy[p.job] == tag {
		delete(c.busy, p.job)
		if ok {
			c.since[p.job] = c.now
		}
	}
	if p.note != nil {
		var w pack.Writer
		c.send(p.note.peer, w.Uint(msgNoted).Text(p.job).Uint(p.note.token).Uint(p.note.number).Bool(ok).Data)
		return
	}
	if c.leads != 0 && c.now >= c.ledSince+200*ms && !c.table.unsure {
		c.allot() // what was given back is granted again at once
	}
	c.tellLists()
}

func (c *Core) takeKeep(from uint32, name string, life, seq uint64, able bool, epoch, list uint64) {
	if c.leads == 0 {
		if c.group != nil {
			var w pack.Writer
			c.send(from, w.Uint(msgElse).Uint(uint64(c.group.Leader())).Data)
		}
		return
	}
	w := who{name, life}
	s := c.sessions[w]
	if s == nil {
		s = &session{who: w, since: c.now, began: c.now, keptAt: c.now, able: able}
		c.sessions[w] = s
	}
	if able && !s.able {
		s.since = c.now
	}
	s.able, s.behind = able, epoch < c.leads || list < s.list
	c.keeps = append(c.keeps, confirming{who: w, seq: seq, at: c.now})
}

// confirm asks the voters, once for all that asked for a lease since it last did, whether this process leads still.
func (c *Core) confirm() {
	if len(c.keeps) == 0 || c.now-c.confirmedAt < confirmEach {
		return
	}
	c.confirmedAt = c.now
	if c.table.unsure {
		c.keeps = nil // whoever owns something is to stop: it may not be in the table
		return
	}
	tag := c.nextTag()
	c.confirms[tag] = c.keeps
	c.keeps = nil
	if c.group.Confirm(c.now, tag) != nil {
		delete(c.confirms, tag)
	}
}

// Confirmed is the group's word that this process led still after Confirm was called.
func (c *Core) Confirmed(now Time, tag uint64) {
	c.now = max(c.now, now)
	defer c.drain()
	ks := c.confirms[tag]
	delete(c.confirms, tag)
	for _, k := range ks {
		s := c.sessions[k.who]
		if s == nil || c.leads == 0 {
			continue
		}
		s.keptAt = max(s.keptAt, k.at)
		var w pack.Writer
		c.send(group.Peer(k.name), w.Uint(msgKept).Uint(k.seq).Uint(k.life).Uint(c.leads).Bool(s.offers == nil).Data)
		c.tellList(s)
	}
}

func (c *Core) tellLists() {
	for _, s := range c.there() {
		c.tellList(s)
	}
}

// tellList tells a process what it is to own, where that has changed since it was told, or it seems not to have heard.
func (c *Core) tellList(s *session) {
	if s.told == c.table.Version+1 && (!s.behind || c.now-s.toldAt < 200*ms) {
		return
	}
	var w pack.Writer
	n := 0
	for _, row := range c.table.Rows() {
		if row.Owner == s.name && row.Life == s.life {
			n++
		}
	}
	c.lists++
	w.Uint(msgJobs).Uint(s.life).Uint(c.leads).Uint(c.lists).Uint(uint64(n))
	for _, row := range c.table.Rows() {
		if row.Owner == s.name && row.Life == s.life {
			give := uint64(0)
			if _, asked := c.gives[row.Job]; asked {
				give = 1
			}
			w.Text(row.Job).Uint(row.Token).Uint(row.Number).Uint(give).Bytes(row.Left)
		}
	}
	s.told, s.toldAt, s.list, s.behind = c.table.Version+1, c.now, c.lists, false
	c.send(group.Peer(s.name), w.Data)
}

func (c *Core) takeReleased(name string, life uint64, job string, token, raise, number uint64, left []byte, why string) {
	row := c.table.Row(job)
	if c.leads == 0 || row == nil || c.busy[job] != 0 {
		return // it is told again
	}
	if row.Owner != name || row.Life != life || row.Token != token {
		if s := c.sessions[who{name, life}]; s != nil && c.now-s.toldAt > 50*ms {
			s.told = 0 // it does not know yet that the job is no longer its own
			c.tellList(s)
		}
		return
	}
	if raise > row.Token {
		c.propose(job, raiseCmd(job, raise), nil, job)
		return // the row's token is another now: the process is told that it owns nothing
	}
	if len(why) > len(failedMark) && why[:len(failedMark)] == failedMark {
		f := c.fails[job]
		if f == nil || c.now-f.until > 60*sec {
			f = &failing{}
			c.fails[job] = f
		}
		f.until = c.now + min(60*sec, sec<<min(f.n, 6))
		f.n++
	}
	c.propose(job, releaseCmd(job, token, number, left, c.cfg.Wall(), why), nil, job)
}
