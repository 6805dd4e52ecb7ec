package certexpiry

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1.8e9, 0)

// play runs a planner second by second and gives when each connection was moved.
func play(p *Planner, conns []Conn, seconds int, wall func(s int) time.Time) map[string]int {
	moved := map[string]int{}
	for s := range seconds {
		var standing []Conn
		for _, c := range conns {
			if _, gone := moved[c.ID]; gone {
				c = Conn{ID: c.ID + "'"} // it came back, under a certificate that lasts
			}
			standing = append(standing, c)
		}
		for _, id := range p.Plan(int64(s)*1e9, wall(s), standing) {
			moved[id] = s
		}
	}
	return moved
}

func fleet(n int, ends time.Time) []Conn {
	var out []Conn
	for i := range n {
		out = append(out, Conn{fmt.Sprintf("%016x", i), ends})
	}
	return out
}

func running(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

// perMinute is the most that was moved in any minute.
func perMinute(moved map[string]int, seconds int) int {
	most := 0
	for from := 0; from < seconds; from++ {
		n := 0
		for _, s := range moved {
			if s >= from && s < from+60 {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// All connections of a host end together: with time enough all are moved before the end, spread, within the share.
func TestMovedBeforeTheEnd(t *testing.T) {
	p := New(Policy{MigrationEnabled: true, Before: 20 * time.Minute, Share: 0.2})
	moved := play(p, fleet(400, start.Add(30*time.Minute)), 1900, running)
	first, last := 1<<30, 0
	for _, s := range moved {
		first, last = min(first, s), max(last, s)
	}
	if len(moved) != 400 || first < 600 || last >= 1800 {
		t.Errorf("%d moved from %d s to %d s; they end at 1800", len(moved), first, last)
	}
	if most := perMinute(moved, 1900); most > 60 {
		t.Errorf("%d moved in one minute: they are not spread", most)
	}
}

// A clock that steps a year ahead makes everything due at once. No more than the share may go, and none once it is back.
func TestClockStep(t *testing.T) {
	p := New(Policy{MigrationEnabled: true, Before: 10 * time.Minute, Share: 0.05})
	moved := play(p, fleet(1000, start.Add(100*24*time.Hour)), 400, func(s int) time.Time {
		if s >= 100 && s < 220 {
			return running(s).AddDate(1, 0, 0)
		}
		return running(s)
	})
	for id, s := range moved {
		if s < 100 || s >= 220 {
			t.Errorf("%s was moved at %d", id, s)
		}
	}
	if most := perMinute(moved, 400); most > 53 || len(moved) < 80 {
		t.Errorf("%d moved in one minute, %d in all", most, len(moved))
	}
}

func TestKeepAndFew(t *testing.T) {
	if moved := play(New(Policy{Before: time.Hour, Share: 1}), fleet(10, start), 100, running); len(moved) > 0 {
		t.Errorf("moved %v although they are kept", moved)
	}
	// One in a hundred a minute of three: each still gets its turn, late.
	moved := play(New(Policy{MigrationEnabled: true, Before: time.Minute, Share: 0.01}), fleet(3, start.Add(time.Minute)), 20000, running)
	if len(moved) != 3 {
		t.Errorf("moved %v", moved)
	}
	if moved := play(New(Policy{MigrationEnabled: true, Before: time.Minute, Share: 1}), []Conn{{ID: "plain"}}, 10, running); len(moved) > 0 {
		t.Error("a connection that rests on nothing was moved")
	}
}
