package proxy

import (
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/operations/maintenance"
)

// permits is a pacer that a test gives permits through.
type permits struct {
	wants []int
	then  func(n int)
}

func (p *permits) RequestMigrations(want int, then func(n int)) {
	p.wants = append(p.wants, want)
	p.then = then
}

// TestPacedMigrations: clients leave as permits come, one that is gone by its turn costs none, and an end of the process waits for nobody.
func TestPacedMigrations(t *testing.T) {
	c := &migrationPacer{loop: netio.NewLoop()}
	sent, gone := 0, 0
	send := func() bool { sent++; return true }
	late := func() bool { gone++; return false }
	c.submit(send)
	if sent != 1 {
		t.Fatal("without a pace a client waits")
	}
	p := &permits{}
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

// TestFleetsListAndOwnCalls: a host is out while either word holds.
func TestFleetsListAndOwnCalls(t *testing.T) {
	b := maintenance.New()
	at := time.Now().UnixNano()
	for i, c := range []struct {
		do   func() any
		outA bool
	}{
		{func() any { return b.SetFleet([]string{"A", "B"}, at) }, true},
		{func() any { return b.Set("A", true, at+1) }, true},
		{func() any { return b.SetFleet([]string{"B"}, at+2) }, true},
		{func() any { return b.Set("A", false, at+3) }, false},
		{func() any { return b.SetFleet([]string{"A"}, at+4) }, true},
		{func() any { return b.Set("A", false, at+5) }, true},
		{func() any { return b.SetFleet(nil, at+6) }, false},
	} {
		if c.do(); b.Suspended("A") != c.outA {
			t.Errorf("step %d: A out %t", i, b.Suspended("A"))
		}
	}
	if changed := b.SetFleet([]string{"A", "B"}, at); len(changed) != 2 || len(b.SetFleet([]string{"A", "B"}, at)) != 0 {
		t.Errorf("changed %v", changed)
	}
	if len(b.All()) != 0 || b.Suspension("A").Since != at {
		t.Errorf("%v, %+v", b.All(), b.Suspension("A"))
	}
}
