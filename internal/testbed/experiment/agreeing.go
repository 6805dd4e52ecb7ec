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

// agreeingRig is five processes that agree on rules, under placements, and what came of it.
type agreeingRig struct {
	*Rig
	*agreement
	down  [5]atomic.Bool
	quit  atomic.Bool
	wg    sync.WaitGroup
	close []func()
}

func newAgreeing(e *Env, sections, planted string) (g *agreeingRig, err error) {
	g = &agreeingRig{agreement: &agreement{}}
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
		g.close = append(g.close, s.Close)
		entries = append(entries, s.Entry())
	}
	d, err := fake.NewDiscovery(entries...)
	if err != nil {
		return nil, err
	}
	g.close = append(g.close, d.Close)
	env, o := *e, RigOptions{N: 5, Seed: 11, Key: labKey, Level: "debug", Discovery: d, Sections: sections}
	if planted != "" {
		env.Croftlock, o.Env = e.Self, []string{PlantedEnv + "=" + planted}
	}
	if g.Rig, err = NewRigWith(&env, o); err != nil {
		return nil, err
	}
	if _, err := g.standing(0); err != nil {
		return nil, err
	}
	for i := range 5 {
		for range 4 {
			g.work(func() { g.place(g.Rig, i, &g.down[i], &g.quit) })
		}
	}
	return g, nil
}

func (g *agreeingRig) work(f func()) {
	g.wg.Add(1)
	go func() { defer g.wg.Done(); f() }()
}

// ask asks the keeper by way of a process.
func (g *agreeingRig) ask(i int, body []byte) string {
	rep, err := g.Owners(i, owneragent.Request{Do: "rules", Rules: body})
	if err != nil {
		return "unknown: " + err.Error()
	}
	return rep.Answer + rep.Error
}

// anyone waits until some process gives such an answer to what is active, and tells how long that took.
func (g *agreeingRig) anyone(within time.Duration, is func(answer string) bool) (time.Duration, bool) {
	began, found := time.Now(), make(chan time.Duration, len(g.Procs))
	var over atomic.Bool
	for i := range g.Procs {
		go func() {
			for !over.Load() {
				if is(g.ask(i, rules.QueryActive())) {
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

// sleeps stops a process for a time.
func (g *agreeingRig) sleeps(i int, d time.Duration) {
	g.down[i].Store(true)
	g.Procs[i].Signal(syscall.SIGSTOP)
	time.Sleep(d)
	g.Procs[i].Signal(syscall.SIGCONT)
	time.Sleep(300 * time.Millisecond)
	g.down[i].Store(false)
}

// dies kills a process and starts it anew.
func (g *agreeingRig) dies(i int) error {
	g.down[i].Store(true)
	defer g.down[i].Store(false)
	g.Procs[i].Kill()
	return g.Start(i)
}

// end ends the placements and reads all logs.
func (g *agreeingRig) end() *agreement {
	g.quit.Store(true)
	g.wg.Wait()
	g.Rig.mu.Lock()
	defer g.Rig.mu.Unlock()
	g.read(g.all)
	return g.agreement
}

// Close ends all of it.
func (g *agreeingRig) Close() {
	g.quit.Store(true)
	g.wg.Wait()
	if g.Rig != nil {
		g.Rig.Close()
	}
	for _, f := range g.close {
		f()
	}
}
