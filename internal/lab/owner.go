package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/anishathalye/porcupine"

	"croftlock/internal/owners"
	"croftlock/internal/standin"
)

// PlantedEnv has croftlab run as the program, with a fault that an experiment has to find.
const PlantedEnv = "CROFTLAB_PLANTED"

const ownersWait = 40 * time.Second

// ownersFile is the section of a rig's processes.
func ownersFile(voters int, disks bool, more string) string {
	names := make([]string, voters)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i)
	}
	s := fmt.Sprintf(`(owners (on on) (voters %q) %s (socket "DIR/owners.sock")`, strings.Join(names, " "), more)
	if disks {
		s += ` (dir "DIR")`
	}
	return s + ")"
}

// AllOwned waits until so many jobs have one owner each among all processes but some.
func (r *Rig) AllOwned(jobs int, but ...int) (map[string]int, error) {
	var got map[string]int
	odd := ""
	if _, ok := Until(ownersWait, func() bool {
		got, odd = r.Holders(but...)
		return len(got) >= jobs
	}); !ok {
		return nil, fmt.Errorf("after %v %d of %d jobs have an owner; %s", ownersWait, len(got), jobs, odd)
	}
	return got, nil
}

// lateTaken counts, in all lives' logs, effects of an older token that were taken after a newer one's, and refusals.
func (r *Rig) lateTaken() (late, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.all {
		top := map[string]uint64{}
		for _, l := range p.Log("event=drill_taken ") {
			job := field(l, "job")
			token, _ := strconv.ParseUint(field(l, "token"), 10, 64)
			if token < top[job] {
				late++
			}
			top[job] = max(top[job], token)
		}
		refused += len(p.Log("event=effect_refused "))
	}
	return late, refused
}

// ownerLate has owners wake up late: stopped between their look at the lease and their sending, with what they sent held back, and cut off in one
// direction, each way. jobs of them at a time, for half a minute each.
func ownerLate(e *Env, r *Report) error {
	const table = "late owners: five processes, three voters with disks"
	r.Head(table, "case", "fence", "late owners", "their effects taken after a newer one's", "refused", "without an owner, median, worst")
	for _, fence := range []bool{true, false} {
		for _, how := range []string{"stopped for 30 s after its look", "its datagrams held back for 30 s", "deaf for 30 s", "mute for 30 s"} {
			if !fence && how != "stopped for 30 s after its look" {
				continue
			}
			turns, late, refused, gaps, err := lateTurns(e, how, fence, 30*time.Second)
			if err != nil {
				return fmt.Errorf("%s: %w", how, err)
			}
			slices.Sort(gaps)
			mid, worst := time.Duration(0), time.Duration(0)
			if n := len(gaps); n > 0 {
				mid, worst = gaps[n/2], gaps[n-1]
			}
			r.Row(table, how, fence, turns, late, refused, fmt.Sprint(mid.Round(time.Millisecond), ", ", worst.Round(time.Millisecond)))
			if fence {
				r.Hold(late == 0 && turns >= 50, how+": 50 late owners and more, none of whose effects is taken after a newer one's", fmt.Sprintf("%d of %d", late, turns))
			} else {
				r.Hold(late > 0, "without the fence it is found", late)
			}
		}
	}
	return nil
}

// lateTurns has the owners of many jobs be late at once, on some rigs side by side.
func lateTurns(e *Env, how string, fence bool, lasts time.Duration) (turns, late, refused int, gaps []time.Duration, err error) {
	const rigs, jobs = 3, 100
	var mu sync.Mutex
	var all sync.WaitGroup
	for k := range rigs {
		all.Add(1)
		go func() {
			defer all.Done()
			n, l, f, g, fault := lateTurn(e, how, fence, lasts, jobs, uint64(k+1))
			mu.Lock()
			defer mu.Unlock()
			turns, late, refused, gaps = turns+n, late+l, refused+f, append(gaps, g...)
			if fault != nil {
				err = fault
			}
		}()
	}
	all.Wait()
	return turns, late, refused, gaps, err
}

