// Package owners is the shell round ownership: it owns the section of the operators' file, the goroutine on which the group, its store and the
// jobs run beside the loop, their datagrams, and the socket at which operators ask. What it decides nothing of is ownership's, consensus's
// and jobs'.
package owners

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"croftlock/internal/group"
	"croftlock/internal/jobs"
	"croftlock/internal/members"
	"croftlock/internal/netio"
	"croftlock/internal/ownership"
	"croftlock/internal/parcel"
	"croftlock/internal/settings"
)

const (
	turn      = 100 * time.Millisecond
	storeWait = 5 * time.Second // until a store that had no room is tried again
	inUseWait = 200 * time.Millisecond
	backlog   = 256
	// whose says to membership whose data a datagram carries.
	whose = 1
	// leaveWithin is how long a process that ends waits for the coordinator's word that it has the jobs back.
	leaveWithin = 200 * time.Millisecond
)

// Options are the section (owners …).
type Options struct {
	On     bool
	Group  string
	Voters []string
	Dir    string // "": voters keep nothing on disk
	MostKB int
	Hosts  bool
	Pace   int // moves a second over the whole fleet; 0: not paced
	Drill  int
	Each   int // milliseconds between two numbers of a drill
	Socket string
}

// Section is the operators' say.
func Section() settings.Section {
	return settings.Section{Name: "owners", Doc: "one owner at a time for the fleet's work", Bind: func(f *settings.Form) any {
		o := Options{Group: "croftlock", MostKB: 8192, Each: 100}
		f.Bool("on", "whether this proxy takes part; membership has to be on too", &o.On)
		f.Text("group", "name of the group of voters; others' messages are refused", "a name", &o.Group, func(s string) bool { return s != "" && len(s) <= 64 })
		var list string
		f.Text("voters", "names of the proxies that vote, 1 to 7, the same list everywhere, with spaces between", "names", &list, func(s string) bool {
			o.Voters = strings.Fields(s)
			sorted := slices.Clone(o.Voters)
			slices.Sort(sorted)
			return len(sorted) > 0 && len(sorted) <= 7 && len(slices.Compact(sorted)) == len(o.Voters)
		})
		f.Path("dir", "folder in which a voter keeps its log and votes, on a disk that lasts; without it voters go by memory", &o.Dir)
		f.Int("most_kb", "bound of a voter's store, in KiB", &o.MostKB, 1024, 1<<20)
		f.Bool("hosts", "whether hosts can be taken out for the whole fleet: croftlock fleet suspend ID", &o.Hosts)
		f.Int("pace", "clients that all proxies together may send away a second; 0: not bounded", &o.Pace, 0, 100000)
		f.Int("drill", "jobs that only tell every proxy a number, to try the fleet's owners", &o.Drill, 0, 500)
		f.Int("drill_ms", "time between two such numbers, in milliseconds", &o.Each, 20, 60000)
		f.Path("socket", "Unix socket at which operators ask: croftlock owners, group, fleet", &o.Socket)
		if o.On && len(o.Voters) == 0 {
			f.Fault("voters", "no voters, expected the names of 1 to 7 proxies")
		}
		return o
	}}
}

// Check looks at what the section refers to. member is the section (membership …).
func (o Options) Check(member members.Options) error {
	if !o.On {
		return nil
	}
	if !member.On {
		return errors.New("owners need membership: (membership (on on) ...)")
	}
	if o.Dir == "" {
		return nil
	}
	if OpenVoter == nil {
		return fmt.Errorf("dir: %w", errNoVoters)
	}
	info, err := os.Stat(o.Dir)
	if err == nil && !info.IsDir() {
		err = fmt.Errorf("%s is no folder", o.Dir)
	}
	if err != nil {
		return fmt.Errorf("dir: %w", err)
	}
	return nil
}

// more are jobs that tests add.
var more map[string]jobs.Job

// Shell is one process's part at work. Its exported methods belong to the loop, the rest to its own goroutine.
type Shell struct {
	o       Options
	name    string
	life    uint64
	loop    *netio.Loop
	members *members.Shell
	in      chan func()
	quit    chan struct{}
	over    chan struct{}
	once    sync.Once
	began   time.Time
	door    *door
	apply   func(out []string)
	leaving []func() // to be called once this process has left
	left    bool

	box      *parcel.Box
	table    *ownership.Table
	fence    *ownership.Fence
	core     *ownership.Core
	raft     Voter
	group    ownership.Group
	voter    bool
	broken   string // why the store can't be used
	again    time.Time
	handles  map[string]jobs.Job
	owned    map[string]uint64
	names    []string
	there    []jobs.Member
	hard     map[string]int
	pace     *jobs.Pace
	paceTags map[uint64]uint64
	asks     map[uint64]chan string
	tags     uint64
	counts   Counts
}

