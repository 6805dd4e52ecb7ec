package proxy

// shutdownSchedule holds the times of the steps of a shutdown, in nanoseconds since Core.Shutdown,
// which is called as soon as SIGTERM arrives.
type shutdownSchedule struct {
	migrateFrom int64 // when the migration of open connections and the ending of idle downstreams start
	migrateBy   int64 // when all have been migrated; connections established later are migrated at once
	answerBy    int64 // when each pending request gets its answer and no attempt starts any more
	exitBy      int64 // when the process ends
}

// newShutdownSchedule derives the schedule from the longest deadline of all classes, in
// nanoseconds. handedOver reports whether another process accepts clients, so that this one gets no
// new connections.
func newShutdownSchedule(longestDeadline int64, handedOver bool) shutdownSchedule {
	kill := min(longestDeadline, int64(maxGrantedDeadline)) + int64(killGrace)
	s := shutdownSchedule{answerBy: kill - int64(answerMargin), exitBy: kill - int64(exitMargin)}
	span := int64(migrationSpan)
	if handedOver {
		span = int64(handoverSpan)
	} else {
		s.migrateFrom = min(int64(newConnectionWindow), s.answerBy/2)
	}
	s.migrateBy = min(s.migrateFrom+span, s.answerBy)
	return s
}

// migrationsDue returns how many of total open connections must have been migrated when elapsed
// nanoseconds have passed.
func (s shutdownSchedule) migrationsDue(total int, elapsed int64) int {
	switch {
	case elapsed >= s.migrateBy:
		return total
	case elapsed <= s.migrateFrom:
		return 0
	}
	return int(int64(total) * (elapsed - s.migrateFrom) / (s.migrateBy - s.migrateFrom))
}
