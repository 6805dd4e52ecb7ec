package balancer

import "testing"

// What discovery has counts as told 6 s after it can be reached again, whatever the settings allow between two calls: half of a
// minute passed between them where a proxy need only ask once a minute.
func TestFailedPollIsRepeatedInTime(t *testing.T) {
	for _, within := range []Time{10 * sec, 20 * sec, 60 * sec} {
		for _, peers := range []int{1, 30, 300} {
			cfg := settings()
			cfg.PollsDiscovery, cfg.PollInterval, cfg.Instances = true, within, peers
			f := start(t, cfg, fleet(3)...)
			f.run(within)
			for range 20 {
				asked, failed := len(f.watches), f.now
				f.b.ListReceived(f.now, ListFailed, 0, nil)
				f.run(6 * sec)
				if len(f.watches) == asked || f.watches[asked]-failed > 5*sec {
					t.Fatalf("asked within %d s, %d proxies: not asked again in 5 s", within/sec, peers)
				}
			}
		}
	}
}

// A long outage made the pauses of a small fleet up to 5 s long. The call that then found discovery back and crowded was told nothing, and
// there was no time left for another before the news counted as told.
func TestSmallFleetHasTimeForSecondPoll(t *testing.T) {
	cfg := settings()
	cfg.PollsDiscovery, cfg.PollInterval, cfg.Instances = true, 10*sec, 6
	f := start(t, cfg, fleet(3)...)
	f.run(cfg.PollInterval)
	for range 12 {
		asked, failed := len(f.watches), f.now
		f.b.ListReceived(f.now, ListFailed, 0, nil)
		f.run(2 * sec)
		if len(f.watches) == asked || f.watches[asked]-failed > 3*sec/2 {
			t.Fatalf("not asked again within 1.5 s of a failure")
		}
	}
}
