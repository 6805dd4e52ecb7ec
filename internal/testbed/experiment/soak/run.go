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
	Seed            uint64
	LongestDeadline time.Duration
	Processes       int // processes of all proxies
	Requests        int
	Answers         map[Answer]int
	Ends            map[End]int
	Stopped         int           // processes that got SIGTERM
	Forced          int           // of these, killed at the end of their time
	FailedCalls     int           // system calls that were made to fail
	Stall           time.Duration // the longest for which this machine kept a process from running
	Violations      []Violation
	Errors          []error
	Faults          []string // what was played, with when
}

// String is one line of name=value.
func (r *Result) String() string {
	return fmt.Sprintf("seed=%d longest=%v processes=%d requests=%d answers=%v ends=%v stopped=%d forced=%d failed_calls=%d stall=%v violations=%d errors=%d",
		r.Seed, r.LongestDeadline, r.Processes, r.Requests, r.Answers, r.Ends, r.Stopped, r.Forced, r.FailedCalls, r.Stall.Round(time.Millisecond), len(r.Violations), len(r.Errors))
}

// Play runs a fleet under faults that overlap, and judges what was seen. The error says that the fleet did not start.
func Play(env *experiment.Env, opt Options) (*Result, error) {
	f, err := NewFleet(env, opt)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return nil, err
	}
	r := &Result{Seed: opt.Seed, LongestDeadline: f.longestDeadline(), Answers: map[Answer]int{}, Ends: map[End]int{}}
	f.playAll(r)
	f.stopAll()
	f.judge(r)
	return r, nil
}

// playAll has clients come and faults happen for the play's time, and waits for their end.
func (f *Fleet) playAll(r *Result) {
	var mu sync.Mutex
	note := func(s string) {
		mu.Lock()
		defer mu.Unlock()
		r.Faults = append(r.Faults, s)
	}
	until := time.Now().Add(f.options.Length)
	f.workers.Add(1 + len(f.nodes))
	go f.playFaults(until, rand.New(rand.NewPCG(f.options.Seed, 4)), note)
	for i, n := range f.nodes {
		go f.playClients(n, until, rand.New(rand.NewPCG(f.options.Seed, uint64(100+i))))
	}
	for _, s := range f.shims {
		f.workers.Add(1)
		go func() {
			defer f.workers.Done()
			s.FailCalls(until)
		}()
	}
	f.workers.Wait()
}

// stopAll ends all processes in order, at once.
func (f *Fleet) stopAll() {
	var all sync.WaitGroup
	for _, n := range f.nodes {
		if l := n.Current(); l != nil && !l.hasEnded() {
			all.Add(1)
			go func() {
				defer all.Done()
				l.stop(f.longestDeadline(), f.stalls.value())
			}()
		}
	}
	all.Wait()
	time.Sleep(lostAfter) // what was written is on its way
}

// keepLogs writes what each process has logged, and what was played.
func (f *Fleet) keepLogs(r *Result) error {
	dir := filepath.Join(f.options.Logs, fmt.Sprint("seed", r.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	write := func(name string, lines []string) error {
		return os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")+"\n"), 0o644)
	}
	for _, n := range f.nodes {
		for _, l := range n.incarnations {
			if l.proc == nil {
				continue
			}
			head := fmt.Sprintf("%s began %s", l, l.startedAt.UTC().Format("15:04:05.000000"))
			if err := write(l.name+".log", append([]string{head}, l.proc.Log("")...)); err != nil {
				return err
			}
		}
	}
	return write("faults", r.Faults)
}

// judge puts what was seen before the oracle.
func (f *Fleet) judge(r *Result) {
	r.Stall = f.stalls.value()
	o := &oracle{record: f.record, slack: r.Stall}
	f.mu.Lock()
	sessions, errs := f.sessions, f.errors
	f.mu.Unlock()
	for _, a := range sessions {
		o.checkRequest(a)
		out := a.Outcome()
		r.Answers[out.Answer]++
		r.Ends[out.End]++
	}
	for _, n := range f.nodes {
		for _, l := range n.incarnations {
			if l.proc != nil { // one that did not start is among the errors
				o.judgeProcess(l, r)
			}
		}
	}
	for _, s := range f.shims {
		r.FailedCalls += s.Failed()
	}
	sort.Strings(r.Faults)
	if f.options.Logs != "" {
		f.recordError(f.keepLogs(r))
	}
	r.Requests, r.Violations, r.Errors = len(sessions), o.violations, errs
}

// judgeProcess counts a process and looks how it ended.
func (o *oracle) judgeProcess(l *incarnation, r *Result) {
	r.Processes++
	if !l.stoppedAt.IsZero() {
		r.Stopped++
	}
	if l.killedAtLimit {
		r.Forced++
		o.violate("kill", "%s did not end by itself; %s", l.name, l)
	}
	o.checkProcess(l)
}
