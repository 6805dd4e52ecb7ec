// Package certexpiry decides which open connections migrate because one of their certificates
// expires. It does no I/O and reads no clock: callers pass in a monotonic time, which determines
// the pace, and the wall clock, with which certificates are compared. The same calls return the
// same results.
//
// All connections to a host, or even all connections of the proxy, share a certificate, so all of
// them come due together. Their migrations are spread over the time before the expiry, and at most
// the configured share of them migrates per minute, even if some are late as a result or the clock
// has stepped past all expiries at once.
package certexpiry

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy holds the operator's settings for migrations before certificates expire.
type Policy struct {
	MigrationEnabled  bool          // if false, no connection is migrated
	Before            time.Duration // how long before a certificate's expiry migrations start
	MaxSharePerMinute float64       // maximum part, from 0 to 1, of the established connections that migrates per minute
}

// Conn describes an established connection.
type Conn struct {
	ID       string
	NotAfter time.Time // when the first of its certificates expires; zero if it has none
}

// Planner selects the connections to migrate and limits their rate. It is not safe for concurrent
// use.
type Planner struct {
	policy   Policy
	lastPlan int64   // time of the last call of Plan, in nanoseconds
	started  bool    // Plan has been called
	permits  float64 // how many connections may migrate now, with the fraction accumulated for the next one
}

// New returns a Planner with the given policy.
func New(p Policy) *Planner { return &Planner{policy: p} }

// PlanInterval is the interval at which to call Plan.
const PlanInterval = time.Second

// Plan returns the IDs of the connections to migrate now, those that have been due the longest
// first, and counts them as migrated. now is monotonic time in nanoseconds, and wall is the time
// with which certificates are compared. open must contain all open connections.
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
	// Permits accumulate for two intervals at most, but always up to one, so that a small share of
	// a few connections also migrates.
	p.permits = math.Min(p.permits+perSecond*elapsed, math.Max(1, 2*perSecond*PlanInterval.Seconds()))
	if p.permits < 1 {
		return nil
	}
	type due struct {
		id string
		at time.Time
	}
	var dueConns []due
	for _, c := range open {
		if c.NotAfter.IsZero() {
			continue
		}
		if at := p.dueAt(c); !wall.Before(at) {
			dueConns = append(dueConns, due{c.ID, at})
		}
	}
	sort.Slice(dueConns, func(i, j int) bool {
		if !dueConns[i].at.Equal(dueConns[j].at) {
			return dueConns[i].at.Before(dueConns[j].at)
		}
		return dueConns[i].id < dueConns[j].id
	})
	var migrating []string
	for _, d := range dueConns {
		if p.permits < 1 {
			break
		}
		p.permits--
		migrating = append(migrating, d.id)
	}
	return migrating
}

// dueAt returns when a connection is due to migrate. The connection's ID determines a point in the
// first nine tenths of the period that begins Policy.Before ahead of the expiry.
func (p *Planner) dueAt(c Conn) time.Time {
	fraction := float64(xxhash.Sum64String(c.ID)>>11) / (1 << 53)
	return c.NotAfter.Add(-p.policy.Before + time.Duration(0.9*fraction*float64(p.policy.Before)))
}
