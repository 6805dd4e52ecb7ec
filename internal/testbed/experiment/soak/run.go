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

// Result is the outcome of one run.
type Result struct {
	Seed               uint64
	LongestDeadline    time.Duration
	Processes          int // processes started, of all proxies
	Requests           int
	UsedIDs            int // requests of bad clients with the ID of an open request
	Answers            map[Answer]int
	Ends               map[End]int
	Stopped            int           // processes that were sent SIGTERM
	KilledAfterTimeout int           // of these, processes that did not end in time and were sent SIGKILL
	FailedCalls        int           // system calls that the shims made fail
	LongestStall       time.Duration // longest time for which the machine did not run this process
	Violations         []Violation
	Errors             []error  // of the run itself, such as a process that did not start
	Faults             []string // injected faults with their times, sorted
}

// String returns one line of name=value pairs.
func (r *Result) String() string {
	return fmt.Sprintf("seed=%d longest=%v processes=%d requests=%d used_ids=%d answers=%v ends=%v stopped=%d forced=%d failed_calls=%d stall=%v violations=%d errors=%d",
		r.Seed, r.LongestDeadline, r.Processes, r.Requests, r.UsedIDs, r.Answers, r.Ends, r.Stopped, r.KilledAfterTimeout, r.FailedCalls, r.LongestStall.Round(time.Millisecond), len(r.Violations), len(r.Errors))
}

// Run runs a fleet under overlapping faults and checks the rules. It returns an error only if the
// fleet does not start.
func Run(env *experiment.Env, opt Options) (*Result, error) {
	f, err := NewFleet(env, opt)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return nil, err
	}
	r := &Result{Seed: opt.Seed, LongestDeadline: f.longestDeadline(), Answers: map[Answer]int{}, Ends: map[End]int{}}
	f.runWorkload(r)
	f.stopAll()
	f.check(r)
	return r, nil
}

// runWorkload runs clients and faults for the length of the run and waits until they have ended.
func (f *Fleet) runWorkload(r *Result) {
	var mu sync.Mutex
	recordFault := func(fault string) {
		mu.Lock()
		defer mu.Unlock()
		r.Faults = append(r.Faults, fault)
	}
	until := time.Now().Add(f.options.Length)
	f.workers.Add(1 + len(f.nodes))
	go f.injectFaults(until, rand.New(rand.NewPCG(f.options.Seed, 4)), recordFault)
	for i, n := range f.nodes {
		go f.runClients(n, until, rand.New(rand.NewPCG(f.options.Seed, uint64(100+i))))
	}
	for _, s := range f.shims {
		f.workers.Add(1)
		go func() {
			defer f.workers.Done()
			s.InjectFailures(until)
		}()
	}
	f.workers.Wait()
}

// stopAll shuts down the current processes of all proxies at the same time.
func (f *Fleet) stopAll() {
	var stops sync.WaitGroup
	for _, n := range f.nodes {
		if process := n.Current(); process != nil && !process.hasEnded() {
			stops.Add(1)
			go func() {
				defer stops.Done()
				process.stop(f.longestDeadline(), f.stallMeter.longestStall())
			}()
		}
	}
	stops.Wait()
	time.Sleep(answerGrace) // for lines that the processes have written and that have not arrived yet
}

// saveLogs writes each process's log and the injected faults to a directory of this seed under
// LogDir.
func (f *Fleet) saveLogs(r *Result) error {
	dir := filepath.Join(f.options.LogDir, fmt.Sprint("seed", r.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	write := func(name string, lines []string) error {
		return os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")+"\n"), 0o644)
	}
	for _, n := range f.nodes {
		for _, process := range n.processes {
			if process.proc == nil {
				continue
			}
			head := fmt.Sprintf("%s started %s", process, process.startedAt.UTC().Format("15:04:05.000000"))
			if err := write(process.name+".log", append([]string{head}, process.proc.LogLines("")...)); err != nil {
				return err
			}
		}
	}
	return write("faults", r.Faults)
}

// check lets the oracle check all requests and processes and fills in the result.
func (f *Fleet) check(r *Result) {
	r.LongestStall = f.stallMeter.longestStall()
	o := &oracle{record: f.record, slack: r.LongestStall}
	f.mu.Lock()
	requests, usedIDs, errs := f.requests, f.usedIDs, f.errors
	f.mu.Unlock()
	for _, u := range usedIDs {
		u.owner.idFreed = o.checkUsedID(u) || u.owner.idFreed
	}
	r.UsedIDs = len(usedIDs)
	for _, request := range requests {
		o.checkRequest(request)
		outcome := request.Outcome()
		r.Answers[outcome.Answer]++
		r.Ends[outcome.End]++
	}
	for _, n := range f.nodes {
		for _, process := range n.processes {
			if process.proc != nil { // nil if the process did not start, which is among f.errors
				r.countProcess(process)
				o.checkProcess(process)
			}
		}
	}
	for _, s := range f.shims {
		r.FailedCalls += s.FailedCalls()
	}
	sort.Strings(r.Faults)
	if f.options.LogDir != "" {
		f.recordError(f.saveLogs(r))
	}
	r.Requests, r.Violations, r.Errors = len(requests), o.violations, errs
}

// countProcess adds a started process to the result's counts.
func (r *Result) countProcess(p *proxyProcess) {
	r.Processes++
	if !p.stoppedAt.IsZero() {
		r.Stopped++
	}
	if p.killedAfterTimeout {
		r.KilledAfterTimeout++
	}
}
