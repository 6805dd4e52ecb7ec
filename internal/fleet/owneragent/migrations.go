package owneragent

import "croftlock/internal/fleet/jobs"

// addMigrationJob adds the pacer and its job. It is called before the worker starts.
func (a *Agent) addMigrationJob(fleetSize int) {
	rate := float64(a.options.MigrationRate)
	a.jobs.add(migrationsJob, &jobs.MigrationPermits{Rate: rate, FleetSize: fleetSize})
	a.migrationPacer = &jobs.MigrationPacer{Rate: rate, FleetSize: fleetSize}
	source := a.queries.newSource(func(tag uint64, body []byte) { a.migrationPacer.ReplyReceived(a.now(), tag, body) })
	a.migrationPacer.SendQuery = func(tag uint64, body []byte) { a.queries.send(source, migrationsJob, tag, body) }
}

// RequestMigrations requests permits to migrate up to want clients now. It calls done on the loop
// with the number allowed, or at once with want if the rate of migrations is not limited. Once the
// agent has stopped, as in the old process of a hot restart, it allows what a process may migrate
// without permits of the job's owner. done is not called if the worker's inbox is full or the agent
// is about to stop.
func (a *Agent) RequestMigrations(want int, done func(allowed int)) {
	if a == nil || a.migrationPacer == nil {
		done(want)
		return
	}
	if a.worker.stopped() {
		done(a.migrationPacer.Allow(a.now(), want)) // only the loop uses the pacer now
		return
	}
	a.worker.post(func() {
		allowed := a.migrationPacer.Allow(a.now(), want)
		a.loop.Post(func() { done(allowed) })
	})
}

// PacesMigrations reports whether the rate of migrations is limited.
func (a *Agent) PacesMigrations() bool { return a != nil && a.migrationPacer != nil }