// Planted is a fault that experiments put in, to show that they find it. No file and no argument of the program sets it.
var Planted string

// Voter is a voter with a disk.
type Voter interface {
	ownership.Group
	Stopped() *group.StoreError
	Status() group.Status
	Add(now group.Time, tag uint64, name string) error
	Promote(now group.Time, tag uint64, name string) error
	Remove(now group.Time, tag uint64, name string) error
	Close() error
}

// VoterOptions are what a voter is opened with.
type VoterOptions struct {
	Group, Name string
	Voters      []string
	Dir         string
	Most        int64 // bytes of its store
	Seed        uint64
	Machines    map[byte]group.Machine
	Effects     group.Effects
}

// OpenVoter opens a voter with a disk; nil in a program that has none. It is set once, before anything is started.
var OpenVoter func(VoterOptions) (Voter, *group.StoreError)

var errNoVoters = errors.New("this program keeps no votes on a disk: croftlock-voter does; or leave dir out, and voters go by memory")

// Counts are what a process has done and met.
type Counts struct {
	Taken, Again, Refused, Sent, Panics, Malformed int
}

// Start begins. apply carries out, on the loop, which hosts are out for the whole fleet.
func Start(l *netio.Loop, o Options, name string, m *members.Shell, apply func(out []string)) (*Shell, error) {
	if m == nil {
		return nil, errors.New("owners: membership is off")
	}
	s := &Shell{o: o, name: name, life: uint64(time.Now().UnixMilli()), loop: l, members: m, in: make(chan func(), backlog), quit: make(chan struct{}), over: make(chan struct{}),
		began: time.Now(), apply: apply, table: ownership.NewTable(), fence: &ownership.Fence{}, handles: map[string]jobs.Job{}, owned: map[string]uint64{},
		asks: map[uint64]chan string{}, paceTags: map[uint64]uint64{}, voter: slices.Contains(o.Voters, name)}
	s.fence.Forget = Planted == "forget"
	s.box = parcel.New(m.Room(), uint32(s.life), boxSide{s})
	if o.Hosts {
		s.handles["hosts"] = &jobs.Hosts{Apply: func(out []string) { l.Post(func() { s.apply(out) }) }}
	}
	base := max(1, m.Base())
	if o.Pace > 0 {
		s.handles["moves"] = &jobs.Moves{Pace: float64(o.Pace), Base: base}
		s.pace = &jobs.Pace{Pace: float64(o.Pace), Base: base, Ask: s.askPermits}
	}
	for i := range o.Drill {
		name := fmt.Sprintf("drill%03d", i)
		s.handles[name] = &jobs.Drill{Every: int64(time.Duration(max(20, o.Each)) * time.Millisecond), Taken: func(m ownership.Mark) {
			slog.Debug("drill_taken", "job", name, "token", m.Token, "number", m.Number)
		}}
	}
	for n, j := range more {
		s.handles[n] = j
	}
	for n := range s.handles {
		s.names = append(s.names, n)
	}
	slices.Sort(s.names)
	if o.Socket != "" {
		d, err := serve(o.Socket, s)
		if err != nil {
			return nil, fmt.Errorf("owners: %w", err)
		}
		s.door = d
	}
	m.Attach(whose, func(peer uint32, data []byte) {
		s.post(func() {
			if s.box.Receive(s.now(), peer, data) != nil {
				s.counts.Malformed++
			}
		})
	})
	s.look()
	go s.run()
	return s, nil
}

func (s *Shell) now() int64 { return int64(time.Since(s.began)) + 1 }

// post has something done on the own goroutine; what it is late for is dropped, as a datagram may be.
func (s *Shell) post(f func()) {
	select {
	case s.in <- f:
	default:
	}
}

