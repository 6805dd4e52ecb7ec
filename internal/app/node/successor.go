package node

import (
	"time"

	"croftlock/internal/dataplane/proxy"
)

const (
	// saveTimeout is how long an operator's call waits for the disk.
	saveTimeout = 400 * time.Millisecond
	// listSaveDelay is how soon a changed list is stored.
	listSaveDelay = time.Second
)

var _ proxy.Successor = (*process)(nil)

// save stores what the next process is to know; done may be nil.
func (p *process) save(done func()) { p.restart.store.Save(p.snapshot(false), done) }

// HostSuspended stores a host's suspension, or its end, and passes it on. done is called once, also where the disk hangs.
func (p *process) HostSuspended(id string, suspended bool, done func()) {
	if p.restart.partner != nil {
		p.restart.partner.HostSuspended(id, suspended)
	}
	if p.restart.phase != serving {
		done() // the file is the other process's, and it has been told
		return
	}
	called := false
	once := func() {
		if !called {
			called = true
			done()
		}
	}
	limit := p.loop.After(saveTimeout, once)
	p.save(func() { limit.Stop(); once() })
}

// ListChanged has a changed list stored, soon.
func (p *process) ListChanged() {
	if p.restart.listDirty || p.restart.phase != serving {
		return
	}
	p.restart.listDirty = true
	p.loop.After(listSaveDelay, func() {
		p.restart.listDirty = false
		if p.restart.phase == serving {
			p.save(nil)
		}
	})
}

// HandOver hands an open connection to the process that takes over.
func (p *process) HandOver(s *proxy.HandedOverConnection, migrationLine []byte, done func()) {
	if !p.Accepts() {
		s.Downstream.Discard(migrationLine)
		s.Upstream.Discard(nil)
		done()
		return
	}
	p.restart.partner.HandOver(s, migrationLine, func() { p.loop.Post(done) })
}

// Accepts tells whether there is a process that takes over.
func (p *process) Accepts() bool {
	return p.restart.partner != nil && p.restart.isOld && p.restart.phase == handedOver
}
