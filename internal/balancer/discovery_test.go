package balancer

import "testing"

// checkPollsAfterFailures makes the discovery service fail the given number of times, and advances
// the clock by wait after each failure. It checks that the balancer polls the discovery service
// again at most within after each failure.
func checkPollsAfterFailures(t *testing.T, cfg Config, failures int, within, wait Time) {
	t.Helper()
	f := start(t, cfg, fleet(3)...)
	f.run(cfg.PollInterval)
	for range failures {
		polls, failedAt := len(f.watches), f.now
		f.b.ListReceived(f.now, ListFailed, nil)
		f.run(wait)
		if len(f.watches) == polls || f.watches[polls]-failedAt > within {
			t.Fatalf("%d balancers with a poll interval of %d s: no poll within %d ms of a failure",
				cfg.Instances, cfg.PollInterval/sec, within/ms)
		}
	}
}

// TestFailedPollIsRepeatedInTime checks that a failed poll is repeated within 5 s, however long the
// settings allow between two polls: a balancer is expected to know of a change 6 s after the
// discovery service is available again.
func TestFailedPollIsRepeatedInTime(t *testing.T) {
	for _, interval := range []Time{10 * sec, 20 * sec, 60 * sec} {
		for _, instances := range []int{1, 30, 300} {
			cfg := settings()
			cfg.PollsDiscovery, cfg.PollInterval, cfg.Instances = true, interval, instances
			checkPollsAfterFailures(t, cfg, 20, 5*sec, 6*sec)
		}
	}
}

// TestSmallFleetHasTimeForSecondPoll checks that 6 balancers poll often enough for two polls within
// the time after which a balancer is expected to know of a change. The first poll after a long
// outage may find the discovery service overloaded.
func TestSmallFleetHasTimeForSecondPoll(t *testing.T) {
	cfg := settings()
	cfg.PollsDiscovery, cfg.PollInterval, cfg.Instances = true, 10*sec, 6
	checkPollsAfterFailures(t, cfg, 12, 3*sec/2, 2*sec)
}