// run is the goroutine beside the loop: it may wait for a disk.
func (s *Shell) run() {
	defer close(s.over)
	s.open()
	t := time.NewTicker(turn)
	defer t.Stop()
	for {
		select {
		case <-s.quit:
			if s.raft != nil {
				s.raft.Close()
			}
			return
		case f := <-s.in:
			f()
		case <-t.C:
			s.turn()
		}
	}
}

// look tells the goroutine who is there, from the loop.
func (s *Shell) look() {
	select {
	case <-s.quit:
		return
	default:
	}
	var there []jobs.Member
	hard := map[string]int{}
	names := map[uint32]string{}
	view := s.members.View()
	for _, m := range view {
		names[m.ID] = m.Name
	}
	for _, m := range view {
		if m.Name == "" || m.State == "left" || m.State == "gone" {
			continue
		}
		there = append(there, jobs.Member{Name: m.Name, Peer: m.ID, Life: m.Life, Here: m.State == "alive" || m.State == "suspect" || m.State == "joining"})
		for _, u := range m.Unheard {
			if n := names[u]; n != "" {
				hard[n]++
			} else if u == group.Peer(s.name) {
				hard[s.name]++
			}
		}
	}
	there = append(there, jobs.Member{Name: s.name, Peer: group.Peer(s.name), Life: s.life, Here: true})
	s.post(func() { s.there, s.hard = there, hard })
	s.loop.After(250*time.Millisecond, s.look)
}

// open opens the group, or says why it can't.
func (s *Shell) open() {
	s.group, s.raft, s.broken = nil, nil, ""
	seed := uint64(time.Now().UnixNano())
	machines := map[byte]group.Machine{ownership.Machine: s.table}
	switch {
	case s.o.Dir == "" && s.voter:
		q, err := ownership.NewQuorum(ownership.QuorumConfig{Group: s.o.Group, Name: s.name, Voters: s.o.Voters, Seed: seed, Clock: time.Now().UnixMilli()/10 - epochBegan}, machines, groupSide{s})
		if err != nil {
			s.broken = err.Error()
		} else {
			s.group = q
		}
	case s.o.Dir != "":
		c, err := s.openDisk(seed, machines)
		if err != nil {
			s.fail(err)
		} else {
			s.raft, s.group = c, c
		}
	}
	if s.core != nil {
		s.core.SetGroup(s.group)
		return
	}
	var err error
	s.core, err = ownership.New(ownership.Config{Name: s.name, Life: s.life, Voters: s.o.Voters, Jobs: s.names, Wall: func() int64 { return time.Now().UnixMilli() }}, s.group, s.table, s.fence, coreSide{s})
	if err != nil {
		panic(err) // the section has checked it
	}
}

// epochBegan is 2020 in hundredths of a second: epochs are counted from there, so that tokens have room.
const epochBegan = 157783680000

func (s *Shell) openDisk(seed uint64, machines map[byte]group.Machine) (Voter, *group.StoreError) {
	if OpenVoter == nil {
		return nil, &group.StoreError{Err: errNoVoters}
	}
	return OpenVoter(VoterOptions{Group: s.o.Group, Name: s.name, Voters: s.o.Voters, Dir: s.o.Dir, Most: int64(s.o.MostKB) << 10, Seed: seed, Machines: machines, Effects: groupSide{s}})
}

// fail stops this voter's part. A store without room is tried again; any other waits for a restart.
func (s *Shell) fail(err *group.StoreError) {
	s.broken = err.Error()
	byItself := err.ByItself
	s.again = time.Time{}
	if byItself {
		s.again = time.Now().Add(storeWait)
	}
	if err.InUse {
		s.again = time.Now().Add(inUseWait) // by the process that this one replaces
		slog.Info("store_waits", "reason", err)
		return
	}
	slog.Error("store_failed", "reason", err, "needs_kb", s.o.MostKB, "tried_again", byItself)
}

func (s *Shell) turn() {
	now := s.now()
	if s.raft != nil {
		if err := s.raft.Stopped(); err != nil {
			s.raft.Close()
			s.raft, s.group = nil, nil
			s.core.SetGroup(nil)
			s.fail(err)
		}
	}
	if s.broken != "" && !s.again.IsZero() && time.Now().After(s.again) {
		s.again = time.Time{}
		if s.open(); s.broken == "" {
			slog.Info("store_again", "dir", s.o.Dir)
		}
	}
	s.core.Able(s.broken == "")
	s.core.Hard(s.hard)
	s.core.Tick(now)
	s.box.Tick(now)
	for _, n := range s.names {
		if token, owns := s.owned[n]; owns && s.core.Holds(now, n, token) {
			s.guard(n, token, func(j jobs.Job) { j.Step(s.now()) })
		}
	}
}