func lateTurn(e *Env, how string, fence bool, lasts time.Duration, jobs int, seed uint64) (turns, late, refused int, gaps []time.Duration, err error) {
	o := RigOptions{N: 5, Seed: seed, Level: "debug", Sections: ownersFile(3, true, fmt.Sprintf("(drill %d) (drill_ms 500)", jobs))}
	env := *e
	if !fence {
		env.Croftlock, o.Env = e.Self, []string{PlantedEnv + "=forget"}
	}
	// Without a key: a seal would refuse what comes half a minute late by itself, and the fence is to be tried.
	r, err := NewRigWith(&env, o)
	if err != nil {
		return 0, 0, 0, nil, err
	}
	defer r.Close()
	who, err := r.AllOwned(jobs)
	if err != nil {
		return 0, 0, 0, nil, err
	}
	victim := int(seed) % 5
	var mine []string
	for job, i := range who {
		if i == victim {
			mine = append(mine, job)
		}
	}
	slices.Sort(mine)
	if len(mine) == 0 {
		return 0, 0, 0, nil, errors.New("the one that is to be late owns nothing")
	}
	links := func(change func(l *standin.Link, out bool)) {
		for j := range 5 {
			if j != victim {
				r.Mesh.Set(victim, j, func(l *standin.Link) { change(l, true) })
				r.Mesh.Set(j, victim, func(l *standin.Link) { change(l, false) })
			}
		}
	}
	began := time.Now()
	switch how {
	case "stopped for 30 s after its look":
		// One job stops the process between its look and its sending; the others sleep wherever they are.
		if _, err := r.Owners(victim, owners.Request{Do: "late", A: mine[0]}); err != nil {
			return 0, 0, 0, nil, err
		}
		time.Sleep(lasts)
		r.Procs[victim].Signal(syscall.SIGCONT)
	case "its datagrams held back for 30 s":
		links(func(l *standin.Link, out bool) {
			if out {
				l.Delay = lasts
			}
		})
		time.Sleep(600 * time.Millisecond) // a turn of each job is on its way for half a minute
		links(func(l *standin.Link, out bool) { l.Delay = 0; l.Cut = true })
		time.Sleep(lasts / 2)
		links(func(l *standin.Link, out bool) { l.Cut = false })
		time.Sleep(lasts/2 + time.Second)
	default:
		links(func(l *standin.Link, out bool) { l.Cut = out == (how == "mute for 30 s") })
		time.Sleep(lasts)
		links(func(l *standin.Link, out bool) { l.Cut = false })
	}
	time.Sleep(2 * time.Second)
	if _, err := r.AllOwned(jobs); err != nil {
		return 0, 0, 0, nil, err
	}
	if err := r.CheckTokens(); err != nil {
		return 0, 0, 0, nil, err
	}
	for _, g := range r.gaps(began, mine) {
		gaps = append(gaps, g)
	}
	late, refused = r.lateTaken()
	return len(mine), late, refused, gaps, nil
}

// logTime is when a line of a log was written.
func logTime(line string) time.Time {
	t, _ := time.Parse("2006/01/02 15:04:05.000000", line[:min(len(line), 26)])
	return t
}

// gaps are how long jobs were without an owner since a time, as the processes' logs have it: from the last effect of one owner, or its word
// that it owns no more, to the beginning of the next.
func (r *Rig) gaps(since time.Time, jobs []string) map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]time.Duration{}
	for _, p := range r.all {
		for _, l := range p.Log("event=owns ") {
			if at, job := logTime(l), field(l, "job"); at.After(since) && slices.Contains(jobs, job) {
				if g, seen := out[job]; !seen || at.Sub(since) < g {
					out[job] = at.Sub(since)
				}
			}
		}
	}
	return out
}

// call is one operator's word, for the check of the history.
type call struct {
	host string
	kind string // suspend, resume, list
}

