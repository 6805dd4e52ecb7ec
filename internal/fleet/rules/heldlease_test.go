package rules

import (
	"math"
	"testing"
	"time"

	"croftlock/internal/fleet/namespace"
)

// restoredEnforcer returns an Enforcer without a version, whose clock reads *now.
func restoredEnforcer(now *Time) *Enforcer {
	return &Enforcer{Now: func() Time { return *now }, LapsedRetryAfter: time.Second}
}

// TestHeldLease checks that a process that takes over acts by the version of the old one until that
// one's lease ends, no matter how late the handover arrives, and never goes back to an older version.
func TestHeldLease(t *testing.T) {
	now := Time(100 * time.Second)
	held := func(number uint64, remaining time.Duration) *HeldLease {
		return &HeldLease{Version: compress((&Version{Number: number, Refusals: []Refusal{{Tenant: "closed"}}}).Encode()), Remaining: int64(remaining)}
	}
	e := restoredEnforcer(&now)
	if e.CanAct() || e.HeldLease() != nil {
		t.Error("an enforcer without a version can act or holds a lease, want neither")
	}
	requestedAt := now - int64(time.Second)
	if err := e.Restore(held(2, 3*time.Second), requestedAt); err != nil {
		t.Fatal(err)
	}
	if number, remaining := e.ActiveVersion(); number != 2 || remaining != int64(2*time.Second) {
		t.Errorf("after the handover version %d is active for %v, want version 2 for 2 s, counted from the request", number, time.Duration(remaining))
	}
	if again := e.HeldLease(); string(again.Version) != string(held(2, 0).Version) || again.Remaining != int64(2*time.Second) {
		t.Errorf("the version to hand over to a third process is %+v, want the same for 2 s", again)
	}
	if err := e.Restore(held(2, 4*time.Second), requestedAt); err != nil || e.HeldLease().Remaining != int64(3*time.Second) {
		t.Errorf("the same version with a later end of its lease is restored with error %v, want a lease of 3 s", err)
	}
	if err := e.Restore(held(1, time.Hour), now); err != nil || e.active.Load().version.Number != 2 {
		t.Errorf("an older version is restored with error %v, want that it is ignored", err)
	}
	now += int64(3 * time.Second)
	if e.CanAct() || !e.Evaluate(namespace.Request{Tenant: "open"}).Rejected {
		t.Error("after the end of the lease that was handed over, requests are admitted")
	}
	if e.Restore(&HeldLease{Version: []byte{formatCompressed, 0xff}}, now) == nil {
		t.Error("a malformed version is restored, want an error")
	}
}

// TestEndedLeaseIsHandedOverAsEnded guards against a lease without end: a version from the stored state, whose
// lease ended before the start of the clock, is handed over as a lease that has ended, also by a build that
// hands over the difference wrapped around.
func TestEndedLeaseIsHandedOverAsEnded(t *testing.T) {
	now := Time(5 * time.Second)
	version := compress((&Version{Number: 2}).Encode())
	e := restoredEnforcer(&now)
	if err := e.Restore(&HeldLease{Version: version}, math.MinInt64+1); err != nil {
		t.Fatal(err)
	}
	held := e.HeldLease()
	if held.Remaining != 0 {
		t.Errorf("a lease that ended before the start of the clock is handed over with %d ns left, want 0", held.Remaining)
	}
	for _, remaining := range []Time{held.Remaining, math.MaxInt64, math.MaxInt64 - now} {
		next := restoredEnforcer(&now)
		if err := next.Restore(&HeldLease{Version: version, Remaining: remaining}, now); err != nil || next.CanAct() {
			t.Errorf("a process that takes over with %d ns left may act by the version, error %v; want that it may not", remaining, err)
		}
	}
}

// TestMemberRenewsRestoredVersion guards against a new process whose lease lapses after a hot restart: the
// publisher sends no version to a member that reports it as active, so that the member must know it.
func TestMemberRenewsRestoredVersion(t *testing.T) {
	now := Time(time.Second)
	e := restoredEnforcer(&now)
	version := &Version{Number: 2}
	if err := e.Restore(&HeldLease{Version: compress(version.Encode()), Remaining: int64(time.Second)}, now); err != nil {
		t.Fatal(err)
	}
	var tag uint64
	m := &Member{LeaseDuration: int64(3 * time.Second), Enforcer: e, SendQuery: func(sent uint64, _ []byte) { tag = sent }}
	m.Step(now)
	hash := version.Hash()
	reply := leaseReply{Number: 2, Hash: hash[:]}
	m.ReplyReceived(now, tag, reply.encode())
	if _, remaining := e.ActiveVersion(); remaining <= int64(2*time.Second) {
		t.Errorf("after a renewal the lease lasts %v, want over 2 s", time.Duration(remaining))
	}
}