// guard runs a job's code: one that panics is given back, and the others go on.
func (s *Shell) guard(name string, token uint64, f func(j jobs.Job)) {
	defer func() {
		if p := recover(); p != nil {
			s.counts.Panics++
			slog.Error("job_failed", "job", name, "reason", p)
			if s.owned[name] == token && token != 0 {
				s.core.Failed(s.now(), name, token, fmt.Sprint(p))
			}
		}
	}()
	if j := s.handles[name]; j != nil {
		f(j)
	}
}

// May tells how many of so many clients may be sent away now; then hears.
func (s *Shell) May(want int, then func(n int)) {
	if s == nil || s.pace == nil {
		then(want)
		return
	}
	s.post(func() {
		n := s.pace.May(s.now(), want)
		s.loop.Post(func() { then(n) })
	})
}

// Paced tells whether moves are bounded.
func (s *Shell) Paced() bool { return s != nil && s.pace != nil }

func (s *Shell) askPermits(tag uint64, body []byte) {
	s.tags++
	s.paceTags[s.tags] = tag
	for t := range s.paceTags {
		if t+64 < s.tags {
			delete(s.paceTags, t)
		}
	}
	s.core.Ask(s.now(), "moves", s.tags, body)
}

// Leave gives all jobs and the lead back, and calls done once others have them or a short time has passed.
func (s *Shell) Leave(done func()) {
	if s == nil {
		done()
		return
	}
	if s.leaving != nil || s.left {
		// A process that has handed over is ended next, and must not cut off what it is about to say.
		if s.left {
			done()
		} else {
			s.leaving = append(s.leaving, done)
		}
		return
	}
	s.leaving = append(s.leaving, done)
	end := func() {
		if !s.left {
			s.left = true
			s.Yield()
			for _, f := range s.leaving {
				f()
			}
		}
	}
	s.loop.After(leaveWithin, end)
	s.post(func() {
		s.core.Leave(s.now(), "its process ends in order")
		var wait func()
		wait = func() {
			if s.core.Left() {
				s.core.Yield(s.now())
				time.Sleep(5 * time.Millisecond) // what has just been said is on its way
				s.loop.Post(end)
				return
			}
			select {
			case <-s.quit:
			case f := <-s.in:
				f()
				go s.post(wait)
			case <-time.After(5 * time.Millisecond):
				s.core.Tick(s.now())
				go s.post(wait)
			}
		}
		wait()
	})
}

// Yield ends this process's part, and lets go of the store.
func (s *Shell) Yield() {
	if s == nil {
		return
	}
	s.once.Do(func() {
		s.members.Attach(whose, nil)
		if s.door != nil {
			s.door.close()
		}
		close(s.quit)
		select {
		case <-s.over:
		case <-time.After(300 * time.Millisecond): // a disk that hangs must not hold the process
		}
	})
}

type boxSide struct{ s *Shell }

func (b boxSide) Datagram(peer uint32, data []byte) {
	d := append([]byte(nil), data...)
	b.s.loop.Post(func() { b.s.members.Carry(peer, whose, d) })
}

func (b boxSide) Message(peer uint32, data []byte) {
	if len(data) == 0 {
		return
	}
	s := b.s
	var err error
	switch data[0] {
	case forGroup:
		if s.group != nil {
			err = s.group.Receive(s.now(), peer, data[1:])
		}
	case forCore:
		err = s.core.Receive(s.now(), peer, data[1:])
	default:
		err = errors.New("a message for nobody")
	}
	if err != nil {
		if s.counts.Malformed++; s.counts.Malformed == 1 {
			slog.Warn("owners_refused", "peer", fmt.Sprintf("%08x", peer), "reason", err)
		}
	}
}

// The first byte of a message says for whom it is.
const (
	forGroup = 1
	forCore  = 2
)

func (s *Shell) send(to uint32, whom byte, msg []byte) {
	if err := s.box.Send(s.now(), to, append([]byte{whom}, msg...)); err != nil {
		slog.Error("owners_message", "bytes", len(msg), "reason", err)
	}
}

type groupSide struct{ s *Shell }

