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
	sent, gone := 0, 0
	send := func() bool { sent++; return true }
	late := func() bool { gone++; return false }
	c.submit(send)
	if sent != 1 {
		t.Fatal("without a pace a client waits")
	}
	p := &fakePacer{}
	c.pacer = p
	sent = 0
	for _, f := range []func() bool{send, late, send, send} {
		c.submit(f)
	}
	if sent != 0 || len(p.wants) != 1 {
		t.Fatalf("%d left before a permit, %d questions", sent, len(p.wants))
	}
	p.then(2)
	if sent != 2 || gone != 1 {
		t.Errorf("with two permits %d left, %d were gone", sent, gone)
	}
	c.unpaced = true
	c.submit(send)
	if sent != 3 {
		t.Error("at the process's end a client waits for a permit")
	}
	c.unpaced = false
	for range maxPendingMigrations + 10 {
		c.submit(send)
	}
	if len(c.pending) > maxPendingMigrations {
		t.Errorf("%d wait", len(c.pending))
	}
}
