package command

import (
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// sentTo gives the times at which a process sent something new to a host, by its log alone.
func sentTo(t *testing.T, p *experiment.Process, host string) (all []time.Time) {
	t.Helper()
	for _, l := range p.Log("event=attempt_started ") {
		if strings.Contains(l+" ", " host="+host+" ") {
			all = append(all, loggedAt(t, l))
		}
	}
	return all
}

func after(all []time.Time, at time.Time) (n int) {
	for _, a := range all {
		if a.After(at) {
			n++
		}
	}
	return n
}

// TestFloorsAmongProcesses: five processes, each with a discovery of its own that is otherwise the same. What one is told of a host holds at all:
// also at one that slept meanwhile, and at one that was cut off as soon as it hears the others again; and a list as new ends it.
func TestFloorsAmongProcesses(t *testing.T) {
	t.Parallel()
	const n = 5
	var entries []fake.Entry
	for _, id := range []string{"a", "b", "c"} {
		s, err := fake.NewServer(id, "z", nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		entries = append(entries, s.Entry())
	}
	var lists []*fake.Discovery
	for range n {
		d, err := fake.NewDiscovery(entries...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Close)
		lists = append(lists, d)
	}
	rigs <- struct{}{}
	t.Cleanup(func() { <-rigs })
	r, err := experiment.NewRigWith(&experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, experiment.RigOptions{Processes: n, Seed: 4, Key: "0123456789abcdef0123456789abcdef", Level: "debug",
		Discoveries: lists, Sections: `(floors (on on) (source lab) (within 500ms))`, Env: []string{"CROFTLOCK_TEST_RUN=1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for i := range r.Procs {
		if _, ok := experiment.Until(ownersPatience, func() bool {
			rep, err := r.Ask(i)
			alive := 0
			for _, m := range rep.Members {
				if m.State == "alive" {
					alive++
				}
			}
			return err == nil && alive >= n-1
		}); !ok {
			t.Fatalf("n%d does not see the others", i)
		}
	}

	var quit atomic.Bool
	var served, unanswered atomic.Int64
	var asleep [n]atomic.Bool
	var wg sync.WaitGroup
	for i := range r.Procs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ; !quit.Load(); time.Sleep(10 * time.Millisecond) {
				if asleep[i].Load() {
					continue
				}
				c, a, _ := fake.Open(r.Procs[i].Addr, "lab", "", 400*time.Millisecond)
				if c != nil {
					served.Add(1)
					c.Close()
				} else if a.Kind == "NONE" && !asleep[i].Load() {
					unanswered.Add(1)
				}
			}
		}()
	}
	said := func(i int, event string) bool {
		return len(r.Procs[i].Log(event)) > 0
	}
	all := func(what string, holds func(i int) bool, which ...int) {
		t.Helper()
		for _, i := range which {
			if _, ok := experiment.Until(ownersPatience, func() bool { return holds(i) }); !ok {
				t.Fatalf("n%d: %s", i, what)
			}
		}
	}
	all("it sends nothing to a", func(i int) bool { return len(sentTo(t, r.Procs[i], "a")) > 0 }, 0, 1, 2, 3, 4)

	// One is cut off and one sleeps while a third alone hears that a drains.
	r.Cut(4, true)
	asleep[3].Store(true)
	r.Procs[3].Signal(syscall.SIGSTOP)
	lists[0].SetState("a", "draining")
	all("it does not hear that a drains", func(i int) bool { return said(i, "event=watermark_applied host=a state=draining") }, 1, 2)
	r.Procs[3].Signal(syscall.SIGCONT)
	asleep[3].Store(false)
	all("it has slept and does not hear that a drains", func(i int) bool { return said(i, "event=watermark_applied host=a state=draining") }, 3)
	told := time.Now().UTC()
	all("it does not ask discovery anew", func(i int) bool { return said(i, "event=list_behind") }, 1, 2, 3)
	// Whoever can't hear of it goes on: a floor is worth as much as the way to others.
	all("it is cut off, and no more is sent to a", func(i int) bool { return after(sentTo(t, r.Procs[i], "a"), told) > 3 }, 4)
	r.Cut(4, false)
	all("it hears the others again, and not that a drains", func(i int) bool { return said(i, "event=watermark_applied host=a state=draining") }, 4)
	healed := time.Now().UTC()
	time.Sleep(time.Second)
	for i := range r.Procs {
		since := told
		if i == 4 {
			since = healed
		}
		// What was judged before may be written a moment later.
		if k := after(sentTo(t, r.Procs[i], "a"), since.Add(100*time.Millisecond)); k > 0 {
			t.Errorf("n%d: %d sent to a after it was told", i, k)
		}
	}

	// Their own lists catch up, and then a is back: floors say nothing more.
	for _, d := range lists[1:] {
		d.SetState("a", "draining")
	}
	back := entries[0]
	back.BootMS = time.Now().UnixMilli()
	for _, d := range lists {
		d.Set(back)
	}
	up := time.Now().UTC()
	all("a is back and gets nothing", func(i int) bool { return after(sentTo(t, r.Procs[i], "a"), up) > 0 }, 0, 1, 2, 3, 4)

	// One whose discovery is down hears that b is gone, and its own list never names it again.
	lists[2].SetDown(true)
	for i, d := range lists {
		if i != 2 {
			d.SetState("b", "removed")
		}
	}
	all("it does not hear that b is gone", func(i int) bool { return said(i, "event=watermark_applied host=b state=draining") }, 2)
	gone := time.Now().UTC()
	time.Sleep(500 * time.Millisecond)
	if k := after(sentTo(t, r.Procs[2], "b"), gone.Add(100*time.Millisecond)); k > 0 {
		t.Errorf("n2: %d sent to b, which is gone", k)
	}
	quit.Store(true)
	wg.Wait()
	if unanswered.Load() > 0 || served.Load() < 100 {
		t.Errorf("%d served, %d without an answer", served.Load(), unanswered.Load())
	}
	for i, p := range r.Procs {
		if l := p.Log("panic"); len(l) > 0 {
			t.Errorf("n%d: %s", i, strings.Join(l, "\n"))
		}
	}
}