func (g groupSide) Send(peer uint32, msg []byte) { g.s.send(peer, forGroup, msg) }
func (g groupSide) Applied(_ byte, tag uint64, result []byte) {
	if g.s.core != nil {
		g.s.core.Applied(g.s.now(), tag, result)
	}
}
func (g groupSide) Confirmed(tag uint64) {
	if g.s.core != nil {
		g.s.core.Confirmed(g.s.now(), tag)
	}
}
func (g groupSide) Tell(event string, args ...any) { slog.Info(event, args...) }

type coreSide struct{ s *Shell }

func (c coreSide) Send(peer uint32, msg []byte) { c.s.send(peer, forCore, msg) }

func (c coreSide) Start(job string, token, number uint64, left []byte) (err error) {
	s := c.s
	j := s.handles[job]
	if j == nil {
		return fmt.Errorf("this process knows no job %q", job)
	}
	defer func() {
		if p := recover(); p != nil {
			s.counts.Panics++
			err = fmt.Errorf("%v", p)
		}
	}()
	if err := j.Start(s.now(), ownerSide{s, job, token}, token, number, left); err != nil {
		return err
	}
	s.owned[job] = token
	slog.Info("owns", "job", job, "token", token)
	return nil
}

func (c coreSide) Stop(job string, token uint64, why string) (number uint64, left []byte) {
	delete(c.s.owned, job)
	slog.Info("owns_no_more", "job", job, "token", token, "reason", why)
	c.s.guard(job, 0, func(j jobs.Job) { number, left = j.Stop() })
	return number, left
}

func (c coreSide) Effect(job string, m ownership.Mark, body []byte) {
	c.s.counts.Taken++
	c.s.guard(job, 0, func(j jobs.Job) { j.Effect(c.s.now(), m, body) })
}

func (c coreSide) Acked(peer uint32, job string, m ownership.Mark, v ownership.Verdict, highest ownership.Mark) {
	if v == ownership.Old {
		slog.Warn("late_owner", "job", job, "token", m.Token, "seen", highest.Token, "by", fmt.Sprintf("%08x", peer))
	}
	if token, owns := c.s.owned[job]; owns {
		c.s.guard(job, token, func(j jobs.Job) { j.Acked(c.s.now(), peer, m, v) })
	}
}

func (c coreSide) Noted(job string, token, number uint64, ok bool) {
	if c.s.owned[job] == token {
		c.s.guard(job, token, func(j jobs.Job) { j.Noted(c.s.now(), number, ok) })
	}
}

func (c coreSide) Asked(peer uint32, job string, tag uint64, body []byte) {
	if token, owns := c.s.owned[job]; owns {
		c.s.guard(job, token, func(j jobs.Job) { j.Asked(c.s.now(), peer, tag, body) })
	}
}

func (c coreSide) Answered(tag uint64, body []byte) {
	s := c.s
	if t, permits := s.paceTags[tag]; permits {
		delete(s.paceTags, tag)
		s.pace.Answered(s.now(), t, body)
		return
	}
	if ch := s.asks[tag]; ch != nil {
		delete(s.asks, tag)
		ch <- string(body)
	}
}

func (c coreSide) Tell(event string, args ...any) {
	if event == "effect_refused" {
		c.s.counts.Refused++
		slog.Warn(event, args...)
		return
	}
	slog.Info(event, args...)
}

// ownerSide is what a job may do while it is owned here.
type ownerSide struct {
	s     *Shell
	job   string
	token uint64
}

func (o ownerSide) Do(to uint32, number uint64, body []byte) {
	now := o.s.now()
	if !o.s.core.Holds(now, o.job, o.token) {
		return
	}
	o.s.counts.Sent++
	o.s.core.Do(now, to, o.job, ownership.Mark{Token: o.token, Number: number}, body)
}

// DoAnyway is Do without another look at the lease.
func (o ownerSide) DoAnyway(to uint32, number uint64, body []byte) {
	o.s.core.Do(o.s.now(), to, o.job, ownership.Mark{Token: o.token, Number: number}, body)
}

func (o ownerSide) Note(number uint64, left []byte) error {
	return o.s.core.Note(o.s.now(), o.job, o.token, number, left)
}

func (o ownerSide) Answer(to uint32, tag uint64, body []byte) {
	o.s.core.Answer(o.s.now(), to, tag, body)
}

func (o ownerSide) Members() []jobs.Member { return o.s.there }
