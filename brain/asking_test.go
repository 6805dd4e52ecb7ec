package brain

import "testing"

// What discovery has counts as told 6 s after it can be reached again, whatever the settings allow between two calls: half of a
// minute passed between them where a proxy need only ask once a minute.
func TestAFailedCallIsMadeAgainBeforeItsNewsCountsAsTold(t *testing.T) {
	for _, within := range []Time{10 * sec, 20 * sec, 60 * sec} {
		for _, peers := range []int{1, 30, 300} {
			cfg := settings()
			cfg.Ask, cfg.AskWithin, cfg.Peers = true, within, peers
			f := start(t, cfg, fleet(3)...)
			f.run(within)
			for range 20 {
				asked, failed := len(f.watches), f.now
				f.b.Members(f.now, ListFailed, 0, nil)
				f.run(6 * sec)
				if len(f.watches) == asked || f.watches[asked]-failed > 5*sec {
					t.Fatalf("asked within %d s, %d proxies: not asked again in 5 s", within/sec, peers)
				}
			}
		}
	}
}
