package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"croftlock/internal/testbed/fake"
)

// chaosJobs are the jobs of the rig: twenty drills, and that of the suspended hosts.
const chaosJobs = 21

// ownerChaos has a fault every 2 s for two minutes, with clients placed throughout.
func ownerChaos(e *Env, r *Report) error {
	c := &chaosRun{env: e, report: r, lasts: 120 * time.Second, rate: 200}
	r.Columns(chaosTable, "run", "clients", "served", "failed", "p50 ms", "p99 ms")
	if err := c.quiet(); err != nil {
		return err
	}
	return c.withFaults()
}

const chaosTable = "placement, clients at a rate throughout"

// chaosRun is the experiment on a rig without faults, then on one with.
type chaosRun struct {
	env      *Env
	report   *Report
	lasts    time.Duration
	rate     float64 // clients a second
	quietP99 float64 // milliseconds of a placement without faults
}

// newRig starts five processes of which three vote.
func (c *chaosRun) newRig() (*Rig, error) {
	f, err := newUpstreams(c.env, 3, false)
	if err != nil {
		return nil, err
	}
	rig, err := NewRigWith(c.env, RigOptions{Processes: 5, Seed: 7, Key: sealKey, Level: "debug", Upstreams: f, Sections: ownersFile(3, true, "(drill 20) (hosts on)")})
	if err != nil {
		return nil, err
	}
	if _, err := rig.AllOwned(chaosJobs); err != nil {
		rig.Close()
		return nil, err
	}
	return rig, nil
}

// quiet places clients without faults.
func (c *chaosRun) quiet() error {
	rig, err := c.newRig()
	if err != nil {
		return err
	}
	defer rig.Close()
	got := c.placements(rig)
	c.quietP99 = got.milliseconds.quantile(0.99)
	c.row("no faults", got)
	return nil
}

// withFaults places clients while faults happen and operators call.
func (c *chaosRun) withFaults() error {
	rig, err := c.newRig()
	if err != nil {
		return err
	}
	defer rig.Close()
	h := &operatorHistory{rig: rig, stop: make(chan struct{})}
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		h.playFaults(rand.New(rand.NewPCG(11, 11)), c.lasts)
	}()
	h.startCallers(3)
	got := c.placements(rig)
	<-faults
	c.row("a fault every 2 s", got)
	failed, p99 := got.total()-got.count("UP"), got.milliseconds.quantile(0.99)
	c.report.Check(failed == 0, "no client fails by it", failed)
	c.report.Check(p99 <= 1.1*c.quietP99, "p99 of placement within a tenth of the run without faults", fmt.Sprintf("%.2f, %.2f ms", p99, c.quietP99))
	if _, err := rig.AllOwned(chaosJobs); err != nil {
		return err
	}
	h.end()
	c.check(rig, h)
	return nil
}

// placements has clients come at the rate, each for a second. They go to the processes that faults leave alone: the death of a proxy
// that carries clients is no matter of owners.
func (c *chaosRun) placements(rig *Rig) *answerCounts {
	const wait = 2 * time.Second
	got := newAnswerCounts()
	var next atomic.Int64
	openLoop(c.rate, c.lasts, func(int) {
		p := rig.Procs[3+int(next.Add(1))%2]
		client, a, err := fake.Open(p.Addr, requestClass, "", wait)
		if err != nil {
			a.Kind = "NONE"
		}
		got.add(a, wait)
		if client != nil {
			time.Sleep(time.Second)
			client.Close()
		}
	})
	return got
}

func (c *chaosRun) row(name string, got *answerCounts) {
	all, up := got.total(), got.count("UP")
	c.report.Row(chaosTable, name, all, up, all-up, got.milliseconds.quantile(0.5), got.milliseconds.quantile(0.99))
}

// check holds the logs and the operators' history against what owners promise.
func (c *chaosRun) check(rig *Rig, h *operatorHistory) {
	r := c.report
	stale, rejected := rig.staleEffects()
	r.Check(stale == 0, "no effect of an older token is taken after a newer one's", fmt.Sprintf("%d; %d refused", stale, rejected))
	err := rig.CheckTokens()
	r.Check(err == nil, "each token is one process's", err)
	ok, calls, unknown := h.check()
	r.Check(ok && calls > 20, "the history of hosts out by hand is linearizable", fmt.Sprintf("%d calls, %d of them unknown, %d faults", calls, unknown, h.faultCount))
	gaps := rig.effectGaps()
	if n := len(gaps); n > 0 {
		p99 := gaps[n*99/100]
		r.Check(p99 <= 5*time.Second, "a job without an owner for no more than 5 s at p99", fmt.Sprintf("median %v, p99 %v, worst %v of %d",
			gaps[n/2].Round(time.Millisecond), p99.Round(time.Millisecond), gaps[n-1].Round(time.Millisecond), n))
	}
}
