// Package virtual plays a fleet's owners in virtual time: the program's own ownership, consensus and leases, with processes that sleep and
// die, links that lose, double, delay and cut, disks that fail and clocks that run apart. It owns the plans of faults and the checks of
// what must hold at every step. The same seed plays the same run.
package virtual

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"

	"croftlock/internal/consensus"
	"croftlock/internal/ownership"
)

// Time is virtual nanoseconds.
type Time = int64

const (
	Ms  = Time(1e6)
	Sec = Time(1e9)

	step = 10 * Ms
)

// Config is a run.
type Config struct {
	Processes, Voters, Jobs int
	Disks                   bool
	Seed                    uint64
	Lasts                   Time // of the faults; 0: 30 s
	Calm                    bool // no faults at all
	// Planted faults.
	SkipSync, Eager, FromAnswer, Forget bool
}

// Fault is one in a plan.
type Fault struct {
	Kind    string
	At, For Time
	A, B    int
	Part    float64
}

func (f Fault) String() string {
	return fmt.Sprintf("(%s (at %d) (for %d) (a %d) (b %d) (part %.2f))", f.Kind, f.At/Ms, f.For/Ms, f.A, f.B, f.Part)
}

// Kinds are the faults that a plan may hold.
var Kinds = []string{"pause", "kill", "all-killed", "cut", "one-way", "deaf", "mute", "halves", "loss", "held-back", "full", "copy-back", "clock", "leave"}

// Plan draws one.
func Plan(rng *rand.Rand, c Config) (plan []Fault) {
	n := 1 + rng.IntN(6)
	for range n {
		f := Fault{Kind: Kinds[rng.IntN(len(Kinds))], At: rng.Int64N(c.Lasts), For: 100*Ms + rng.Int64N(8*Sec), A: rng.IntN(c.Processes), B: rng.IntN(c.Processes), Part: rng.Float64() * 0.4}
		if f.Kind == "copy-back" && !c.Disks || f.Kind == "full" && !c.Disks || f.A == f.B {
			f.Kind = "pause"
		}
		if rng.IntN(6) == 0 {
			f.For *= 4
		}
		plan = append(plan, f)
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

type mail struct {
	from, to int
	group    bool
	data     []byte
	at       Time
	n        int
}

type process struct {
	name   string
	life   uint64
	up     bool
	core   *ownership.Core
	group  ownership.Group
	raft   *consensus.Core
	table  *ownership.Table
	fence  *ownership.Fence
	disk   *consensus.Memory
	copied *consensus.Saved
	paused Time // until then
	tickAt Time // true time
	offset Time
	rate   float64
	wall   Time // off by
	queue  []mail
	acts   []func() // checked before the process slept, done after
	jobs   map[string]*job
	taken  map[string]ownership.Mark // since this receiver began, as the checks see it
}

type job struct {
	token, number uint64
	stepAt        Time // local
}

// Run is one fleet.
type Run struct {
	cfg     Config
	rng     *rand.Rand
	now     Time
	ps      []*process
	peers   map[uint32]int
	mails   []mail
	n       int
	cut     [][]int
	loss    float64
	holds   []Time // messages of a process are held back until then
	plan    []Fault
	ends    []Fault
	owners  map[string]string // by job and token
	top     map[string]uint64 // highest token begun
	acked   map[string]uint64 // highest number noted for sure
	damaged map[int]bool
	broken  []string
	// What was done, for the checks' own sake: a run in which nothing happens shows nothing.
	Effects, Refused, Starts, Notes, Leads, Unsure int
	// Gaps are how long jobs were without an owner, once they had one.
	Gaps        []Time
	ownedAt     map[string]Time
	Sent, Bytes int
}

// ErrBroken is what a check found.
var ErrBroken = errors.New("a check failed")

// New makes a fleet.
func New(c Config) *Run {
	if c.Lasts <= 0 {
		c.Lasts = 30 * Sec
	}
	r := &Run{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 77)), peers: map[uint32]int{}, owners: map[string]string{}, top: map[string]uint64{}, acked: map[string]uint64{},
		holds: make([]Time, c.Processes), ownedAt: map[string]Time{}}
	for i := range c.Processes {
		p := &process{name: fmt.Sprintf("p%d", i), disk: &consensus.Memory{SkipSync: c.SkipSync}, rate: 0.99 + 0.02*r.rng.Float64(), offset: r.rng.Int64N(1000 * Sec)}
		r.peers[consensus.Peer(p.name)] = i
		r.ps = append(r.ps, p)
		r.cut = append(r.cut, make([]int, c.Processes))
	}
	if !c.Calm {
		r.plan = Plan(r.rng, c)
	}
	for i := range r.ps {
		r.start(i)
	}
	return r
}

