package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"croftlock/internal/testbed/experiment"
)

// Result is what one play showed.
type Result struct {
	Seed       uint64
	Longest    time.Duration
	Processes  int // lives of all proxies
	Requests   int
	Answers    map[Answer]int
	Ends       map[End]int
	Stopped    int // processes that were told to end
	Forced     int // of these, killed at the end of their time
	Calls      int // system calls that were made to fail
	Stall      time.Duration
	Violations []Violation
	Errs       []error
	Faults     []string // what was played, with when
}

func (r *Result) String() string {
	return fmt.Sprintf("seed=%d longest=%v processes=%d requests=%d answers=%v ends=%v stopped=%d forced=%d failed_calls=%d stall=%v violations=%d errors=%d",
		r.Seed, r.Longest, r.Processes, r.Requests, r.Answers, r.Ends, r.Stopped, r.Forced, r.Calls, r.Stall.Round(time.Millisecond), len(r.Violations), len(r.Errs))
}

// Play runs a fleet under faults that overlap, and judges what was seen.
func Play(env *experiment.Env, opt Options) (*Result, error) {
	f, err := NewFleet(env, opt)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return nil, err
	}
	r := &Result{Seed: opt.Seed, Longest: f.longest(), Answers: map[Answer]int{}, Ends: map[End]int{}}
	var saying sync.Mutex
	say := func(s string) {
		saying.Lock()
		defer saying.Unlock()
		r.Faults = append(r.Faults, s)
	}
	until := time.Now().Add(opt.Length)
	f.playing.Add(1 + len(f.nodes))
	go f.trouble(until, rand.New(rand.NewPCG(opt.Seed, 4)), say)
	for i, n := range f.nodes {
		go f.load(n, until, rand.New(rand.NewPCG(opt.Seed, uint64(100+i))))
	}
	if opt.Calls {
		for _, s := range f.shims {
			f.playing.Add(1)
			go func() {
				defer f.playing.Done()
				s.Trouble(until)
			}()
		}
	}
	f.playing.Wait()
	f.stopAll()
	f.judge(r)
	return r, nil
}

// stopAll ends all processes in order, at once.
func (f *Fleet) stopAll() {
	var all sync.WaitGroup
	for _, n := range f.nodes {
		if l := n.Life(); l != nil && !l.over() {
			all.Add(1)
			go func() {
				defer all.Done()
				l.stop(f.longest(), f.slack.value())
			}()
		}
	}
	all.Wait()
	time.Sleep(lostAfter) // what was written is on its way
}

// keepLogs writes what each process has logged, and what was played.
func (f *Fleet) keepLogs(r *Result) error {
	dir := filepath.Join(f.opt.Logs, fmt.Sprint("seed", r.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	write := func(name string, lines []string) error {
		return os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")+"\n"), 0o644)
	}
	for _, n := range f.nodes {
		for _, l := range n.all {
			if l.proc == nil {
				continue
			}
			head := fmt.Sprintf("%s began %s", l, l.began.UTC().Format("15:04:05.000000"))
			if err := write(l.name+".log", append([]string{head}, l.proc.Log("")...)); err != nil {
				return err
			}
		}
	}
	return write("faults", r.Faults)
}

// judge puts what was seen before the oracle.
func (f *Fleet) judge(r *Result) {
	r.Stall = f.slack.value()
	o := &oracle{record: f.record, slack: r.Stall}
	f.mu.Lock()
	sessions, errs := f.sessions, f.errs
	f.mu.Unlock()
	for _, a := range sessions {
		o.judge(a)
		out := a.Outcome()
		r.Answers[out.Answer]++
		r.Ends[out.End]++
	}
	for _, n := range f.nodes {
		for _, l := range n.all {
			if l.proc == nil {
				continue // it did not start, which is told
			}
			r.Processes++
			if !l.stopped.IsZero() {
				r.Stopped++
			}
			if l.forced {
				r.Forced++
				o.broke("kill", "%s did not end by itself; %s", l.name, l)
			}
			o.process(l)
		}
	}
	for _, s := range f.shims {
		r.Calls += s.Failed()
	}
	sort.Strings(r.Faults)
	if f.opt.Logs != "" {
		f.fail(f.keepLogs(r))
	}
	r.Requests, r.Violations, r.Errs = len(sessions), o.out, errs
}
