package soak

import (
	"fmt"
	"sync"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// Node is one proxy: its processes, one after the other, at one address.
type Node struct {
	number          int
	fleet           *Fleet
	setup           experiment.Setup
	discovery       [2]*fake.Discovery // the one that is asked, and the one that a new configuration names
	activeDiscovery int                // which of them

	mu           sync.Mutex
	current      *incarnation
	incarnations []*incarnation
	suspensions  []*suspension

	knownEntries  map[string]fake.Entry
	knownRevision int64
	suspending    map[string]bool // hosts that an operator suspends or resumes just now
	claimed       bool            // a fault that starts or ends a process is under way
}

// Current is the process that runs; nil: none does.
func (n *Node) Current() *incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// claim keeps two faults from starting or ending the same proxy's process at once.
func (n *Node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	was := n.claimed
	n.claimed = true
	return !was
}

// release ends a claim.
func (n *Node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claimed = false
}

// start starts a process. Its list is the last that was written to the proxy; its address was its predecessor's.
func (n *Node) start() error {
	setup := n.setup
	setup.Discovery, setup.Known = n.discovery[n.activeDiscovery].Addr(), n.lastKnownList()
	if setup.Tmp != "" {
		admin, err := experiment.FreeAddr()
		if err != nil {
			return err
		}
		setup.Admin = admin
	}
	l := &incarnation{node: n, admin: setup.Admin, name: fmt.Sprintf("n%d.%d", n.number, len(n.incarnations)), startedAt: time.Now()}
	n.recordList([]*incarnation{l}, setup.Known, "its configuration")
	n.mu.Lock()
	n.incarnations = append(n.incarnations, l) // it asks discovery before it is ready
	n.mu.Unlock()
	var err error
	if l.proc, err = n.fleet.launch(setup, n.number); err != nil {
		l.mu.Lock()
		l.endedAt = time.Now()
		l.mu.Unlock()
		return fmt.Errorf("%s: %w", l.name, err)
	}
	n.mu.Lock()
	n.current = l
	n.mu.Unlock()
	return nil
}

// mergeList merges a list that was written to the proxy into what it holds.
func (n *Node) mergeList(list fake.List) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if list.All {
		n.knownEntries = map[string]fake.Entry{}
	}
	n.knownRevision = list.Rev
	for _, e := range list.Targets {
		if e.State == "removed" {
			delete(n.knownEntries, e.UID)
			continue
		}
		n.knownEntries[e.UID] = e
	}
}

// lastKnownList is the list as it was last written to the proxy, which may be old.
func (n *Node) lastKnownList() fake.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := fake.List{Rev: n.knownRevision, All: true}
	for _, e := range n.knownEntries {
		l.Targets = append(l.Targets, e)
	}
	return l
}

// running are the processes of the proxy that have not ended: two while one takes over from the other. They are one proxy: a list
// written to one counts as written to both.
func (n *Node) running() (out []*incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.incarnations {
		if !l.hasEnded() {
			out = append(out, l)
		}
	}
	return out
}

// recordList notes what a list that was written says of hosts.
func (n *Node) recordList(running []*incarnation, list fake.List, by string) {
	for _, l := range running {
		n.recordListFor(l, list, by)
	}
}

// recordListFor records a list for one process; a host that a whole list leaves out is removed.
func (n *Node) recordListFor(l *incarnation, list fake.List, by string) {
	at, named := time.Now(), map[string]bool{}
	for _, e := range list.Targets {
		named[e.UID] = true
		n.fleet.record.recordNotice(l, e.UID, e.State, by, at)
	}
	if list.All {
		for _, h := range n.fleet.Hosts() {
			if !named[h.UID] {
				n.fleet.record.recordNotice(l, h.UID, "removed", by, at)
			}
		}
	}
}
