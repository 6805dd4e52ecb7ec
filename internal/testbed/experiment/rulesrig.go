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

// rulesRig is five processes that agree on rules, with clients at each process, and the outcome of
// the case.
type rulesRig struct {
	*Rig
	*rulesOutcome
	down     [5]atomic.Bool // processes that are paused or killed, which clients do not use
	stopping atomic.Bool    // set to end the workers
	workers  sync.WaitGroup
	hosts    *fake.Hosts
}

// newRulesRig starts four hosts and the processes, waits until the processes agree, and starts four
// clients at each. injectedFault is a fault that is injected into the program; empty means none.
func newRulesRig(e *Env, sections, injectedFault string) (g *rulesRig, err error) {
	g = &rulesRig{rulesOutcome: &rulesOutcome{}}
	defer func() {
		if err != nil {
			g.Close()
		}
	}()
	if g.hosts, err = fake.NewHosts("z", "s0", "s1", "s2", "s3"); err != nil {
		return nil, err
	}
	env, options := *e, RigOptions{Processes: 5, Seed: 11, Key: sealKey, LogLevel: "debug", Discovery: g.hosts.Discovery, SettingsSections: sections}
	if injectedFault != "" {
		env.Croftlock, options.Env = e.Self, []string{FaultInjectionEnv + "=" + injectedFault}
	}
	if g.Rig, err = NewRigWithOptions(&env, options); err != nil {
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

// startWorker runs f in a goroutine. finish and Close wait for it.
func (g *rulesRig) startWorker(f func()) {
	g.workers.Add(1)
	go func() { defer g.workers.Done(); f() }()
}

// query sends a query through process i to the publisher, the process that publishes the rules. It
// returns the reply as text, or "unknown: " and the error if there is no reply.
func (g *rulesRig) query(i int, body []byte) string {
	reply, err := g.SendOwnerRequest(i, owneragent.Request{Command: "rules", Rules: body})
	if err != nil {
		return "unknown: " + err.Error()
	}
	return reply.Answer + reply.Error
}

// awaitAnswer polls all processes for the active version until a reply meets the condition. It
// returns the elapsed time and whether this happened within the time limit.
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

// pause stops process i for d by SIGSTOP. Clients use it again 300 ms after the pause.
func (g *rulesRig) pause(i int, d time.Duration) {
	g.down[i].Store(true)
	g.Procs[i].Signal(syscall.SIGSTOP)
	time.Sleep(d)
	g.Procs[i].Signal(syscall.SIGCONT)
	time.Sleep(300 * time.Millisecond)
	g.down[i].Store(false)
}

// restart kills process i and starts a new incarnation of it.
func (g *rulesRig) restart(i int) error {
	g.down[i].Store(true)
	defer g.down[i].Store(false)
	g.Procs[i].Kill()
	return g.Start(i)
}

// finish stops the workers, reads the logs of all incarnations and returns the outcome.
func (g *rulesRig) finish() *rulesOutcome {
	g.stopping.Store(true)
	g.workers.Wait()
	g.Rig.mu.Lock()
	defer g.Rig.mu.Unlock()
	g.readLogs(g.incarnations)
	return g.rulesOutcome
}

// Close stops the workers, the processes and the hosts.
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