// registerModel is whether a host is out.
var registerModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		in := input.(call)
		switch in.kind {
		case "suspend":
			return true, true
		case "resume":
			return true, false
		}
		return output.(string) == "unknown" || output.(string) == fmt.Sprint(state), state
	},
	Equal: func(a, b any) bool { return a == b },
}

// ownerChaos has a fault every 2 s for two minutes, with clients placed throughout.
func ownerChaos(e *Env, r *Report) error { return chaos(e, r, 120*time.Second, 200) }

func chaos(e *Env, r *Report, lasts time.Duration, rate float64) error {
	const table = "placement, clients at a rate throughout"
	r.Head(table, "run", "clients", "served", "failed", "p50 ms", "p99 ms")
	var p99 [2]float64
	for i, on := range []bool{false, true} {
		f, err := newFleet(e, 3, false)
		if err != nil {
			return err
		}
		rig, err := NewRigWith(e, RigOptions{N: 5, Seed: 7, Key: labKey, Level: "debug", Fleet: f, Sections: ownersFile(3, true, "(drill 20) (hosts on)")})
		if err != nil {
			return err
		}
		defer rig.Close()
		if _, err := rig.AllOwned(21); err != nil {
			return err
		}
		h := &history{rig: rig, stop: make(chan struct{})}
		rng := rand.New(rand.NewPCG(11, 11))
		var faults sync.WaitGroup
		if on {
			faults.Add(1)
			go func() {
				defer faults.Done()
				h.faults(rng, lasts)
			}()
			h.begin(3)
		}
		got := newTally()
		// Clients go to the processes that faults leave alone: those kill proxies with all that they carry, which is no matter of owners.
		var next atomic.Int64
		arrivals(rate, lasts, func(int) {
			p := rig.Procs[3+int(next.Add(1))%2]
			c, a, err := standin.Open(p.Addr, class, "", 2*time.Second)
			if err != nil {
				a.Kind = "NONE"
			}
			got.add(a, 2*time.Second)
			if c != nil {
				time.Sleep(time.Second)
				c.Close()
			}
		})
		faults.Wait()
		name := "no faults"
		if on {
			name = "a fault every 2 s"
		}
		all := 0
		for _, n := range got.kinds {
			all += n
		}
		p99[i] = got.took.quantile(0.99)
		r.Row(table, name, all, got.count("UP"), all-got.count("UP"), got.took.quantile(0.5), p99[i])
		if !on {
			rig.Close()
			continue
		}
		r.Hold(all == got.count("UP"), "no client fails by it", all-got.count("UP"))
		r.Hold(p99[1] <= 1.1*p99[0], "p99 of placement within a tenth of the run without faults", fmt.Sprintf("%.2f, %.2f ms", p99[1], p99[0]))
		if _, err := rig.AllOwned(21); err != nil {
			return err
		}
		h.end()
		late, refused := rig.lateTaken()
		r.Hold(late == 0, "no effect of an older token is taken after a newer one's", fmt.Sprintf("%d; %d refused", late, refused))
		err = rig.CheckTokens()
		r.Hold(err == nil, "each token is one process's", err)
		ok, n, unknown := h.check()
		r.Hold(ok && n > 20, "the history of hosts out by hand is linearizable", fmt.Sprintf("%d calls, %d of them unknown, %d faults", n, unknown, h.count))
		gaps := rig.jobGaps()
		slices.Sort(gaps)
		if n := len(gaps); n > 0 {
			r.Hold(gaps[n*99/100] <= 5*time.Second, "a job without an owner for no more than 5 s at p99", fmt.Sprintf("median %v, p99 %v, worst %v of %d", gaps[n/2].Round(time.Millisecond),
				gaps[n*99/100].Round(time.Millisecond), gaps[n-1].Round(time.Millisecond), n))
		}
		rig.Close()
	}
	return nil
}

