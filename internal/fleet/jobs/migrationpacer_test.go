package jobs

import (
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	pacedProxies = 8
	fleetRate    = 40.0 // migrations per second
)

// delayedMessage is a message in flight.
type delayedMessage struct {
	at      Time
	deliver func(now Time)
}

// pacedFleet simulates proxies that migrate clients as fast as they are allowed to. Its network
// loses a fifth of the messages and delays the others by up to 300 ms.
type pacedFleet struct {
	rng      *rand.Rand
	now      Time
	pacers   [pacedProxies]*MigrationPacer
	cut      [pacedProxies]bool // proxies whose queries are lost
	owner    *MigrationPermits  // nil if there is no owner
	replies  replyOwner
	inFlight []delayedMessage
	migrated []Time // time of each migration, in order
}

// newPacedFleet returns a fleet of pacedProxies proxies without an owner, at 1 ns of its virtual
// clock. The seed determines the faults and delays.
func newPacedFleet(seed uint64) *pacedFleet {
	f := &pacedFleet{rng: rand.New(rand.NewPCG(seed, 1)), now: 1}
	for i := range f.pacers {
		f.pacers[i] = &MigrationPacer{Rate: fleetRate, FleetSize: pacedProxies}
		f.pacers[i].SendQuery = func(tag uint64, body []byte) {
			f.send(func(now Time) { f.query(now, i, tag, body) })
		}
	}
	return f
}

// send delivers a message after a random delay of up to 300 ms, or loses it with probability 0.2.
func (f *pacedFleet) send(deliver func(now Time)) {
	if f.rng.Float64() < 0.8 {
		f.inFlight = append(f.inFlight, delayedMessage{at: f.now + f.rng.Int64N(300*ms), deliver: deliver})
	}
}

// query passes a proxy's query to the owner, and sends back the reply.
func (f *pacedFleet) query(now Time, proxy int, tag uint64, body []byte) {
	if f.owner == nil || f.cut[proxy] {
		return
	}
	f.replies.reply = func(b []byte) {
		answer := slices.Clone(b)
		f.send(func(now Time) { f.pacers[proxy].ReplyReceived(now, tag, answer) })
	}
	f.owner.QueryReceived(now, uint32(proxy), tag, body)
}

// step replaces or removes the owner or cuts a link at random, delivers the messages that are due,
// and migrates as many clients as each proxy is allowed to.
func (f *pacedFleet) step() {
	if f.rng.IntN(150) == 0 {
		if f.owner = nil; f.rng.IntN(2) == 0 {
			f.owner = &MigrationPermits{Rate: fleetRate, FleetSize: pacedProxies}
			f.owner.Start(f.now, &f.replies, 1, 1, nil)
		}
	}
	if f.rng.IntN(200) == 0 {
		i := f.rng.IntN(pacedProxies)
		f.cut[i] = !f.cut[i]
	}
	for i := 0; i < len(f.inFlight); i++ {
		if message := f.inFlight[i]; message.at <= f.now {
			f.inFlight = slices.Delete(f.inFlight, i, i+1)
			i--
			message.deliver(f.now)
		}
	}
	for i := range f.pacers {
		for range f.pacers[i].Allow(f.now, 5) {
			f.migrated = append(f.migrated, f.now)
		}
	}
}

// maxMigrationsIn returns the maximum number of migrations in any period of this length.
func (f *pacedFleet) maxMigrationsIn(period Time) (most int) {
	for i, j := 0, 0; i < len(f.migrated); i++ {
		for f.migrated[i]-f.migrated[j] > period {
			j++
		}
		most = max(most, i-j+1)
	}
	return most
}

// TestRateIsKept checks the fleet-wide rate while owners change, messages are lost and permits are
// used late. The bound for 2 s is the rate, plus the permits of one lifetime, which an earlier owner
// may have granted, plus a full bucket, plus one migration that each proxy has accumulated.
func TestRateIsKept(t *testing.T) {
	for seed := range uint64(60) {
		f := newPacedFleet(seed)
		for ; f.now < 60*sec; f.now += 20 * ms {
			f.step()
		}
		bound := 2*fleetRate + fleetRate*float64(permitLifetime)/float64(sec) + fleetRate/4 + pacedProxies
		if n := f.maxMigrationsIn(2 * sec); float64(n) > bound {
			t.Fatalf("seed %d: %d migrations within 2 s, want at most %.0f", seed, n, bound)
		}
		if len(f.migrated) < 60*int(fleetRate)/4 {
			t.Fatalf("seed %d: %d migrations in a minute, want %d or more, a quarter of the rate", seed, len(f.migrated), 60*int(fleetRate)/4)
		}
	}
}

// replyOwner implements an Owner whose only effect is to reply.
type replyOwner struct{ reply func([]byte) }

func (r *replyOwner) SendEffect(uint32, uint64, []byte) {}

func (r *replyOwner) StoreCheckpoint(uint64, []byte) error { return nil }

func (r *replyOwner) Reply(_ uint32, _ uint64, body []byte) { r.reply(body) }

func (r *replyOwner) Members() []Member { return nil }

// TestRateWithoutOwner checks that a proxy without an owner keeps to its share of the rate.
func TestRateWithoutOwner(t *testing.T) {
	p := &MigrationPacer{Rate: 10, FleetSize: 5}
	migrations := 0
	for now := Time(1); now < 10*sec; now += 20 * ms {
		migrations += p.Allow(now, 3)
	}
	if migrations < 18 || migrations > 21 {
		t.Errorf("%d migrations in 10 s, want 18 to 21: the share is 20", migrations)
	}
}
