package certexpiry

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1.8e9, 0)

// play runs a planner second by second and gives when each connection was migrated.
func simulate(p *Planner, conns []Conn, seconds int, wall func(s int) time.Time) map[string]int {
	migrated := map[string]int{}
	for s := range seconds {
		var open []Conn
		for _, c := range conns {
			if _, gone := migrated[c.ID]; gone {
				c = Conn{ID: c.ID + "'"} // its client came back, and has a connection without a certificate
			}
			open = append(open, c)
		}
		for _, id := range p.Plan(int64(s)*1e9, wall(s), open) {
			migrated[id] = s
		}
	}
	return migrated
}

// fleet is n connections with one certificate.
func connections(n int, ends time.Time) []Conn {
	var out []Conn
	for i := range n {
		out = append(out, Conn{fmt.Sprintf("%016x", i), ends})
	}
	return out
}

// running is a wall clock without steps.
func steadyClock(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

// perMinute is the most that was migrated in any minute.
func maxPerMinute(migrated map[string]int, seconds int) int {
	most := 0
	for from := 0; from < seconds; from++ {
		n := 0
		for _, s := range migrated {
			if s >= from && s < from+60 {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// All connections of a host end together: with time enough all are migrated before the end, spread, within the share.
func TestMigratedBeforeTheEnd(t *testing.T) {
	p := New(Policy{MigrationEnabled: true, Before: 20 * time.Minute, MaxSharePerMinute: 0.2})
	migrated := simulate(p, connections(400, start.Add(30*time.Minute)), 1900, steadyClock)
	first, last := 1<<30, 0
	for _, s := range migrated {
		first, last = min(first, s), max(last, s)
	}
	if len(migrated) != 400 || first < 600 || last >= 1800 {
		t.Errorf("%d migrated from %d s to %d s; they end at 1800", len(migrated), first, last)
	}
	if most := maxPerMinute(migrated, 1900); most > 60 {
		t.Errorf("%d migrated in one minute: they are not spread", most)
	}
}

// A clock that steps a year ahead makes everything due at once. No more than the share may go, and none once it is back.
func TestClockStep(t *testing.T) {
	p := New(Policy{MigrationEnabled: true, Before: 10 * time.Minute, MaxSharePerMinute: 0.05})
	migrated := simulate(p, connections(1000, start.Add(100*24*time.Hour)), 400, func(s int) time.Time {
		if s >= 100 && s < 220 {
			return steadyClock(s).AddDate(1, 0, 0)
		}
		return steadyClock(s)
	})
	for id, s := range migrated {
		if s < 100 || s >= 220 {
			t.Errorf("%s was migrated at %d", id, s)
		}
	}
	if most := maxPerMinute(migrated, 400); most > 53 || len(migrated) < 80 {
		t.Errorf("%d migrated in one minute, %d in all", most, len(migrated))
	}
}

// Nothing migrates where migration is off; of a few connections each migrates in the end, and one without a certificate never.
func TestOffAndFew(t *testing.T) {
	if migrated := simulate(New(Policy{Before: time.Hour, MaxSharePerMinute: 1}), connections(10, start), 100, steadyClock); len(migrated) > 0 {
		t.Errorf("migrated %v although migration is off", migrated)
	}
	// One in a hundred a minute of three: each still gets its turn, late.
	migrated := simulate(New(Policy{MigrationEnabled: true, Before: time.Minute, MaxSharePerMinute: 0.01}), connections(3, start.Add(time.Minute)), 20000, steadyClock)
	if len(migrated) != 3 {
		t.Errorf("migrated %v", migrated)
	}
	if migrated := simulate(New(Policy{MigrationEnabled: true, Before: time.Minute, MaxSharePerMinute: 1}), []Conn{{ID: "plain"}}, 10, steadyClock); len(migrated) > 0 {
		t.Error("a connection without a certificate was migrated")
	}
}
