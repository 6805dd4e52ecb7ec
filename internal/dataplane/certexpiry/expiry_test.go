package certexpiry

import (
	"fmt"
	"testing"
	"time"
)

// start is the time of second 0 on the wall clock.
var start = time.Unix(1.8e9, 0)

// simulate calls Plan once per second, for the given number of seconds, and returns for each migrated
// connection the second of its migration, by ID. wall returns the wall clock's time in second s.
func simulate(p *Planner, conns []Conn, seconds int, wall func(s int) time.Time) map[string]int {
	migrated := map[string]int{}
	for s := range seconds {
		var open []Conn
		for _, c := range conns {
			if _, gone := migrated[c.ID]; gone {
				c = Conn{ID: c.ID + "'"} // the client has reconnected without a certificate
			}
			open = append(open, c)
		}
		for _, id := range p.Plan(int64(s)*1e9, wall(s), open) {
			migrated[id] = s
		}
	}
	return migrated
}

// connections returns n connections that share one certificate, which expires at notAfter.
func connections(n int, notAfter time.Time) []Conn {
	var conns []Conn
	for i := range n {
		conns = append(conns, Conn{fmt.Sprintf("%016x", i), notAfter})
	}
	return conns
}

// steadyClock returns the time s seconds after start on a wall clock that is not set.
func steadyClock(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

// maxPerMinute returns the maximum number of migrations in any 60 seconds. migrated is the result of
// simulate.
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

// All certificates expire together. Connections must all be migrated before that, spread over the
// time, and no faster than the share allows.
func TestMigratedBeforeTheEnd(t *testing.T) {
	p := New(Policy{MigrationEnabled: true, Before: 20 * time.Minute, MaxSharePerMinute: 0.2})
	migrated := simulate(p, connections(400, start.Add(30*time.Minute)), 1900, steadyClock)
	first, last := 1<<30, 0
	for _, s := range migrated {
		first, last = min(first, s), max(last, s)
	}
	if len(migrated) != 400 || first < 600 || last >= 1800 {
		t.Errorf("%d of 400 connections migrated from %d s to %d s, want all from 600 s to before 1800 s", len(migrated), first, last)
	}
	if most := maxPerMinute(migrated, 1900); most > 60 {
		t.Errorf("%d connections migrated in one minute, want at most 60", most)
	}
}

// A clock that steps a year ahead makes all connections due at once. At most the configured
// share may migrate per minute then, and none after the clock steps back.
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
			t.Errorf("%s migrated at %d s, want 100 s to before 220 s", id, s)
		}
	}
	if most := maxPerMinute(migrated, 400); most > 53 || len(migrated) < 80 {
		t.Errorf("%d connections migrated in one minute, want at most 53; %d migrated in all, want at least 80", most, len(migrated))
	}
}

// Nothing migrates if migration is off. Each of a few connections migrates eventually, and one
// without a certificate never does.
func TestMigrationOffAndFewConnections(t *testing.T) {
	if migrated := simulate(New(Policy{Before: time.Hour, MaxSharePerMinute: 1}), connections(10, start), 100, steadyClock); len(migrated) > 0 {
		t.Errorf("migrated %v with migration off, want none", migrated)
	}
	// With three connections and a share of 1 % per minute, each must still migrate, if late.
	migrated := simulate(New(Policy{MigrationEnabled: true, Before: time.Minute, MaxSharePerMinute: 0.01}), connections(3, start.Add(time.Minute)), 20000, steadyClock)
	if len(migrated) != 3 {
		t.Errorf("migrated %v of 3 connections with a share of 0.01, want all", migrated)
	}
	if migrated := simulate(New(Policy{MigrationEnabled: true, Before: time.Minute, MaxSharePerMinute: 1}), []Conn{{ID: "plain"}}, 10, steadyClock); len(migrated) > 0 {
		t.Errorf("migrated %v, want no connection without a certificate", migrated)
	}
}