// jobGaps are how long each job was without effects, over all changes of owner: from the last effect of one token at anybody to the next token's first.
func (r *Rig) jobGaps() (gaps []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	type span struct{ first, last time.Time }
	spans := map[string]map[uint64]span{}
	for _, p := range r.all {
		for _, l := range p.Log("event=drill_taken ") {
			job, at := field(l, "job"), logTime(l)
			token, _ := strconv.ParseUint(field(l, "token"), 10, 64)
			if spans[job] == nil {
				spans[job] = map[uint64]span{}
			}
			s, seen := spans[job][token]
			if !seen || at.Before(s.first) {
				s.first = at
			}
			if at.After(s.last) {
				s.last = at
			}
			spans[job][token] = s
		}
	}
	for _, tokens := range spans {
		var order []uint64
		for t := range tokens {
			order = append(order, t)
		}
		slices.Sort(order)
		for i := 1; i < len(order); i++ {
			gaps = append(gaps, max(0, tokens[order[i]].first.Sub(tokens[order[i-1]].last)))
		}
	}
	return gaps
}

// history is operators' calls against a rig, and faults beside them.
type history struct {
	rig   *Rig
	stop  chan struct{}
	all   sync.WaitGroup
	mu    sync.Mutex
	ops   []porcupine.Operation
	count int
}

// begin has some operators call.
func (h *history) begin(n int) {
	for k := range n {
		h.all.Add(1)
		go func() {
			defer h.all.Done()
			rng := rand.New(rand.NewPCG(uint64(k), 5))
			for {
				select {
				case <-h.stop:
					return
				case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
				}
				// A host that is no upstream host of anybody's: placement is not to follow from it.
				c := call{host: fmt.Sprintf("other%d", rng.IntN(3)), kind: []string{"suspend", "resume", "list"}[rng.IntN(3)]}
				at := time.Now()
				rep, err := h.rig.Owners(3+rng.IntN(2), owners.Request{Do: c.kind, A: map[bool]string{true: "", false: c.host}[c.kind == "list"]})
				h.note(k, c, at, rep, err)
			}
		}()
	}
}

