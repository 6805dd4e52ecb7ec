// Package certexpiry decides which open connections migrate because one of their certificates ends. It does no I/O and reads no clock: the
// pace follows the time that is passed in, the certificates the wall clock that is passed in, and the same calls give the same answers.
//
// A certificate is shared by all connections to a host, or by all connections there are, so all of them come due together. Their migrations
// are spread over the time before the end, and never more than a stated share migrates in a minute, even where some are then late, or where
// the clock has stepped past every end at once.
package certexpiry

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy is the operator's settings of migrations before certificates end.
type Policy struct {
	MigrationEnabled  bool          // false: no connection is migrated
	Before            time.Duration // how long before the end migrations begin
	MaxSharePerMinute float64       // of the established connections, migrated a minute at most
}

// Conn is an established connection.
type Conn struct {
	ID       string
	NotAfter time.Time // of its first certificate; zero: it has none
}

// Planner keeps the pace of migrations.
type Planner struct {
	policy   Policy
	lastPlan int64 // when Plan was last called, in nanoseconds
	started  bool
	permits  float64 // connections that may migrate now
}

// New makes a planner.
func New(p Policy) *Planner { return &Planner{policy: p} }

// PlanInterval is how often to call Plan.
const PlanInterval = time.Second

// Plan gives the connections to migrate now, the longest due first. now is monotonic, in nanoseconds; certificates are compared with wall;
// open are all open connections.
func (p *Planner) Plan(now int64, wall time.Time, open []Conn) []string {
	if !p.policy.MigrationEnabled || len(open) == 0 {
		return nil
	}
	perSecond := p.policy.MaxSharePerMinute * float64(len(open)) / 60
	elapsed := 0.0
	if p.started && now > p.lastPlan {
		elapsed = float64(now-p.lastPlan) / 1e9
	}
	p.started, p.lastPlan = true, now
	// Permits are saved for a few seconds at most, and at least one is: a small share of a few connections still gets its turn.
	p.permits = math.Min(p.permits+perSecond*elapsed, math.Max(1, 2*perSecond*PlanInterval.Seconds()))
	if p.permits < 1 {
		return nil
	}
	type due struct {
		id string
		at time.Time
	}
	var list []due
	for _, c := range open {
		if c.NotAfter.IsZero() {
			continue
		}
		if at := p.dueAt(c); !wall.Before(at) {
			list = append(list, due{c.ID, at})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].at.Equal(list[j].at) {
			return list[i].at.Before(list[j].at)
		}
		return list[i].id < list[j].id
	})
	var migrating []string
	for _, d := range list {
		if p.permits < 1 {
			break
		}
		p.permits--
		migrating = append(migrating, d.id)
	}
	return migrating
}

// moment is when a connection is due: by its ID, somewhere in the first nine tenths of the time before the end.
func (p *Planner) dueAt(c Conn) time.Time {
	fraction := float64(xxhash.Sum64String(c.ID)>>11) / (1 << 53)
	return c.NotAfter.Add(-p.policy.Before + time.Duration(0.9*fraction*float64(p.policy.Before)))
}
