package node

import (
	"time"

	"croftlock/internal/dataplane/proxy"
)

const (
	// saveTimeout is how long an operator's call waits for the disk.
	saveTimeout = 400 * time.Millisecond
	// listSaveDelay is the delay before a changed list is stored, so that further changes are stored with it.
	listSaveDelay = time.Second
)

var _ proxy.Successor = (*process)(nil)

// save stores the state for the next process, and then calls done, which may be nil.
func (p *process) save(done func()) { p.restart.store.Save(p.snapshot(false), done) }

// HostSuspended stores a host's suspension, or its end, and sends it to the other process, if there is one. done is called once, also if the
// disk hangs.
func (p *process) HostSuspended(id string, suspended bool, done func()) {
	if p.restart.partner != nil {
		p.restart.partner.SendHostSuspended(id, suspended)
	}
	if p.restart.phase != serving {
		done() // the other process writes the file, and has been sent the suspension
		return
	}
	called := false
	once := func() {
		if !called {
			called = true
			done()
		}
	}
	timeout := p.loop.After(saveTimeout, once)
	p.save(func() { timeout.Stop(); once() })
}

// ListChanged stores a changed list after listSaveDelay.
func (p *process) ListChanged() {
	if p.restart.listSavePending || p.restart.phase != serving {
		return
	}
	p.restart.listSavePending = true
	p.loop.After(listSaveDelay, func() {
		p.restart.listSavePending = false
		if p.restart.phase == serving {
			p.save(nil)
		}
	})
}

// HandOver hands a connection to the process that has taken over, or closes it with its migration line if there is none.
func (p *process) HandOver(s *proxy.HandedOverConnection, migrationLine []byte, done func()) {
	if !p.AcceptsHandovers() {
		s.Downstream.Discard(migrationLine)
		s.Upstream.Discard(nil)
		done()
		return
	}
	p.restart.partner.HandOver(s, migrationLine, func() { p.loop.Post(done) })
}

// AcceptsHandovers returns whether another process has taken over, and connections can be handed to it.
func (p *process) AcceptsHandovers() bool {
	return p.restart.partner != nil && p.restart.isOld && p.restart.phase == handedOver
}
