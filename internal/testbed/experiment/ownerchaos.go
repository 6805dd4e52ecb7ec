package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"croftlock/internal/testbed/fake"
)

// chaosJobs is the number of jobs on the rig: 20 drills, which are jobs for tests
// alone, and the job for suspended hosts.
const chaosJobs = 21

// ownerChaos compares placements without faults with those during one fault every 2 s, for two minutes
// each and at a constant rate of clients.
func ownerChaos(e *Env, r *Report) error {
	c := &chaosRun{env: e, report: r, duration: 120 * time.Second, clientRate: 200}
	r.StartTable(chaosTable, "run", "clients", "served", "failed", "p50 ms", "p99 ms")
	if err := c.runWithoutFaults(); err != nil {
		return err
	}
	return c.runWithFaults()
}

// chaosTable is the title of the table with one row for each run.
const chaosTable = "placements at a constant rate of clients"

// chaosRun runs the experiment on a rig without faults, then on one with faults.
type chaosRun struct {
	env         *Env
	report      *Report
	duration    time.Duration // of the load, and of the faults if any
	clientRate  float64       // clients a second
	baselineP99 float64       // 99th percentile of the milliseconds until a placement, without faults
}

// newRig starts five processes, of which the first three are replicas, and waits until all jobs have
// owners.
func (c *chaosRun) newRig() (*Rig, error) {
	hosts, err := newUpstreams(c.env, 3, false)
	if err != nil {
		return nil, err
	}
	rig, err := NewRigWithOptions(c.env, RigOptions{Processes: 5, Seed: 7, Key: sealKey, LogLevel: "debug", Upstreams: hosts, SettingsSections: ownersSection(3, true, "(drill 20) (hosts on)")})
	if err != nil {
		return nil, err
	}
	if _, err := rig.AwaitJobsOwned(chaosJobs); err != nil {
		rig.Close()
		return nil, err
	}
	return rig, nil
}

// runWithoutFaults measures the baseline of placements.
func (c *chaosRun) runWithoutFaults() error {
	rig, err := c.newRig()
	if err != nil {
		return err
	}
	defer rig.Close()
	answers := c.placeClients(rig)
	c.baselineP99 = answers.milliseconds.quantile(0.99)
	c.addRow("no faults", answers)
	return nil
}

// runWithFaults places clients while faults are injected and operators make calls.
func (c *chaosRun) runWithFaults() error {
	rig, err := c.newRig()
	if err != nil {
		return err
	}
	defer rig.Close()
	history := &operatorHistory{rig: rig, stopping: make(chan struct{})}
	faultsEnded := make(chan struct{})
	go func() {
		defer close(faultsEnded)
		history.injectFaults(rand.New(rand.NewPCG(11, 11)), c.duration)
	}()
	history.startCallers(3)
	answers := c.placeClients(rig)
	<-faultsEnded
	c.addRow("a fault every 2 s", answers)
	failed, p99 := answers.total()-answers.count("UP"), answers.milliseconds.quantile(0.99)
	c.report.Check(failed == 0, "no client fails during the faults", failed)
	c.report.Check(p99 <= 1.1*c.baselineP99, "p99 of placement within a tenth of the run without faults", fmt.Sprintf("%.2f, %.2f ms", p99, c.baselineP99))
	if _, err := rig.AwaitJobsOwned(chaosJobs); err != nil {
		return err
	}
	history.stopCallers()
	c.checkGuarantees(rig, history)
	return nil
}

// placeClients opens connections at c.clientRate, each for a second. It uses only the processes without
// faults, since a proxy that dies ends its own clients' connections, whoever the owners are.
func (c *chaosRun) placeClients(rig *Rig) *answerCounts {
	const wait = 2 * time.Second
	answers := newAnswerCounts()
	var next atomic.Int64
	openLoop(c.clientRate, c.duration, func(int) {
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

// addRow adds a run's answers to the table.
func (c *chaosRun) addRow(name string, answers *answerCounts) {
	total, served := answers.total(), answers.count("UP")
	c.report.AddRow(chaosTable, name, total, served, total-served, answers.milliseconds.quantile(0.5), answers.milliseconds.quantile(0.99))
}

// checkGuarantees checks the guarantees of job ownership against the logs and the history of operators'
// calls.
func (c *chaosRun) checkGuarantees(rig *Rig, history *operatorHistory) {
	r := c.report
	stale, rejected := rig.staleEffects()
	r.Check(stale == 0, "no effect of an older token is accepted after a newer one's", fmt.Sprintf("%d; %d rejected", stale, rejected))
	err := rig.CheckTokens()
	r.Check(err == nil, "no token belongs to two processes", err)
	ok, calls, unknown := history.check()
	r.Check(ok && calls > 20, "the history of suspended hosts is linearizable", fmt.Sprintf("%d calls, %d of them unknown, %d faults", calls, unknown, history.faultCount))
	gaps := rig.effectGaps()
	if count := len(gaps); count > 0 {
		p99 := gaps[count*99/100]
		r.Check(p99 <= 5*time.Second, "a job without an owner for no more than 5 s at p99", fmt.Sprintf("median %v, p99 %v, worst %v of %d",
			gaps[count/2].Round(time.Millisecond), p99.Round(time.Millisecond), gaps[count-1].Round(time.Millisecond), count))
	}
}
