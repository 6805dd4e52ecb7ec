package experiment

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/testbed/fake"
)

// rulesRig is five processes that agree on rules, under placements, and what came of it.
type rulesRig struct {
	*Rig
	*rulesOutcome
	down     [5]atomic.Bool // processes that are stopped or dead: clients leave them alone
	stopping atomic.Bool    // the workers end
	workers  sync.WaitGroup
	closers  []func()
}

// newRulesRig starts four hosts, their discovery, the processes and, once these agree, clients at each. planted names a fault that the
// processes have, which the experiment has to find; "": none.
func newRulesRig(e *Env, sections, planted string) (g *rulesRig, err error) {
	g = &rulesRig{rulesOutcome: &rulesOutcome{}}
	defer func() {
		if err != nil {
			g.Close()
		}
	}()
	var entries []fake.Entry
	for i := range 4 {
		s, err := fake.NewServer(fmt.Sprint("s", i), "z", nil)
		if err != nil {
			return nil, err
		}
		g.closers = append(g.closers, s.Close)
		entries = append(entries, s.Entry())
	}
	d, err := fake.NewDiscovery(entries...)
	if err != nil {
		return nil, err
	}
	g.closers = append(g.closers, d.Close)
	env, o := *e, RigOptions{Processes: 5, Seed: 11, Key: sealKey, Level: "debug", Discovery: d, Sections: sections}
	if planted != "" {
		env.Croftlock, o.Env = e.Self, []string{PlantedEnv + "=" + planted}
	}
	if g.Rig, err = NewRigWith(&env, o); err != nil {
		return nil, err
	}
	if _, err := g.awaitAgreement(0); err != nil {
		return nil, err
	}
	for i := range 5 {
		for range 4 {
			g.startWorker(func() { g.placeClients(g.Rig, i, &g.down[i], &g.stopping) })
		}
	}
	return g, nil
}

// startWorker runs f until the rig ends.
func (g *rulesRig) startWorker(f func()) {
	g.workers.Add(1)
	go func() { defer g.workers.Done(); f() }()
}

// query asks the coordinator by way of a process.
func (g *rulesRig) query(i int, body []byte) string {
	rep, err := g.Owners(i, owneragent.Request{Command: "rules", Rules: body})
	if err != nil {
		return "unknown: " + err.Error()
	}
	return rep.Answer + rep.Error
}

// awaitAnswer waits until some process answers in such a way which version is active; it returns how long that took, and whether it did in
// time.
func (g *rulesRig) awaitAnswer(within time.Duration, is func(answer string) bool) (time.Duration, bool) {
	began, found := time.Now(), make(chan time.Duration, len(g.Procs))
	var over atomic.Bool
	for i := range g.Procs {
		go func() {
			for !over.Load() {
				if is(g.query(i, rules.QueryActive())) {
					found <- time.Since(began)
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	defer over.Store(true)
	select {
	case took := <-found:
		return took, true
	case <-time.After(within):
		return within, false
	}
}

// pause stops a process for a time.
func (g *rulesRig) pause(i int, d time.Duration) {
	g.down[i].Store(true)
	g.Procs[i].Signal(syscall.SIGSTOP)
	time.Sleep(d)
	g.Procs[i].Signal(syscall.SIGCONT)
	time.Sleep(300 * time.Millisecond)
	g.down[i].Store(false)
}

// restart kills a process and starts it anew.
func (g *rulesRig) restart(i int) error {
	g.down[i].Store(true)
	defer g.down[i].Store(false)
	g.Procs[i].Kill()
	return g.Start(i)
}

// end ends the placements and reads all logs.
func (g *rulesRig) end() *rulesOutcome {
	g.stopping.Store(true)
	g.workers.Wait()
	g.Rig.mu.Lock()
	defer g.Rig.mu.Unlock()
	g.readLogs(g.all)
	return g.rulesOutcome
}

// Close ends all of it.
func (g *rulesRig) Close() {
	g.stopping.Store(true)
	g.workers.Wait()
	if g.Rig != nil {
		g.Rig.Close()
	}
	for _, f := range g.closers {
		f()
	}
}
