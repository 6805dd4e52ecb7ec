package jobs

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestPaceIsKept: through owners that come and go, lost answers and permits that are kept back, all proxies together send no more clients away than the
// pace lets, and what was handed out in one expiry.
func TestPaceIsKept(t *testing.T) {
	const proxies, pace = 8, 40.0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var ps [proxies]*MigrationPacer
		type word struct {
			at Time
			do func(now Time)
		}
		var words []word
		var owner *MigrationPermits
		now := Time(1)
		var sink answerSink
		later := func(do func(now Time)) {
			if rng.Float64() < 0.8 {
				words = append(words, word{at: now + rng.Int64N(300*ms), do: do})
			}
		}
		cut := [proxies]bool{}
		for i := range ps {
			ps[i] = &MigrationPacer{Rate: pace, FleetSize: proxies}
			ps[i].SendQuery = func(tag uint64, body []byte) {
				later(func(now Time) {
					if owner == nil || cut[i] {
						return
					}
					o := owner
					sink.f = func(b []byte) {
						answer := slices.Clone(b)
						later(func(now Time) { ps[i].ReplyReceived(now, tag, answer) })
					}
					o.QueryReceived(now, uint32(i), tag, body)
				})
			}
		}
		moved := []Time{}
		for ; now < 60*sec; now += 20 * ms {
			if rng.IntN(150) == 0 {
				if owner = nil; rng.IntN(2) == 0 {
					owner = &MigrationPermits{Rate: pace, FleetSize: proxies}
					owner.Start(now, &sink, 1, 1, nil)
				}
			}
			if rng.IntN(200) == 0 {
				i := rng.IntN(proxies)
				cut[i] = !cut[i]
			}
			for k := 0; k < len(words); k++ {
				if w := words[k]; w.at <= now {
					words = slices.Delete(words, k, k+1)
					k--
					w.do(now)
				}
			}
			for i := range ps {
				for range ps[i].Allow(now, 5) {
					moved = append(moved, now)
				}
			}
		}
		// Over any two seconds: the pace, and what an owner may have handed out in the second before.
		for i, j := 0, 0; i < len(moved); i++ {
			for moved[i]-moved[j] > 2*sec {
				j++
			}
			if n := i - j + 1; float64(n) > 2*pace+pace*float64(permitLifetime)/float64(sec)+pace/4+proxies {
				t.Fatalf("seed %d: %d in two seconds, at a pace of %.0f a second", seed, n, pace)
			}
		}
		if len(moved) < 60*int(pace)/4 {
			t.Fatalf("seed %d: %d in a minute: hardly any", seed, len(moved))
		}
	}
}

type answerSink struct{ f func([]byte) }

func (s *answerSink) SendEffect(uint32, uint64, []byte) {}

func (s *answerSink) StoreCheckpoint(uint64, []byte) error { return nil }

func (s *answerSink) Reply(_ uint32, _ uint64, body []byte) { s.f(body) }

func (s *answerSink) Members() []Member { return nil }

// TestPaceWithoutOwner: alone, a proxy keeps to its share.
func TestPaceWithoutOwner(t *testing.T) {
	p := &MigrationPacer{Rate: 10, FleetSize: 5}
	n := 0
	for now := Time(1); now < 10*sec; now += 20 * ms {
		n += p.Allow(now, 3)
	}
	if n < 18 || n > 21 {
		t.Errorf("%d in ten seconds, its share is 20", n)
	}
}
