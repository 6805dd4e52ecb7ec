package proxy

import (
	"testing"

	"croftlock/internal/dataplane/netio"
)

// fakePacer is a pacer that a test gives permits through.
type fakePacer struct {
	wants []int
	then  func(n int)
}

func (p *fakePacer) RequestMigrations(want int, then func(n int)) {
	p.wants = append(p.wants, want)
	p.then = then
}

// TestPacedMigrations: clients migrate as permits come, one that has left by its turn costs none, and a shutdown waits for nobody.
func TestPacedMigrations(t *testing.T) {
	c := &migrationPacer{loop: netio.NewLoop()}
	migrated, gone := 0, 0
	migrate := func() bool { migrated++; return true }
	hasLeft := func() bool { gone++; return false }
	c.submit(migrate)
	if migrated != 1 {
		t.Fatal("without a pace a client waits")
	}
	p := &fakePacer{}
	c.pacer = p
	migrated = 0
	for _, f := range []func() bool{migrate, hasLeft, migrate, migrate} {
		c.submit(f)
	}
	if migrated != 0 || len(p.wants) != 1 {
		t.Fatalf("%d migrated before a permit, %d requests for permits", migrated, len(p.wants))
	}
	p.then(2)
	if migrated != 2 || gone != 1 {
		t.Errorf("with two permits %d migrated, and %d had left", migrated, gone)
	}
	c.unpaced = true
	c.submit(migrate)
	if migrated != 3 {
		t.Error("at the process's end a client waits for a permit")
	}
	c.unpaced = false
	for range maxPendingMigrations + 10 {
		c.submit(migrate)
	}
	if len(c.pending) > maxPendingMigrations {
		t.Errorf("%d wait, at most %d expected", len(c.pending), maxPendingMigrations)
	}
}
