package experiment

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/testbed/fake"
)

// rulesRig is five processes that agree on rules, with clients at each, and the outcome.
type rulesRig struct {
	*Rig
	*rulesOutcome
	down     [5]atomic.Bool // processes that are paused or killed: clients do not use them
	stopping atomic.Bool    // the workers are to end
	workers  sync.WaitGroup
	hosts    *fake.Hosts
}

// newRulesRig starts four hosts, the processes and, once these agree, clients at each. planted is a fault of the processes that the
// experiment has to find; "": none.
func newRulesRig(e *Env, sections, planted string) (g *rulesRig, err error) {
	g = &rulesRig{rulesOutcome: &rulesOutcome{}}
	defer func() {
		if err != nil {
			g.Close()
		}
	}()
	if g.hosts, err = fake.NewHosts("z", "s0", "s1", "s2", "s3"); err != nil {
		return nil, err
	}
	env, o := *e, RigOptions{Processes: 5, Seed: 11, Key: sealKey, LogLevel: "debug", Discovery: g.hosts.Discovery, SettingsSections: sections}
	if planted != "" {
		env.Croftlock, o.Env = e.Self, []string{FaultInjectionEnv + "=" + planted}
	}
	if g.Rig, err = NewRigWithOptions(&env, o); err != nil {
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

// query sends a query to the rules' publisher through process i, and returns the answer or the error.
func (g *rulesRig) query(i int, body []byte) string {
	reply, err := g.SendOwnerRequest(i, owneragent.Request{Command: "rules", Rules: body})
	if err != nil {
		return "unknown: " + err.Error()
	}
	return reply.Answer + reply.Error
}

// awaitAnswer waits until some process's answer about the active version meets a condition; it returns how long that took, and whether it
// did in time.
func (g *rulesRig) awaitAnswer(within time.Duration, holds func(answer string) bool) (time.Duration, bool) {
	startedAt, found := time.Now(), make(chan time.Duration, len(g.Procs))
	var ended atomic.Bool
	for i := range g.Procs {
		go func() {
			for !ended.Load() {
				if holds(g.query(i, rules.QueryActive())) {
					found <- time.Since(startedAt)
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	defer ended.Store(true)
	select {
	case took := <-found:
		return took, true
	case <-time.After(within):
		return within, false
	}
}

// pause pauses a process for a time.
func (g *rulesRig) pause(i int, d time.Duration) {
	g.down[i].Store(true)
	g.Procs[i].Signal(syscall.SIGSTOP)
	time.Sleep(d)
	g.Procs[i].Signal(syscall.SIGCONT)
	time.Sleep(300 * time.Millisecond)
	g.down[i].Store(false)
}

// restart kills a process and starts it again.
func (g *rulesRig) restart(i int) error {
	g.down[i].Store(true)
	defer g.down[i].Store(false)
	g.Procs[i].Kill()
	return g.Start(i)
}

// finish ends the clients, reads all logs and returns the outcome.
func (g *rulesRig) finish() *rulesOutcome {
	g.stopping.Store(true)
	g.workers.Wait()
	g.Rig.mu.Lock()
	defer g.Rig.mu.Unlock()
	g.readLogs(g.incarnations)
	return g.rulesOutcome
}

// Close ends the clients, the processes and the hosts.
func (g *rulesRig) Close() {
	g.stopping.Store(true)
	g.workers.Wait()
	if g.Rig != nil {
		g.Rig.Close()
	}
	if g.hosts != nil {
		g.hosts.Close()
	}
}
