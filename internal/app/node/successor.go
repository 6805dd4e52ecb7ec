package node

import (
	"time"

	"croftlock/internal/dataplane/proxy"
)

const (
	// saveTimeout is the maximum time that an operator's request to suspend or resume a host waits
	// for the disk.
	saveTimeout = 400 * time.Millisecond
	// listSaveDelay is the time from a change of the endpoint list until the list is stored. Changes
	// in that time are stored together.
	listSaveDelay = time.Second
)

var _ proxy.Successor = (*process)(nil)

// save stores the state for the next process without blocking. Unless done is nil, it is called on
// the loop after the first attempt to write, even if that failed.
func (p *process) save(done func()) { p.restart.store.Save(p.snapshot(false), done) }

// HostSuspended stores the suspension of the host id, or its end if suspended is false, and sends it
// to the other process of a hot restart, if there is one. It calls done once, after saveTimeout at
// the latest, even if the disk hangs.
func (p *process) HostSuspended(id string, suspended bool, done func()) {
	if p.restart.partner != nil {
		p.restart.partner.SendHostSuspended(id, suspended)
	}
	if p.restart.phase != serving {
		done() // the other process has been sent the suspension, and is the one that stores it
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

// ListChanged stores the changed endpoint list after listSaveDelay, if this process serves.
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

// HandOver hands a connection to the process that has taken over. Without such a process it sends
// migrationLine, which makes the client reconnect, and closes the connection. done is called on the
// loop once this process no longer owns the connection.
func (p *process) HandOver(s *proxy.HandedOverConnection, migrationLine []byte, done func()) {
	if !p.AcceptsHandovers() {
		s.Downstream.Discard(migrationLine)
		s.Upstream.Discard(nil)
		done()
		return
	}
	p.restart.partner.HandOver(s, migrationLine, func() { p.loop.Post(done) })
}

// AskIDInUse asks the other process whether it has a request with an ID.
func (p *process) AskIDInUse(id string) {
	if p.restart.partner != nil {
		p.restart.partner.SendIDQuestion(id)
	}
}

// AcceptsHandovers reports whether another process has taken over and accepts connections.
func (p *process) AcceptsHandovers() bool {
	return p.restart.partner != nil && p.restart.isOld && p.restart.phase == handedOver
}