func (r *Run) local(p *process) Time { return p.offset + Time(float64(r.now)*p.rate) }

func (r *Run) fail(format string, args ...any) {
	if len(r.broken) < 5 {
		r.broken = append(r.broken, fmt.Sprintf("at %d ms: ", r.now/Ms)+fmt.Sprintf(format, args...))
	}
}

type groupSide struct {
	r *Run
	p int
}

func (s groupSide) Send(peer uint32, msg []byte) { s.r.send(s.p, peer, true, msg) }
func (s groupSide) Applied(_ byte, tag uint64, result []byte) {
	p := s.r.ps[s.p]
	if p.core != nil {
		p.core.Applied(s.r.local(p), tag, result)
	}
}
func (s groupSide) Confirmed(tag uint64) {
	p := s.r.ps[s.p]
	if p.core != nil {
		p.core.Confirmed(s.r.local(p), tag)
	}
}
func (s groupSide) Tell(event string, args ...any) {
	if event == "group_leads" || event == "quorum_leads" {
		s.r.Leads++
	}
	if event == "quorum_leads" && args[3] == false {
		// It says itself that what was kept may be gone.
		clear(s.r.acked)
		s.r.Unsure++
	}
	Trace(s.r.now, s.r.ps[s.p].name, event, args)
}

// Trace is called with each event; for looking into a run.
var Trace = func(now Time, name, event string, args []any) {}

type side struct {
	r *Run
	p int
}

func (s side) Send(peer uint32, msg []byte) { s.r.send(s.p, peer, false, msg) }

func (s side) Start(name string, token, number uint64, left []byte) error {
	r, p := s.r, s.r.ps[s.p]
	Trace(r.now, p.name, "start", []any{name, token, number})
	key, me := fmt.Sprint(name, " ", token), fmt.Sprint(p.name, " ", p.life)
	if o, taken := r.owners[key]; taken && o != me {
		r.fail("token %d of %s was %s's and is %s's", token, name, o, me)
	}
	r.owners[key] = me
	if token <= r.top[name] {
		r.fail("%s begins %s with token %d, after %d", me, name, token, r.top[name])
	}
	r.top[name] = max(r.top[name], token)
	if number < r.acked[name] {
		r.fail("%s begins %s from note %d, %d was kept for sure", me, name, number, r.acked[name])
	}
	if string(left) != fmt.Sprint(number) && number > 0 {
		r.fail("%s begins %s with %q under number %d", me, name, left, number)
	}
	p.jobs[name] = &job{token: token, number: number, stepAt: r.local(p)}
	r.Starts++
	return nil
}

func (s side) Stop(name string, token uint64, why string) (uint64, []byte) {
	p := s.r.ps[s.p]
	Trace(s.r.now, p.name, "stop", []any{name, token, why})
	j := p.jobs[name]
	delete(p.jobs, name)
	if j == nil || j.token != token {
		s.r.fail("%s stops %s with token %d, which it did not begin", p.name, name, token)
		return 0, nil
	}
	j.number++
	return j.number, []byte(fmt.Sprint(j.number))
}

func (s side) Effect(name string, m ownership.Mark, _ []byte) {
	p := s.r.ps[s.p]
	if m.Before(p.taken[name]) {
		s.r.fail("%s takes %v of %s after %v", p.name, m, name, p.taken[name])
	}
	p.taken[name] = m
	s.r.Effects++
}

func (s side) Acked(_ uint32, _ string, _ ownership.Mark, v ownership.Verdict, _ ownership.Mark) {
	if v == ownership.Old {
		s.r.Refused++
	}
}

