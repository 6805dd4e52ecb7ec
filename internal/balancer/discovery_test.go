package balancer

import "testing"

// A change counts as known 6 s after discovery can be reached again, however long the settings allow between two polls.
func TestFailedPollIsRepeatedInTime(t *testing.T) {
	for _, within := range []Time{10 * sec, 20 * sec, 60 * sec} {
		for _, peers := range []int{1, 30, 300} {
			cfg := settings()
			cfg.PollsDiscovery, cfg.PollInterval, cfg.Instances = true, within, peers
			f := start(t, cfg, fleet(3)...)
			f.run(within)
			for range 20 {
				asked, failed := len(f.watches), f.now
				f.b.ListReceived(f.now, ListFailed, nil)
				f.run(6 * sec)
				if len(f.watches) == asked || f.watches[asked]-failed > 5*sec {
					t.Fatalf("asked within %d s, %d proxies: not asked again in 5 s", within/sec, peers)
				}
			}
		}
	}
}

// After a long outage a small fleet pauses so briefly that, where a poll finds discovery back but overloaded, there is time for
// another one before a change counts as known.
func TestSmallFleetHasTimeForSecondPoll(t *testing.T) {
	cfg := settings()
	cfg.PollsDiscovery, cfg.PollInterval, cfg.Instances = true, 10*sec, 6
	f := start(t, cfg, fleet(3)...)
	f.run(cfg.PollInterval)
	for range 12 {
		asked, failed := len(f.watches), f.now
		f.b.ListReceived(f.now, ListFailed, nil)
		f.run(2 * sec)
		if len(f.watches) == asked || f.watches[asked]-failed > 3*sec/2 {
			t.Fatalf("not asked again within 1.5 s of a failure")
		}
	}
}
