package rules

import (
	"bytes"
	"fmt"
	"time"
)

// HeldLease is a version that a process acts by and the rest of its lease. In a hot restart the old
// process hands it over to the new one, which has the same place in the fleet: the lease ends no
// later than it would have at the old process.
type HeldLease struct {
	Version   []byte `json:"Version"`   // as returned by compress of the canonical encoding
	Remaining Time   `json:"Remaining"` // nanoseconds until the lease ends; 0 if it has ended
}

// HeldLease returns the version that this process acts by and the rest of its lease. It returns nil
// before the first version.
func (e *Enforcer) HeldLease() *HeldLease {
	active := e.active.Load()
	if active == nil {
		return nil
	}
	return &HeldLease{Version: active.encoded, Remaining: active.remaining(e.Now())}
}

// remaining returns the rest of the lease, 0 if it has ended. A lease that was restored from a stored state
// ended before the earliest time that the clock can show, so that a plain difference would wrap around.
func (l *leasedVersion) remaining(now Time) Time {
	if l.leaseEnd <= now {
		return 0
	}
	return l.leaseEnd - now
}

// maxHeldLease is the longest lease that the settings allow. Builds without a bound hand over the rest of a
// lease that ended long ago as one without end.
const maxHeldLease = Time(time.Minute)

// Restore makes this process act by a version that another process of the same proxy held.
// requestedAt is the time, on the clock Now, at which this process asked for it: the rest of the lease
// counts from then, so that a late reply does not prolong it. Restore ignores a version older than the
// one that this process acts by. It must not be called while a Member uses the Enforcer. It returns an
// error, and changes nothing, if the version is invalid.
func (e *Enforcer) Restore(held *HeldLease, requestedAt Time) error {
	leaseEnd := requestedAt
	if held.Remaining > 0 && held.Remaining <= maxHeldLease {
		leaseEnd += held.Remaining
	}
	if active := e.active.Load(); active != nil && bytes.Equal(active.encoded, held.Version) {
		e.apply(&leasedVersion{active.compiledVersion, leaseEnd})
		return nil
	}
	data, err := decompress(held.Version)
	if err != nil {
		return err
	}
	version, err := Decode(data)
	if err != nil {
		return fmt.Errorf("handed over: %w", err)
	}
	e.apply(&leasedVersion{compileVersion(version), leaseEnd})
	return nil
}

// apply makes next the version that this process acts by, and reports whether it did. It ignores an
// older version, or an earlier end of the same one's lease.
func (e *Enforcer) apply(next *leasedVersion) bool {
	current := e.active.Load()
	if current != nil && !current.precedes(next) {
		return false
	}
	e.active.Store(next)
	return true
}

// precedes reports whether next is a newer version, or the same one under a lease that ends later.
func (l *leasedVersion) precedes(next *leasedVersion) bool {
	if l.version.Number != next.version.Number {
		return l.version.Number < next.version.Number
	}
	return l.leaseEnd < next.leaseEnd
}

// CanAct reports whether this process may act by a version now: it has one, and holds a lease or may do
// without.
func (e *Enforcer) CanAct() bool {
	active, verdict := e.current()
	return active != nil && !verdict.Rejected
}