func (s side) Noted(name string, token, number uint64, ok bool) {
	p := s.r.ps[s.p]
	if j := p.jobs[name]; j != nil && j.token == token && ok {
		s.r.acked[name] = max(s.r.acked[name], number)
		s.r.Notes++
	}
}
func (s side) Asked(uint32, string, uint64, []byte) {}
func (s side) Answered(uint64, []byte)              {}
func (s side) Tell(event string, args ...any)       { Trace(s.r.now, s.r.ps[s.p].name, event, args) }

// start begins a new life of a process.
func (r *Run) start(i int) {
	p := r.ps[i]
	p.life = uint64(r.now/Ms)<<8 + uint64(i) + 1
	p.up, p.paused, p.queue, p.acts, p.core, p.group, p.raft = true, 0, nil, nil, nil, nil, nil
	p.offset = r.rng.Int64N(1000 * Sec)
	p.table, p.jobs, p.taken = ownership.NewTable(), map[string]*job{}, map[string]ownership.Mark{}
	p.fence = &ownership.Fence{Forget: r.cfg.Forget}
	var voters, jobs []string
	for v := range r.cfg.Voters {
		voters = append(voters, r.ps[v].name)
	}
	for j := range r.cfg.Jobs {
		jobs = append(jobs, fmt.Sprintf("job%d", j))
	}
	if i < r.cfg.Voters {
		machines := map[byte]consensus.Machine{ownership.Machine: p.table}
		seed := r.rng.Uint64()
		if r.cfg.Disks {
			c, err := consensus.Open(consensus.Config{Group: "sim", Name: p.name, Initial: voters, Seed: seed, Election: 6, Every: 40, Keep: 10}, p.disk, machines, groupSide{r, i})
			if err == nil {
				p.raft, p.group = c, c
			}
		} else {
			q, err := ownership.NewQuorum(ownership.QuorumConfig{Group: "sim", Name: p.name, Voters: voters, Seed: seed, Clock: (r.now + p.wall + 100000*Sec) / (10 * Ms),
				Eager: r.cfg.Eager, FromAnswer: r.cfg.FromAnswer}, machines, groupSide{r, i})
			if err != nil {
				panic(err)
			}
			p.group = q
		}
	}
	var err error
	p.core, err = ownership.New(ownership.Config{Name: p.name, Life: p.life, Voters: voters, Jobs: jobs, Wall: func() int64 { return (r.now + p.wall) / Ms },
		FromAnswer: r.cfg.FromAnswer}, p.group, p.table, p.fence, side{r, i})
	if err != nil {
		panic(err)
	}
	p.tickAt = r.now + r.rng.Int64N(50*Ms)
}

func (r *Run) kill(i int, loseDisk bool) {
	p := r.ps[i]
	if !p.up {
		return
	}
	p.up = false
	p.disk.Crash()
	if loseDisk {
		p.disk = &consensus.Memory{SkipSync: r.cfg.SkipSync}
	}
}

func (r *Run) send(from int, peer uint32, group bool, msg []byte) {
	to, ok := r.peers[peer]
	r.Sent++
	r.Bytes += len(msg)
	if !ok || r.cut[from][to] > 0 {
		return
	}
	times := 1
	if r.loss > 0 && r.rng.Float64() < r.loss {
		times = 2
	}
	for range times {
		if r.rng.Float64() < r.loss {
			continue
		}
		at := r.now + Ms + r.rng.Int64N(4*Ms)
		if r.loss > 0 && r.rng.IntN(5) == 0 {
			at += r.rng.Int64N(300 * Ms)
		}
		r.n++
		r.mails = append(r.mails, mail{from, to, group, slices.Clone(msg), max(at, r.holds[from]), r.n})
	}
}

func (r *Run) deliver(m mail) {
	p := r.ps[m.to]
	if !p.up {
		return
	}
	if r.now < p.paused {
		if len(p.queue) < 64 {
			p.queue = append(p.queue, m)
		}
		return
	}
	from, now := consensus.Peer(r.ps[m.from].name), r.local(p)
	if m.group {
		if p.group != nil {
			p.group.Receive(now, from, m.data)
		}
		return
	}
	p.core.Receive(now, from, m.data)
}

