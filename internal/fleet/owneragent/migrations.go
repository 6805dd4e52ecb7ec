package owneragent

import "croftlock/internal/fleet/jobs"

func (a *Agent) addMigrationJob(fleetSize int) {
	rate := float64(a.options.MigrationRate)
	a.jobs.add(migrationsJob, &jobs.MigrationPermits{Rate: rate, FleetSize: fleetSize})
	a.migrationPacer = &jobs.MigrationPacer{Rate: rate, FleetSize: fleetSize}
	source := a.queries.newSource(func(tag uint64, body []byte) { a.migrationPacer.ReplyReceived(a.now(), tag, body) })
	a.migrationPacer.SendQuery = func(tag uint64, body []byte) { a.queries.send(source, migrationsJob, tag, body) }
}

// RequestMigrations requests how many of want clients may be migrated now. done is called with the number on the loop; at once where migrations are
// not paced.
func (a *Agent) RequestMigrations(want int, done func(allowed int)) {
	if a == nil || a.migrationPacer == nil {
		done(want)
		return
	}
	a.worker.post(func() {
		allowed := a.migrationPacer.Allow(a.now(), want)
		a.loop.Post(func() { done(allowed) })
	})
}

// PacesMigrations reports whether migrations are paced.
func (a *Agent) PacesMigrations() bool { return a != nil && a.migrationPacer != nil }
