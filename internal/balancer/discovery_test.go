package balancer

import "testing"

// checkPollsAfterFailures has discovery fail so many times, each time for as long as wait, and checks that it is polled
// again within a time of each failure.
func checkPollsAfterFailures(t *testing.T, cfg Config, failures int, within, wait Time) {
	t.Helper()
	f := start(t, cfg, fleet(3)...)
	f.run(cfg.PollInterval)
	for range failures {
		polls, failedAt := len(f.watches), f.now
		f.b.ListReceived(f.now, ListFailed, nil)
		f.run(wait)
		if len(f.watches) == polls || f.watches[polls]-failedAt > within {
			t.Fatalf("%d balancers, a poll every %d s at least: no poll within %d ms of a failure",
				cfg.Instances, cfg.PollInterval/sec, within/ms)
		}
	}
}

// TestFailedPollIsRepeatedInTime: a change counts as known 6 s after discovery can be reached again, however
// long the settings allow between two polls.
func TestFailedPollIsRepeatedInTime(t *testing.T) {
	for _, interval := range []Time{10 * sec, 20 * sec, 60 * sec} {
		for _, instances := range []int{1, 30, 300} {
			cfg := settings()
			cfg.PollsDiscovery, cfg.PollInterval, cfg.Instances = true, interval, instances
			checkPollsAfterFailures(t, cfg, 20, 5*sec, 6*sec)
		}
	}
}

// TestSmallFleetHasTimeForSecondPoll: should the first poll after a long outage find discovery back but
// overloaded, there is time for another one before a change counts as known.
func TestSmallFleetHasTimeForSecondPoll(t *testing.T) {
	cfg := settings()
	cfg.PollsDiscovery, cfg.PollInterval, cfg.Instances = true, 10*sec, 6
	checkPollsAfterFailures(t, cfg, 12, 3*sec/2, 2*sec)
}