// act is a process's turn: its jobs, too.
func (r *Run) act(i int) {
	p := r.ps[i]
	now := r.local(p)
	p.core.Tick(now)
	names := make([]string, 0, len(p.jobs))
	for n := range p.jobs {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		j := p.jobs[n]
		if j == nil || now < j.stepAt || !p.core.Holds(now, n, j.token) {
			continue
		}
		j.stepAt = now + 100*Ms
		r.do(i, n, j)()
	}
}

// do is what follows a check that this process owns a job: an effect at all, and now and then something to be kept.
func (r *Run) do(i int, name string, j *job) func() {
	p := r.ps[i]
	j.number++
	m, life := ownership.Mark{Token: j.token, Number: j.number}, p.life
	return func() {
		if !p.up || p.life != life {
			return
		}
		now := r.local(p)
		for to := range r.ps {
			p.core.Do(now, consensus.Peer(r.ps[to].name), name, m, []byte("x"))
		}
		if m.Number%3 == 0 {
			p.core.Note(now, name, m.Token, m.Number, []byte(fmt.Sprint(m.Number)))
		}
	}
}

func (r *Run) begin(f Fault) {
	Trace(r.now, "", "fault", []any{f})
	p := r.ps[f.A]
	switch f.Kind {
	case "pause":
		if p.up && r.now >= p.paused {
			p.paused = r.now + f.For
			names := make([]string, 0, len(p.jobs))
			for n := range p.jobs {
				names = append(names, n)
			}
			sort.Strings(names)
			for _, n := range names {
				if j := p.jobs[n]; p.core.Holds(r.local(p), n, j.token) {
					p.acts = append(p.acts, r.do(f.A, n, j)) // it has looked at its lease, and now it sleeps
				}
			}
		}
	case "kill":
		r.kill(f.A, f.Part > 0.35 && r.damage(f.A))
	case "all-killed":
		for i := range r.ps {
			r.kill(i, false)
		}
	case "leave":
		if p.up && r.now >= p.paused {
			p.core.Leave(r.local(p), "leaving")
			p.core.Yield(r.local(p))
		}
	case "full":
		p.disk.Fail = errors.New("no space left")
	case "copy-back":
		if r.damage(f.A) {
			s := p.disk.Copy()
			p.copied = &s
		}
	case "clock":
		p.wall += Time((f.Part - 0.2) * 5 * 3600 * float64(Sec))
	case "held-back":
		r.holds[f.A] = r.now + f.For
	default:
		r.links(f, 1)
	}
}

// damage tells whether a voter's disk may be lost or put back: more than a minority's can't be borne, nor is it promised.
func (r *Run) damage(i int) bool {
	if !r.cfg.Disks || i >= r.cfg.Voters {
		return false
	}
	if r.damaged == nil {
		r.damaged = map[int]bool{}
	}
	if !r.damaged[i] && 2*(len(r.damaged)+1) >= r.cfg.Voters {
		return false
	}
	r.damaged[i] = true
	return true
}

func (r *Run) links(f Fault, by int) {
	for i := range r.ps {
		for j := range r.ps {
			hit := false
			switch f.Kind {
			case "cut":
				hit = i == f.A || j == f.A
			case "one-way":
				hit = i == f.A && j == f.B
			case "deaf":
				hit = j == f.A
			case "mute":
				hit = i == f.A
			case "halves":
				hit = (i <= min(f.A, f.B)) != (j <= min(f.A, f.B))
			}
			if hit && i != j {
				r.cut[i][j] += by
			}
		}
	}
	if f.Kind == "loss" {
		if r.loss = 0; by > 0 {
			r.loss = f.Part
		}
	}
}

func (r *Run) end(f Fault) {
	p := r.ps[f.A]
	switch f.Kind {
	case "kill":
		if !p.up {
			r.start(f.A)
		}
	case "all-killed":
		for i, p := range r.ps {
			if !p.up {
				r.start(i)
			}
		}
	case "leave":
		r.kill(f.A, false)
		r.start(f.A)
	case "full":
		p.disk.Fail = nil
		r.kill(f.A, false)
		r.start(f.A)
	case "copy-back":
		if p.copied != nil {
			r.kill(f.A, false)
			p.disk.PutBack(*p.copied)
			p.copied = nil
			r.start(f.A)
		}
	case "pause", "held-back", "clock":
	default:
		r.links(f, -1)
	}
}

