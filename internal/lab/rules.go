package lab

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"croftlock/internal/owners"
	"croftlock/internal/rules"
	"croftlock/internal/standin"
)

const agreeWithin = time.Second

// rulesAgree has five processes agree on a change each 200 ms under 500 placements a second: undisturbed, with a fault every 2 s, and with a right that is
// counted for ten times its time, which the checker has to find.
func rulesAgree(e *Env, r *Report) error {
	const table = "rules that five processes agree on, three voters by memory, agree_within 1 s"
	r.Head(table, "case", "changes active", "active within, p50 p99", "decisions", "side by side, p99, longest", "no answer", "placed, p50 p99")
	var quiet time.Duration
	for _, c := range []struct {
		name           string
		changes, fault bool
		planted        string
		lasts          time.Duration
	}{{"without changes", false, false, "", 20 * time.Second}, {"changes", true, false, "", 40 * time.Second}, {"changes and faults", true, true, "", 120 * time.Second}, {"a right ten times too long", true, true, "lapse", 60 * time.Second}} {
		a, err := agreeing(e, c.lasts, c.changes, c.fault, c.planted)
		if err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		over, longest := a.overlaps()
		r.Row(table, c.name, a.active, spread(a.took), a.decided, fmt.Sprint(percentile(over, 0.99), ", ", longest), a.silent, spread(a.placed))
		switch {
		case !c.changes:
			quiet = percentile(a.placed, 0.99)
		case c.planted != "":
			r.Hold(longest > agreeWithin, "a right that is too long is found by the checker", longest)
			continue
		case c.fault:
			r.Hold(longest <= agreeWithin, "from the first act by a newer version none by an older one for longer than agree_within", longest)
			r.Hold(a.active >= 20, "changes become active through the faults", a.active)
		default:
			r.Hold(longest <= agreeWithin && percentile(over, 0.99) <= 100*time.Millisecond, "undisturbed 100 ms side by side at p99", percentile(over, 0.99))
			r.Hold(percentile(a.took, 0.99) <= 300*time.Millisecond, "undisturbed a change is active within 300 ms at p99", percentile(a.took, 0.99))
			r.Hold(percentile(a.placed, 0.99) <= quiet*11/10+time.Millisecond, "p99 of a placement within a tenth, and a millisecond, of the same without changes", fmt.Sprint(percentile(a.placed, 0.99), " of ", quiet))
		}
		r.Hold(a.silent == 0, c.name+": each request gets an answer", a.silent)
	}
	return nil
}

func agreeing(e *Env, lasts time.Duration, changes, faults bool, planted string) (*agreement, error) {
	var entries []standin.Entry
	for i := range 4 {
		s, err := standin.NewServer(fmt.Sprint("s", i), "z", nil)
		if err != nil {
			return nil, err
		}
		defer s.Close()
		entries = append(entries, s.Entry())
	}
	d, err := standin.NewDiscovery(entries...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	env, o := *e, RigOptions{N: 5, Seed: 11, Key: labKey, Level: "debug", Discovery: d, Sections: ownersFile(3, false, "(rules on) (agree_within 1s)")}
	if planted != "" {
		env.Croftlock, o.Env = e.Self, []string{PlantedEnv + "=" + planted}
	}
	r, err := NewRigWith(&env, o)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	ask := func(i int, body []byte) string {
		rep, err := r.Owners(i, owners.Request{Do: "rules", Rules: body})
		if err != nil {
			return "unknown: " + err.Error()
		}
		return rep.Answer + rep.Error
	}
	if _, ok := Until(ownersWait, func() bool { return strings.HasPrefix(ask(0, rules.Show()), "active: version 0 at 5 of 5") }); !ok {
		return nil, fmt.Errorf("no rights after %v: %s", ownersWait, ask(0, rules.Show()))
	}
	a := &agreement{}
	down := make([]atomic.Bool, 5)
	var quit atomic.Bool
	var wg sync.WaitGroup
	work := func(f func()) {
		wg.Add(1)
		go func() { defer wg.Done(); f() }()
	}
	for i := range 5 {
		for range 4 {
			work(func() { a.place(r, i, &down[i], &quit) })
		}
	}
	if changes {
		work(func() { a.change(ask, down, &quit) })
	}
	end := time.Now().Add(lasts)
	rng := rand.New(rand.NewPCG(3, 1))
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		if !faults {
			continue
		}
		i := rng.IntN(5)
		switch rng.IntN(3) {
		case 0:
			r.Cut(i, true) // also for longer than a right holds
			time.Sleep(time.Duration(300+rng.IntN(3700)) * time.Millisecond)
			r.Cut(i, false)
		case 1:
			down[i].Store(true)
			r.Procs[i].Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
			r.Procs[i].Signal(syscall.SIGCONT)
			time.Sleep(300 * time.Millisecond)
			down[i].Store(false)
		case 2:
			down[i].Store(true)
			r.Procs[i].Kill()
			if err := r.Start(i); err != nil {
				return nil, err
			}
			down[i].Store(false)
		}
		time.Sleep(time.Second)
	}
	quit.Store(true)
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	a.read(r.all)
	return a, nil
}

// place asks for connections at a process, 25 a second, each ended at once.
func (a *agreement) place(r *Rig, i int, down, quit *atomic.Bool) {
	for !quit.Load() {
		time.Sleep(40 * time.Millisecond)
		if down.Load() {
			continue
		}
		c, ans, _ := standin.Open(r.Procs[i].Addr, "lab", "", time.Second)
		a.mu.Lock()
		if ans.Kind == "NONE" && !down.Load() {
			a.silent++
		}
		if c != nil {
			a.placed = append(a.placed, ans.Took)
		}
		a.mu.Unlock()
		if c != nil {
			c.Close()
		}
	}
}

// change puts a change each 200 ms, by way of a process that is up.
func (a *agreement) change(ask func(int, []byte) string, down []atomic.Bool, quit *atomic.Bool) {
	at := uint64(0)
	for n := 0; !quit.Load(); n++ {
		next := time.Now().Add(200 * time.Millisecond)
		i := n % 5
		if !down[i].Load() {
			began := time.Now()
			v := &rules.Version{Out: []string{fmt.Sprint("nobody", n)}}
			got := ask(i, rules.Propose(rules.Put(v, at, fmt.Appendf(nil, "change%08d", n))))
			if _, err := fmt.Sscanf(got, "active: version %d", &at); err == nil {
				a.mu.Lock()
				a.active++
				a.took = append(a.took, time.Since(began))
				a.mu.Unlock()
			} else {
				fmt.Sscanf(ask(i, rules.Show()), "active: version %d", &at)
			}
		}
		time.Sleep(time.Until(next))
	}
}