func (h *history) note(client int, c call, at time.Time, rep owners.Reply, err error) {
	op := porcupine.Operation{ClientId: client, Input: c, Call: at.UnixNano(), Output: "unknown", Return: time.Now().UnixNano()}
	done := err == nil && rep.Error == "" && !strings.HasPrefix(rep.Answer, "unknown") && !strings.HasPrefix(rep.Answer, "refused")
	if done && c.kind == "list" {
		_, list, _ := strings.Cut(rep.Answer, ": ")
		op.Output = fmt.Sprint(slices.Contains(strings.Fields(list), c.host))
	} else if done {
		op.Output = "done"
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

func (h *history) end() {
	close(h.stop)
	h.all.Wait()
}

// check gives whether the calls can have happened one after the other. One that is unknown may have been done at any time after it was asked, or
// never.
func (h *history) check() (ok bool, calls, unknown int) {
	last := time.Now().Add(time.Hour).UnixNano()
	byHost := map[string][]porcupine.Operation{}
	for _, op := range h.ops {
		c := op.Input.(call)
		if op.Output == "unknown" {
			unknown++
			if c.kind == "list" {
				continue
			}
			op.Return = last
			last++
		}
		op.ClientId = len(byHost[c.host]) // one that is unknown overlaps its client's next
		byHost[c.host] = append(byHost[c.host], op)
	}
	ok = true
	for _, ops := range byHost {
		ok = ok && porcupine.CheckOperations(registerModel, ops)
	}
	return ok, len(h.ops), unknown
}

// faults has one every 2 s, at the three voters: a minority at a time.
func (h *history) faults(rng *rand.Rand, lasts time.Duration) {
	r := h.rig
	for end := time.Now().Add(lasts - 4*time.Second); time.Now().Before(end); h.count++ {
		i, j := rng.IntN(3), 0
		for j = rng.IntN(5); j == i; j = rng.IntN(5) {
		}
		one := func(change func(l *standin.Link)) {
			for k := range 5 {
				if k != i {
					r.Mesh.Set(i, k, change)
					r.Mesh.Set(k, i, change)
				}
			}
		}
		switch rng.IntN(5) {
		case 0:
			r.Procs[i].Kill()
			time.Sleep(time.Second)
			if r.Start(i) != nil {
				return
			}
			time.Sleep(time.Second)
		case 1:
			r.Procs[i].Signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			r.Procs[i].Signal(syscall.SIGCONT)
		case 2:
			r.Cut(i, true)
			time.Sleep(2 * time.Second)
			r.Cut(i, false)
		case 3:
			r.Mesh.Set(i, j, func(l *standin.Link) { l.Cut = true })
			time.Sleep(2 * time.Second)
			r.Mesh.Set(i, j, func(l *standin.Link) { l.Cut = false })
		case 4:
			one(func(l *standin.Link) { l.Loss = 0.3; l.Twice = 0.2 })
			time.Sleep(2 * time.Second)
			one(func(l *standin.Link) { l.Loss, l.Twice = 0, 0 })
		}
	}
}

// ownerHandover ends processes in order, and replaces them, and looks how long their jobs were without an owner.
func ownerHandover(e *Env, r *Report) error {
	const table = "jobs given back and begun elsewhere"
	r.Head(table, "how", "voters", "store", "changes", "median ms", "p99 ms", "worst ms")
	for _, how := range []string{"SIGTERM", "replaced"} {
		for _, disks := range []bool{true, false} {
			took, err := handovers(e, how, disks)
			if err != nil {
				return fmt.Errorf("%s: %w", how, err)
			}
			store := "memory"
			if disks {
				store = "disk"
			}
			r.Row(table, how, 3, store, len(took), took.quantile(0.5), took.quantile(0.99), took.quantile(1))
			r.Hold(took.quantile(0.99) <= 200, how+", "+store+": at most 200 ms without an owner at p99", fmt.Sprintf("%.0f ms", took.quantile(0.99)))
		}
	}
	return nil
}

func handovers(e *Env, how string, disks bool) (series, error) {
	const jobs, turns = 20, 8
	r, err := NewRigWith(e, RigOptions{N: 5, Seed: 3, Key: labKey, Sections: ownersFile(3, disks, fmt.Sprintf("(drill %d)", jobs))})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	var took series
	for turn := range turns {
		if _, err := r.AllOwned(jobs); err != nil {
			return nil, err
		}
		// One voter at a time, as the operators' page says: the last one has to be back first.
		if _, ok := Until(ownersWait, func() bool {
			for v := range 3 {
				rep, err := r.Owners(v, owners.Request{Do: "status"})
				if err != nil || disks && (rep.Group == nil || rep.Group.Phase != "member" || rep.Group.Leader == "") {
					return false
				}
			}
			return true
		}); !ok {
			return nil, errors.New("the voters are not back")
		}
		time.Sleep(4 * time.Second)
		i := turn % 5
		began := time.Now()
		old := r.Procs[i]
		if how == "SIGTERM" {
			if err := old.Stop(); err != nil {
				return nil, err
			}
			if err := r.Start(i); err != nil {
				return nil, err
			}
		} else if err := r.Replace(i); err != nil {
			return nil, err
		}
		if _, err := r.AllOwned(jobs); err != nil {
			return nil, err
		}
		for _, l := range old.Log("event=owns_no_more ") {
			gone, job := logTime(l), field(l, "job")
			if gone.Before(began) {
				continue
			}
			next := time.Duration(-1)
			r.mu.Lock()
			for _, p := range r.all {
				for _, b := range p.Log("event=owns ") {
					if d := logTime(b).Sub(gone); field(b, "job") == job && d >= 0 && (next < 0 || d < next) {
						next = d
					}
				}
			}
			r.mu.Unlock()
			if next >= 0 {
				took = append(took, float64(next)/1e6)
			}
		}
	}
	slices.Sort(took)
	if len(took) < 10 {
		return nil, fmt.Errorf("%d changes are too few", len(took))
	}
	return took, nil
}

// ownerCost measures what owners cost: grants and changes, an idle voter's and a follower's CPU, bytes.
func ownerCost(e *Env, r *Report) error {
	const table = "what owners cost"
	r.Head(table, "voters", "store", "handover asked for to begun, median ms", "p99 ms", "owner killed to begun, median ms", "worst ms", "CPU of a core: leader", "voter", "follower", "bytes a second, leader", "follower")
	idle, err := NewRig(e, 5, 1, labKey)
	if err != nil {
		return err
	}
	if _, ok := idle.Whole(ownersWait); !ok {
		return errors.New("not whole")
	}
	time.Sleep(2 * time.Second)
	alone := cpuOf(idle, 8*time.Second)
	idle.Close()
	r.Set("cpu_membership_alone", fmt.Sprintf("%.4f", alone[4]))
	for _, voters := range []int{3, 5} {
		for _, disks := range []bool{true, false} {
			if err := ownersCost(e, r, table, voters, disks, alone); err != nil {
				return err
			}
		}
	}
	took, err := rawSyncs(e.Dir)
	if err != nil {
		return err
	}
	r.Set("fsync_of_4_KiB_median_ms", fmt.Sprintf("%.2f", took.quantile(0.5)))
	r.Set("p99_ms", fmt.Sprintf("%.2f", took.quantile(0.99)))
	return nil
}

func ownersCost(e *Env, r *Report, table string, voters int, disks bool, alone []float64) error {
	rig, err := NewRigWith(e, RigOptions{N: 6, Seed: 3, Key: labKey, Sections: ownersFile(voters, disks, "(drill 6) (hosts on)")})
	if err != nil {
		return err
	}
	defer rig.Close()
	who, err := rig.AllOwned(7)
	if err != nil {
		return err
	}
	var moved, killed series
	for turn := range 40 {
		job := fmt.Sprintf("drill%03d", turn%6)
		to := (who[job] + 1) % 6
		began := time.Now()
		rep, err := rig.Owners(0, owners.Request{Do: "move", A: job, B: fmt.Sprintf("n%d", to)})
		if err != nil || rep.Error != "" {
			time.Sleep(500 * time.Millisecond)
			continue
		}
		if _, ok := Until(10*time.Second, func() bool { return len(rig.since(to, job, began)) > 0 }); !ok {
			return fmt.Errorf("%s is not begun at n%d", job, to)
		}
		moved = append(moved, float64(rig.since(to, job, began)[0].Sub(began))/1e6)
		who[job] = to
	}
	for turn := range 5 {
		if who, err = rig.AllOwned(7); err != nil {
			return err
		}
		job, began := fmt.Sprintf("drill%03d", turn), time.Now()
		i := who[job]
		rig.Procs[i].Kill()
		if _, ok := Until(20*time.Second, func() bool {
			for j := range 6 {
				if j != i && len(rig.since(j, job, began)) > 0 {
					return true
				}
			}
			return false
		}); !ok {
			return fmt.Errorf("%s has no owner 20 s after n%d was killed", job, i)
		}
		killed = append(killed, float64(time.Since(began))/1e6)
		if err := rig.Start(i); err != nil {
			return err
		}
	}
	rig.Close()
	// Idle: one job that does nothing, so that what is measured is the group and the leases.
	rig, err = NewRigWith(e, RigOptions{N: 6, Seed: 3, Key: labKey, Sections: ownersFile(voters, disks, "(hosts on)")})
	if err != nil {
		return err
	}
	defer rig.Close()
	if _, err := rig.AllOwned(1); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	bytes := func() (b []int) {
		for i := range 6 {
			rep, _ := rig.Ask(i)
			b = append(b, rep.Counts["bytes"])
		}
		return b
	}
	rep, err := rig.Owners(0, owners.Request{Do: "owners"})
	if err != nil {
		return err
	}
	leader, _ := strconv.Atoi(strings.TrimPrefix(rep.Leader, "n"))
	before := bytes()
	cpu := cpuOf(rig, 8*time.Second)
	after := bytes()
	voter := (leader + 1) % voters
	slices.Sort(moved)
	slices.Sort(killed)
	store := "memory"
	if disks {
		store = "disk"
	}
	r.Row(table, voters, store, moved.quantile(0.5), moved.quantile(0.99), killed.quantile(0.5), killed.quantile(1), fmt.Sprintf("%.4f", cpu[leader]), fmt.Sprintf("%.4f", cpu[voter]), fmt.Sprintf("%.4f", cpu[5]),
		(after[leader]-before[leader])/8, (after[5]-before[5])/8)
	r.Hold(cpu[voter]-alone[4] < 0.005, fmt.Sprintf("%d voters, %s: an idle voter costs under 0.005 of a core beside membership", voters, store), fmt.Sprintf("%.4f less %.4f", cpu[voter], alone[4]))
	return nil
}

// since are the times at which a process began a job after one.
func (r *Rig) since(i int, job string, at time.Time) (out []time.Time) {
	for _, l := range r.Procs[i].Log("event=owns ") {
		if t := logTime(l); field(l, "job") == job && !t.Before(at.Truncate(time.Millisecond)) {
			out = append(out, t)
		}
	}
	return out
}

func cpuOf(r *Rig, lasts time.Duration) []float64 {
	before := make([]time.Duration, len(r.Procs))
	for i, p := range r.Procs {
		before[i] = p.CPU()
	}
	time.Sleep(lasts)
	out := make([]float64, len(r.Procs))
	for i, p := range r.Procs {
		out[i] = float64(p.CPU()-before[i]) / float64(lasts)
	}
	return out
}

func rawSyncs(dir string) (took series, err error) {
	f, err := os.Create(filepath.Join(dir, "raw"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for range 200 {
		at := time.Now()
		if _, err := f.Write(make([]byte, 4096)); err != nil {
			return nil, err
		}
		if err := f.Sync(); err != nil {
			return nil, err
		}
		took = append(took, float64(time.Since(at))/1e6)
	}
	slices.Sort(took)
	return took, nil
}

// ownerDisk has each fault of a disk happen to each voter during a stream of commands.
func ownerDisk(e *Env, r *Report) error {
	const table = "faults of disks, each at each of three voters, during a stream of commands"
	r.Head(table, "fault", "turns", "commands answered", "lost", "as stated")
	kinds := []struct {
		name string
		does func(path string, copied []byte) error // to the file, while its process is down; nil: no room while it runs
		want string                                 // its phase or what its store says afterwards
	}{
		{"no room, then room again", nil, "member"},
		{"killed at any moment", func(string, []byte) error { return nil }, "member"},
		{"flipped bytes", func(path string, _ []byte) error { return spoil(path, false) }, ""},
		{"torn", func(path string, _ []byte) error { return spoil(path, true) }, "unreadable"},
		{"an older file put back", func(path string, copied []byte) error { return os.WriteFile(path, copied, 0o600) }, "stale"},
		{"lost", func(path string, _ []byte) error { return os.Remove(path) }, "outside"},
	}
	for _, k := range kinds {
		e.Say("%s", k.name)
		answered, lost, wrong := 0, 0, []string(nil)
		type turn struct {
			answered, lost int
			state          string
			err            error
		}
		var turns [3]turn
		var all sync.WaitGroup
		for victim := range turns {
			all.Add(1)
			go func() {
				defer all.Done()
				t := &turns[victim]
				t.answered, t.lost, t.state, t.err = diskTurn(e, victim, k.does)
			}()
		}
		all.Wait()
		for victim, t := range turns {
			a, l, state, err := t.answered, t.lost, t.state, t.err
			if err != nil {
				return fmt.Errorf("%s at n%d: %w", k.name, victim, err)
			}
			answered, lost = answered+a, lost+l
			if k.want != "" && !strings.Contains(state, k.want) || k.want == "" && !strings.Contains(state, "unreadable") && !strings.Contains(state, "member") {
				wrong = append(wrong, fmt.Sprintf("n%d: %s", victim, state))
			}
		}
		r.Row(table, k.name, 3, answered, lost, len(wrong) == 0)
		r.Hold(lost == 0 && answered > 30, k.name+": nothing that was answered is lost", fmt.Sprintf("%d of %d", lost, answered))
		r.Hold(len(wrong) == 0, k.name+": afterwards as stated", strings.Join(wrong, "; "))
	}
	return nil
}

func spoil(path string, tear bool) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if tear {
		return os.WriteFile(path, data[:len(data)/2], 0o600)
	}
	for i := range data {
		if i%97 == 13 && i > 8192 {
			data[i] ^= 0x5a
		}
	}
	return os.WriteFile(path, data, 0o600)
}

// diskTurn has a stream of commands go on while a voter's disk fails; afterwards what was answered has to be there.
func diskTurn(e *Env, victim int, does func(path string, copied []byte) error) (answered, lost int, state string, err error) {
	rig, err := NewRigWith(e, RigOptions{N: 5, Seed: 5, Key: labKey, Sections: ownersFile(3, true, "(hosts on)")})
	if err != nil {
		return 0, 0, "", err
	}
	defer rig.Close()
	if _, err := rig.AllOwned(1); err != nil {
		return 0, 0, "", err
	}
	stop := make(chan struct{})
	out := make(chan []string)
	var told atomic.Int64
	go func() {
		var done []string
		for i := 0; ; i++ {
			select {
			case <-stop:
				out <- done
				return
			default:
			}
			id := fmt.Sprintf("host%03d", i%200)
			if rep, err := rig.Owners(3+i%2, owners.Request{Do: "suspend", A: id}); err == nil && strings.HasPrefix(rep.Answer, "done") {
				done = append(done, id)
				told.Add(1)
			}
		}
	}()
	time.Sleep(time.Second)
	path := filepath.Join(rig.Dir(victim), "voter.db")
	copied, err := os.ReadFile(path)
	if err != nil {
		return 0, 0, "", err
	}
	// Else the copy is none of an older state.
	at := told.Load()
	if _, ok := Until(ownersWait, func() bool { return told.Load() >= at+10 }); !ok {
		return 0, 0, "", errors.New("no command is answered")
	}
	if does == nil {
		full, back := rig.Full(victim)
		if err := full(); err != nil {
			return 0, 0, "", err
		}
		time.Sleep(3 * time.Second)
		if err := back(); err != nil {
			return 0, 0, "", err
		}
	} else {
		rig.Procs[victim].Kill()
		if err := does(path, copied); err != nil {
			return 0, 0, "", err
		}
		if err := rig.Start(victim); err != nil {
			return 0, 0, "", err
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	done := <-out
	if _, err := rig.AllOwned(1); err != nil {
		return 0, 0, "", err
	}
	var list owners.Reply
	if _, ok := Until(ownersWait, func() bool {
		list, err = rig.Owners(4, owners.Request{Do: "list"})
		return err == nil && strings.HasPrefix(list.Answer, "out for the fleet")
	}); !ok {
		return 0, 0, "", fmt.Errorf("no list: %v %v", list, err)
	}
	have := strings.Fields(list.Answer)
	for _, id := range done {
		if !slices.Contains(have, id) {
			lost++
		}
	}
	rep, err := rig.Owners(victim, owners.Request{Do: "status"})
	if err != nil {
		return 0, 0, "", err
	}
	if state = rep.Store; rep.Group != nil {
		state += " " + rep.Group.Phase
	}
	return len(done), lost, state, nil
}