// Play runs the faults, then calm time, and gives what the checks found.
func (r *Run) Play() error {
	end := r.cfg.Lasts + 40*Sec
	for _, f := range r.plan {
		end = max(end, f.At+f.For+40*Sec)
	}
	for ; r.now < end && len(r.broken) == 0; r.now += step {
		for len(r.plan) > 0 && r.plan[0].At <= r.now {
			f := r.plan[0]
			r.plan = r.plan[1:]
			r.begin(f)
			r.ends = append(r.ends, f)
		}
		for i := 0; i < len(r.ends); i++ {
			if f := r.ends[i]; f.At+f.For <= r.now {
				r.ends = slices.Delete(r.ends, i, i+1)
				i--
				r.end(f)
			}
		}
		r.mailRound()
		for i, p := range r.ps {
			if !p.up || r.now < p.paused {
				continue
			}
			if p.paused > 0 {
				p.paused = 0
				for _, a := range p.acts {
					a()
				}
				p.acts = nil
				q := p.queue
				p.queue = nil
				for _, m := range q {
					r.deliver(m)
				}
			}
			if r.now >= p.tickAt {
				p.tickAt = r.now + 50*Ms
				r.act(i)
			}
		}
		r.check()
	}
	if len(r.broken) == 0 {
		r.settled()
	}
	if len(r.broken) > 0 {
		return fmt.Errorf("%w: seed %d, %d processes, %d voters, disks %t: %s", ErrBroken, r.cfg.Seed, r.cfg.Processes, r.cfg.Voters, r.cfg.Disks, strings.Join(r.broken, "; "))
	}
	return nil
}

func (r *Run) mailRound() {
	due := r.mails[:0:0]
	kept := r.mails[:0]
	for _, m := range r.mails {
		if m.at <= r.now {
			due = append(due, m)
		} else {
			kept = append(kept, m)
		}
	}
	r.mails = kept
	sort.Slice(due, func(i, j int) bool { return due[i].at < due[j].at || due[i].at == due[j].at && due[i].n < due[j].n })
	for _, m := range due {
		r.deliver(m)
	}
}

// check is what must hold at every step: of processes that are awake, one leads and one owns each job.
func (r *Run) check() {
	holders := map[string]string{}
	leads := ""
	for _, p := range r.ps {
		if !p.up || r.now < p.paused {
			continue
		}
		now := r.local(p)
		if !r.cfg.Disks && p.group != nil {
			if _, ok := p.group.Leading(); ok && now < p.group.(*ownership.Quorum).Until() {
				if leads != "" {
					r.fail("%s and %s both lead", leads, p.name)
				}
				leads = p.name
			}
		}
		for n, j := range p.jobs {
			if p.core.Holds(now, n, j.token) {
				if o := holders[n]; o != "" {
					r.fail("%s and %s both own %s", o, p.name, n)
				}
				holders[n] = p.name
			}
		}
	}
	for i := range r.cfg.Jobs {
		n := fmt.Sprintf("job%d", i)
		if holders[n] != "" {
			if at, had := r.ownedAt[n]; had && r.now-at > step {
				r.Gaps = append(r.Gaps, r.now-at)
			}
			r.ownedAt[n] = r.now
		}
	}
}

// settled is what must hold at the end.
func (r *Run) settled() {
	stale := 0
	for i, p := range r.ps {
		if p.raft != nil {
			if ph, _ := p.raft.Phase(); ph != consensus.Member {
				stale++
			}
		} else if i < r.cfg.Voters && r.cfg.Disks {
			stale++
		}
	}
	if r.cfg.Disks && 2*(r.cfg.Voters-stale) <= r.cfg.Voters {
		return // a majority of voters is lost, and nothing can be decided without operators
	}
	for i := range r.cfg.Jobs {
		n := fmt.Sprintf("job%d", i)
		if at, had := r.ownedAt[n]; !had || r.now-at > 2*Sec {
			r.fail("%s has had no owner since %d ms", n, at/Ms)
		}
	}
}

// Faults is the plan.
func (r *Run) Faults() []Fault { return slices.Clone(r.plan) }
