package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"croftlock/internal/testbed/fake"
)

// chaosJobs is the number of jobs of the rig: twenty drills, and that of the suspended hosts.
const chaosJobs = 21

// ownerChaos plays a fault every 2 s for two minutes, under a constant load of clients.
func ownerChaos(e *Env, r *Report) error {
	c := &chaosRun{env: e, report: r, lasts: 120 * time.Second, rate: 200}
	r.StartTable(chaosTable, "run", "clients", "served", "failed", "p50 ms", "p99 ms")
	if err := c.withoutFaults(); err != nil {
		return err
	}
	return c.withFaults()
}

const chaosTable = "placements at a constant rate of clients"

// chaosRun is the experiment: on a rig without faults, then on one with faults.
type chaosRun struct {
	env         *Env
	report      *Report
	lasts       time.Duration
	rate        float64 // clients a second
	baselineP99 float64 // of a placement without faults, milliseconds
}

// newRig starts five processes, three of them replicas.
func (c *chaosRun) newRig() (*Rig, error) {
	f, err := newUpstreams(c.env, 3, false)
	if err != nil {
		return nil, err
	}
	rig, err := NewRigWithOptions(c.env, RigOptions{Processes: 5, Seed: 7, Key: sealKey, LogLevel: "debug", Upstreams: f, SettingsSections: ownersSection(3, true, "(drill 20) (hosts on)")})
	if err != nil {
		return nil, err
	}
	if _, err := rig.AwaitJobsOwned(chaosJobs); err != nil {
		rig.Close()
		return nil, err
	}
	return rig, nil
}

// withoutFaults places clients without faults.
func (c *chaosRun) withoutFaults() error {
	rig, err := c.newRig()
	if err != nil {
		return err
	}
	defer rig.Close()
	answers := c.placements(rig)
	c.baselineP99 = answers.milliseconds.quantile(0.99)
	c.row("no faults", answers)
	return nil
}

// withFaults places clients while faults happen and operators call.
func (c *chaosRun) withFaults() error {
	rig, err := c.newRig()
	if err != nil {
		return err
	}
	defer rig.Close()
	h := &operatorHistory{rig: rig, stopping: make(chan struct{})}
	faultsEnded := make(chan struct{})
	go func() {
		defer close(faultsEnded)
		h.playFaults(rand.New(rand.NewPCG(11, 11)), c.lasts)
	}()
	h.startCallers(3)
	answers := c.placements(rig)
	<-faultsEnded
	c.row("a fault every 2 s", answers)
	failed, p99 := answers.total()-answers.count("UP"), answers.milliseconds.quantile(0.99)
	c.report.Check(failed == 0, "no client fails during the faults", failed)
	c.report.Check(p99 <= 1.1*c.baselineP99, "p99 of placement within a tenth of the run without faults", fmt.Sprintf("%.2f, %.2f ms", p99, c.baselineP99))
	if _, err := rig.AwaitJobsOwned(chaosJobs); err != nil {
		return err
	}
	h.stopCallers()
	c.check(rig, h)
	return nil
}

// placements opens connections at the rate, each for a second, at the processes that get no faults: what the death of a proxy does to its
// own clients has nothing to do with owners.
func (c *chaosRun) placements(rig *Rig) *answerCounts {
	const wait = 2 * time.Second
	answers := newAnswerCounts()
	var next atomic.Int64
	openLoop(c.rate, c.lasts, func(int) {
		p := rig.Procs[3+int(next.Add(1))%2]
		client, a, err := fake.Open(p.Addr, requestClass, "", wait)
		if err != nil {
			a.Kind = "NONE"
		}
		answers.add(a, wait)
		if client != nil {
			time.Sleep(time.Second)
			client.Close()
		}
	})
	return answers
}

func (c *chaosRun) row(name string, answers *answerCounts) {
	total, served := answers.total(), answers.count("UP")
	c.report.AddRow(chaosTable, name, total, served, total-served, answers.milliseconds.quantile(0.5), answers.milliseconds.quantile(0.99))
}

// check checks the owners' guarantees against the logs and the history of operators' calls.
func (c *chaosRun) check(rig *Rig, h *operatorHistory) {
	r := c.report
	stale, rejected := rig.staleEffects()
	r.Check(stale == 0, "no effect of an older token is accepted after a newer one's", fmt.Sprintf("%d; %d rejected", stale, rejected))
	err := rig.CheckTokens()
	r.Check(err == nil, "no token belongs to two processes", err)
	ok, calls, unknown := h.check()
	r.Check(ok && calls > 20, "the history of suspended hosts is linearizable", fmt.Sprintf("%d calls, %d of them unknown, %d faults", calls, unknown, h.faultCount))
	gaps := rig.effectGaps()
	if n := len(gaps); n > 0 {
		p99 := gaps[n*99/100]
		r.Check(p99 <= 5*time.Second, "a job without an owner for no more than 5 s at p99", fmt.Sprintf("median %v, p99 %v, worst %v of %d",
			gaps[n/2].Round(time.Millisecond), p99.Round(time.Millisecond), gaps[n-1].Round(time.Millisecond), n))
	}
}
