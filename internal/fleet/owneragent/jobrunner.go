package owneragent

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// Names of jobs in the table and in operators' commands. They must not change.
const (
	hostsJob      = "hosts"
	migrationsJob = "moves"
	rulesJob      = "rules"
)

// jobRunner runs the jobs that this process can own. If a job panics, only that job is released. All
// methods except add run on the worker.
type jobRunner struct {
	agent   *Agent
	byName  map[string]jobs.Job
	names   []string          // keys of byName, sorted
	owned   map[string]uint64 // by name of the jobs that this process owns: the token of the ownership, which is never 0
	members []jobs.Member     // as of the last refreshView
}

func newJobRunner(a *Agent) *jobRunner {
	return &jobRunner{agent: a, byName: map[string]jobs.Job{}, owned: map[string]uint64{}}
}

// add adds a job. It must be called before the worker starts.
func (r *jobRunner) add(name string, job jobs.Job) {
	r.byName[name] = job
	if i, known := slices.BinarySearch(r.names, name); !known {
		r.names = slices.Insert(r.names, i, name)
	}
}

// step calls Step of each job that this process owns. It checks the lease before each job, since the
// step of the previous job may have taken long.
func (r *jobRunner) step(now int64) {
	for _, name := range r.names {
		if token, owns := r.owned[name]; owns && r.agent.core.IsOwner(now, name, token) {
			r.callJob(name, token, func(j jobs.Job) { j.Step(r.agent.now()) })
		}
	}
}

// start starts a job as its owner under a token, which is higher than that of each earlier owner. It
// returns an error if the job is unknown, fails to start or panics.
func (r *jobRunner) start(name string, token, checkpointNumber uint64, checkpoint []byte) (err error) {
	job := r.byName[name]
	if job == nil {
		return fmt.Errorf("this process knows no job %q", name)
	}
	defer func() {
		if p := recover(); p != nil {
			r.agent.counts.JobPanics++
			err = fmt.Errorf("%v", p)
		}
	}()
	if err := job.Start(r.agent.now(), jobOwner{r.agent, name, token}, token, checkpointNumber, checkpoint); err != nil {
		return err
	}
	r.owned[name] = token
	slog.Info("job_acquired", "job", name, "token", token)
	return nil
}

// stop stops a job and returns its last checkpoint, or 0 and nil if the job panics.
func (r *jobRunner) stop(name string, token uint64, reason ownership.ReleaseReason) (checkpointNumber uint64, checkpoint []byte) {
	delete(r.owned, name)
	slog.Info("job_released", "job", name, "token", token, "reason", reason.String())
	r.callJob(name, 0, func(j jobs.Job) { checkpointNumber, checkpoint = j.Stop() })
	return checkpointNumber, checkpoint
}

// callJob calls f with a job, or does nothing if the job is unknown. If f panics, the panic is counted
// and logged, and the job is released if this process owns it under token. With a zero token the job
// is not released: f does not run the owner's part, or the job is being stopped.
func (r *jobRunner) callJob(name string, token uint64, f func(j jobs.Job)) {
	defer func() {
		if p := recover(); p != nil {
			r.agent.counts.JobPanics++
			slog.Error("job_failed", "job", name, "reason", p)
			if r.owned[name] == token && token != 0 {
				r.agent.core.JobFailed(r.agent.now(), name, token, fmt.Sprint(p))
			}
		}
	}()
	if job := r.byName[name]; job != nil {
		f(job)
	}
}

// callOwnedJob calls f with a job like callJob if this process owns the job. Otherwise it does
// nothing.
func (r *jobRunner) callOwnedJob(name string, f func(j jobs.Job)) {
	if token, owns := r.owned[name]; owns {
		r.callJob(name, token, f)
	}
}

// addDrill adds a drill. It is called before the worker starts.
func (a *Agent) addDrill(name string) {
	interval := time.Duration(max(minDrillIntervalMS, a.options.DrillIntervalMS)) * time.Millisecond
	a.jobs.add(name, &jobs.Drill{Interval: int64(interval), EffectReceived: func(token ownership.FencingToken) {
		slog.Debug("drill_taken", "job", name, "token", token.Token, "number", token.Sequence)
	}})
}

// jobOwner implements jobs.Owner for a job that this process owns under a token.
type jobOwner struct {
	agent *Agent
	job   string
	token uint64
}

// SendEffect sends an effect unless the lease has ended.
func (o jobOwner) SendEffect(to uint32, number uint64, body []byte) {
	if !o.agent.core.IsOwner(o.agent.now(), o.job, o.token) {
		return
	}
	o.agent.counts.SentEffects++
	o.SendEffectUnchecked(to, number, body)
}

// SendEffectUnchecked sends an effect without checking the lease. Drills use it to show that
// receivers reject the effects of a stale owner.
func (o jobOwner) SendEffectUnchecked(to uint32, number uint64, body []byte) {
	o.agent.core.SendEffect(o.agent.now(), to, o.job, ownership.FencingToken{Token: o.token, Sequence: number}, body)
}

// StoreCheckpoint asks the group to store a checkpoint.
func (o jobOwner) StoreCheckpoint(number uint64, checkpoint []byte) error {
	return o.agent.core.StoreCheckpoint(o.agent.now(), o.job, o.token, number, checkpoint)
}

// Reply replies to a query.
func (o jobOwner) Reply(to uint32, tag uint64, body []byte) {
	o.agent.core.Reply(o.agent.now(), to, tag, body)
}

// Members returns the members that have not left the fleet, this process included.
func (o jobOwner) Members() []jobs.Member { return o.agent.jobs.members }
