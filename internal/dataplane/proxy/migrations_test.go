package proxy

import (
	"testing"

	"croftlock/internal/dataplane/netio"
)

// fakePacer is a Pacer whose permits the test grants by calling done.
type fakePacer struct {
	wants []int       // the number of permits requested by each call
	done  func(n int) // of the last call
}

func (p *fakePacer) RequestMigrations(want int, done func(n int)) {
	p.wants = append(p.wants, want)
	p.done = done
}

// TestPacedMigrations checks that clients migrate as permits are granted, that a client that has
// left uses no permit, and that clients do not wait in a shutdown or beyond maxPendingMigrations.
func TestPacedMigrations(t *testing.T) {
	pacer := &migrationPacer{loop: netio.NewLoop()}
	migrated, left := 0, 0
	migrate := func() bool { migrated++; return true }
	hasLeft := func() bool { left++; return false }
	pacer.submit(migrate)
	if migrated != 1 {
		t.Fatalf("without a pacer: %d migrated, want 1", migrated)
	}
	p := &fakePacer{}
	pacer.pacer = p
	migrated = 0
	for _, f := range []func() bool{migrate, hasLeft, migrate, migrate} {
		pacer.submit(f)
	}
	if migrated != 0 || len(p.wants) != 1 {
		t.Fatalf("before a permit: %d migrated, %d requests for permits, want 0, 1", migrated, len(p.wants))
	}
	p.done(2)
	if migrated != 2 || left != 1 {
		t.Errorf("with two permits: %d migrated, %d had left, want 2, 1", migrated, left)
	}
	pacer.unpaced = true
	pacer.submit(migrate)
	if migrated != 3 {
		t.Errorf("in a shutdown: %d migrated, want 3", migrated)
	}
	pacer.unpaced = false
	for range maxPendingMigrations + 10 {
		pacer.submit(migrate)
	}
	if len(pacer.pending) > maxPendingMigrations {
		t.Errorf("%d clients wait for a permit, want at most %d", len(pacer.pending), maxPendingMigrations)
	}
}

// TestLostPermitRequest guards against clients of a suspended host that never migrate, because the agent
// that was asked for permits has stopped in a hot restart.
func TestLostPermitRequest(t *testing.T) {
	now := int64(1e18)
	loop := netio.NewLoopAt(func() int64 { return now })
	asked := &fakePacer{}
	pacer := &migrationPacer{loop: loop, pacer: asked}
	migrated := 0
	pacer.submit(func() bool { migrated++; return true })
	lost := asked.done
	for range 2 { // the timeout, then the pause before the next request
		now += int64(pacerReplyTimeout)
		loop.RunPending()
	}
	if len(asked.wants) != 2 {
		t.Fatalf("%d requests for permits after the first one was lost, want 2", len(asked.wants))
	}
	lost(1)
	if migrated != 0 {
		t.Error("a late reply migrates a client, want that its permits have lapsed")
	}
	asked.done(1)
	if migrated != 1 {
		t.Errorf("%d clients migrated with the second reply, want 1", migrated)
	}
}
