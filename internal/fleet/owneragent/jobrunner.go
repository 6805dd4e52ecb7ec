package owneragent

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/ownership"
)

// Names of jobs, as the table and operators' commands have them.
const (
	hostsJob      = "hosts"
	migrationsJob = "moves"
	rulesJob      = "rules"
)

// jobRunner runs the jobs that this process can own. A panic of one releases it and leaves the others alone.
type jobRunner struct {
	agent   *Agent
	byName  map[string]jobs.Job
	names   []string          // sorted
	owned   map[string]uint64 // token of each job that runs here
	members []jobs.Member
}

func newJobRunner(a *Agent) *jobRunner {
	return &jobRunner{agent: a, byName: map[string]jobs.Job{}, owned: map[string]uint64{}}
}

// add adds a job, before the worker starts.
func (r *jobRunner) add(name string, job jobs.Job) {
	r.byName[name] = job
	if i, known := slices.BinarySearch(r.names, name); !known {
		r.names = slices.Insert(r.names, i, name)
	}
}

// step gives each job that is owned here its turn. Lease: the check comes before each one, since the one before may have taken long.
func (r *jobRunner) step(now int64) {
	for _, name := range r.names {
		if token, owns := r.owned[name]; owns && r.agent.core.IsOwner(now, name, token) {
			r.callJob(name, token, func(j jobs.Job) { j.Step(r.agent.now()) })
		}
	}
}

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

func (r *jobRunner) stop(name string, token uint64, reason ownership.ReleaseReason) (checkpointNumber uint64, checkpoint []byte) {
	delete(r.owned, name)
	slog.Info("job_released", "job", name, "token", token, "reason", reason.String())
	r.callJob(name, 0, func(j jobs.Job) { checkpointNumber, checkpoint = j.Stop() })
	return checkpointNumber, checkpoint
}

// callJob runs a job's code. A panic is logged, and releases the job if it is owned under token; token 0: the code is not an owner's.
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

// callOwnedJob is recoverJob for the owner's code of a job: it is not run where the job is not owned.
func (r *jobRunner) callOwnedJob(name string, f func(j jobs.Job)) {
	if token, owns := r.owned[name]; owns {
		r.callJob(name, token, f)
	}
}

func (a *Agent) addDrill(name string) {
	interval := time.Duration(max(minDrillIntervalMS, a.options.DrillIntervalMS)) * time.Millisecond
	a.jobs.add(name, &jobs.Drill{Interval: int64(interval), EffectReceived: func(token ownership.FencingToken) {
		slog.Debug("drill_taken", "job", name, "token", token.Token, "number", token.Sequence)
	}})
}

// jobOwner is what a job may do while it is owned here.
type jobOwner struct {
	agent *Agent
	job   string
	token uint64
}

// SendEffect sends an effect, unless the lease has ended.
func (o jobOwner) SendEffect(to uint32, number uint64, body []byte) {
	if !o.agent.core.IsOwner(o.agent.now(), o.job, o.token) {
		return
	}
	o.agent.counts.SentEffects++
	o.SendEffectUnchecked(to, number, body)
}

// SendEffectUnchecked is SendEffect without the check of the lease: with it drills show that receivers reject a stale owner.
func (o jobOwner) SendEffectUnchecked(to uint32, number uint64, body []byte) {
	o.agent.core.SendEffect(o.agent.now(), to, o.job, ownership.FencingToken{Token: o.token, Sequence: number}, body)
}

// StoreCheckpoint has a checkpoint stored by the group.
func (o jobOwner) StoreCheckpoint(number uint64, checkpoint []byte) error {
	return o.agent.core.StoreCheckpoint(o.agent.now(), o.job, o.token, number, checkpoint)
}

// Reply answers a query.
func (o jobOwner) Reply(to uint32, tag uint64, body []byte) {
	o.agent.core.Reply(o.agent.now(), to, tag, body)
}

// Members are those that have not left the fleet.
func (o jobOwner) Members() []jobs.Member { return o.agent.jobs.members }
