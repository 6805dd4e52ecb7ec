// Package owneragent is the shell round ownership: it owns the section of the operators' file, the goroutine on which the group, its store and the
// jobs run beside the loop, their datagrams, and the socket at which operators ask. What it decides nothing of is ownership's, consensus's
// and jobs'.
package owneragent

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/fragment"
	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/ownership"
	"croftlock/internal/fleet/quota"
	"croftlock/internal/fleet/rules"
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

// Agent is one process's part at work. Its exported methods belong to the loop, the rest to its own goroutine.
type Agent struct {
	o       Options
	name    string
	life    uint64
	loop    *netio.Loop
	members *memberagent.Agent
	in      chan func()
	quit    chan struct{}
	over    chan struct{}
	once    sync.Once
	began   time.Time
	door    *door
	apply   func(out []string)
	leaving []func() // to be called once this process has left
	left    bool

	box       *fragment.Transport
	table     *ownership.Table
	fence     *ownership.Fence
	core      *ownership.Core
	raft      Voter
	group     ownership.Group
	voter     bool
	broken    string // why the store can't be used
	again     time.Time
	handles   map[string]jobs.Job
	owned     map[string]uint64
	names     []string
	there     []jobs.Member
	hard      map[string]int
	pace      *jobs.MigrationPacer
	paceTags  map[uint64]uint64
	gate      *rules.Enforcer
	ruled     *rules.Member
	ruleTags  map[uint64]uint64
	quota     *quota.Client
	purseTags map[uint64]uint64
	quotaAt   int64
	swapped   func() // called on the loop once this process acts by another version
	asks      map[uint64]chan string
	tags      uint64
	counts    Counts
}

// Counts are what a process has done and met.
type Counts struct {
	Taken     int `json:"Taken"`
	Again     int `json:"Again"`
	Refused   int `json:"Refused"`
	Sent      int `json:"Sent"`
	Panics    int `json:"Panics"`
	Malformed int `json:"Malformed"`
}

// Start begins. apply carries out, on the loop, which hosts are out for the whole fleet.
func Start(l *netio.Loop, o Options, name string, m *memberagent.Agent, apply func(out []string)) (*Agent, error) {
	if m == nil {
		return nil, errors.New("owners: membership is off")
	}
	s := &Agent{o: o, name: name, life: uint64(time.Now().UnixMilli()), loop: l, members: m, in: make(chan func(), backlog), quit: make(chan struct{}), over: make(chan struct{}),
		began: time.Now(), apply: apply, table: ownership.NewTable(), fence: &ownership.Fence{}, handles: map[string]jobs.Job{}, owned: map[string]uint64{},
		asks: map[uint64]chan string{}, paceTags: map[uint64]uint64{}, ruleTags: map[uint64]uint64{}, purseTags: map[uint64]uint64{}, voter: slices.Contains(o.Voters, name)}
	s.fence.Forget = Planted == "forget"
	s.box = fragment.New(m.Room(), uint32(s.life), boxSide{s})
	if o.Hosts {
		s.handles["hosts"] = &jobs.SuspendedHosts{Apply: func(out []string) { l.Post(func() { s.apply(out) }) }}
	}
	base := max(1, m.Base())
	if o.Pace > 0 {
		s.handles["moves"] = &jobs.MigrationPermits{Rate: float64(o.Pace), Base: base}
		s.pace = &jobs.MigrationPacer{Rate: float64(o.Pace), Base: base, Ask: s.askPermits}
	}
	for i := range o.Drill {
		name := fmt.Sprintf("drill%03d", i)
		s.handles[name] = &jobs.Drill{Every: int64(time.Duration(max(20, o.Each)) * time.Millisecond), Taken: func(m ownership.FencingToken) {
			slog.Debug("drill_taken", "job", name, "token", m.Token, "number", m.Sequence)
		}}
	}
	o.Rules.begin(s)
	s.beginLimits(base)
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

func (s *Agent) now() int64 { return int64(time.Since(s.began)) + 1 }

// post has something done on the own goroutine; what it is late for is dropped, as a datagram may be.
func (s *Agent) post(f func()) {
	select {
	case s.in <- f:
	default:
	}
}

// run is the goroutine beside the loop: it may wait for a disk.
func (s *Agent) run() {
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
func (s *Agent) look() {
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
		there = append(there, jobs.Member{Name: m.Name, Peer: m.ID, Incarnation: m.Life, Present: m.State == "alive" || m.State == "suspect" || m.State == "joining"})
		for _, u := range m.Unheard {
			if n := names[u]; n != "" {
				hard[n]++
			} else if u == group.Peer(s.name) {
				hard[s.name]++
			}
		}
	}
	there = append(there, jobs.Member{Name: s.name, Peer: group.Peer(s.name), Incarnation: s.life, Present: true})
	s.post(func() { s.there, s.hard = there, hard })
	s.loop.After(250*time.Millisecond, s.look)
}

func (s *Agent) turn() {
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
			slog.Info("store_reopened", "dir", s.o.Dir)
		}
	}
	s.core.SetAble(s.broken == "")
	s.core.SetUnreachable(s.hard)
	s.core.Tick(now)
	s.box.Tick(now)
	if s.ruled != nil {
		s.ruled.Step(now)
	}
	if s.quota != nil && now-s.quotaAt >= int64(lapse)/4 {
		s.quotaAt = now
		s.quota.Step()
	}
	for _, n := range s.names {
		if token, owns := s.owned[n]; owns && s.core.Holds(now, n, token) {
			s.guard(n, token, func(j jobs.Job) { j.Step(s.now()) })
		}
	}
}

// guard runs a job's code: one that panics is given back, and the others go on.
func (s *Agent) guard(name string, token uint64, f func(j jobs.Job)) {
	defer func() {
		if p := recover(); p != nil {
			s.counts.Panics++
			slog.Error("job_failed", "job", name, "reason", p)
			if s.owned[name] == token && token != 0 {
				s.core.JobFailed(s.now(), name, token, fmt.Sprint(p))
			}
		}
	}()
	if j := s.handles[name]; j != nil {
		f(j)
	}
}
