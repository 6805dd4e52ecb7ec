package soak

import (
	"fmt"
	"sync"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// Node is one proxy. Its processes succeed each other at one address; during a hot restart two of
// them run.
type Node struct {
	number          int // index in Fleet.nodes
	fleet           *Fleet
	setup           experiment.Setup   // setup of each process; start adds Discovery, InitialList and Admin
	discovery       [2]*fake.Discovery // a reconfiguration switches from one to the other
	activeDiscovery int                // index of the discovery service in the configuration

	mu          sync.Mutex      // protects the fields below
	current     *proxyProcess   // see Current
	processes   []*proxyProcess // all that were started, in order
	suspensions []*suspension   // by operators, in order

	knownEntries  map[string]fake.Entry // as last written to the proxy, by host ID
	knownRevision int64                 // of the list last written to the proxy
	suspending    map[string]bool       // hosts that an operator is about to suspend, has suspended or is resuming
	claimed       bool                  // whether a fault that starts, ends or reconfigures a process is in progress
}

// Current returns the last process that became ready, which may have ended since, or nil if none
// has become ready.
func (n *Node) Current() *proxyProcess {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// claim reports whether the caller may start, end or reconfigure the proxy's process. One fault at
// a time may, until it calls release.
func (n *Node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	alreadyClaimed := n.claimed
	n.claimed = true
	return !alreadyClaimed
}

// release ends a claim.
func (n *Node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claimed = false
}

// start starts a process at the proxy's address, with the endpoint list that was last written to
// the proxy.
func (n *Node) start() error {
	setup := n.setup
	setup.Discovery, setup.InitialList = n.discovery[n.activeDiscovery].Addr(), n.lastKnownList()
	if setup.TmpDir != "" {
		admin, err := experiment.FreeAddr()
		if err != nil {
			return err
		}
		setup.Admin = admin
	}
	process := &proxyProcess{node: n, admin: setup.Admin, name: fmt.Sprintf("n%d.%d", n.number, len(n.processes)), startedAt: time.Now()}
	n.recordList([]*proxyProcess{process}, setup.InitialList, "its configuration")
	n.mu.Lock()
	n.processes = append(n.processes, process) // before it is ready, since discovery may write lists to it from its first call on
	n.mu.Unlock()
	var err error
	if process.proc, err = n.fleet.launch(setup, n.number); err != nil {
		process.mu.Lock()
		process.endedAt = time.Now()
		process.mu.Unlock()
		return fmt.Errorf("%s: %w", process.name, err)
	}
	n.mu.Lock()
	n.current = process
	n.mu.Unlock()
	return nil
}

// mergeList updates the proxy's known entries by a list that was written to it.
func (n *Node) mergeList(list fake.List) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if list.Complete {
		n.knownEntries = map[string]fake.Entry{}
	}
	n.knownRevision = list.Rev
	for _, entry := range list.Targets {
		if entry.State == "removed" {
			delete(n.knownEntries, entry.UID)
			continue
		}
		n.knownEntries[entry.UID] = entry
	}
}

// lastKnownList returns the complete list as last written to the proxy. It may be outdated.
func (n *Node) lastKnownList() fake.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := fake.List{Rev: n.knownRevision, Complete: true}
	for _, entry := range n.knownEntries {
		list.Targets = append(list.Targets, entry)
	}
	return list
}

// running returns the proxy's processes that have not ended, two during a hot restart. They are
// one proxy, so a list written to one of them counts as written to both.
func (n *Node) running() (processes []*proxyProcess) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, process := range n.processes {
		if !process.hasEnded() {
			processes = append(processes, process)
		}
	}
	return processes
}

// recordList records a list that was written to the proxy for each of the processes.
func (n *Node) recordList(processes []*proxyProcess, list fake.List, source string) {
	for _, process := range processes {
		n.recordListFor(process, list, source)
	}
}

// recordListFor records the hosts' states in a list for one process. A host that is missing from a
// complete list is removed.
func (n *Node) recordListFor(process *proxyProcess, list fake.List, source string) {
	writtenAt, named := time.Now(), map[string]bool{}
	for _, entry := range list.Targets {
		named[entry.UID] = true
		n.fleet.record.recordNotice(process, entry.UID, stateNotice{writtenAt, entry.State, source})
	}
	if list.Complete {
		for _, host := range n.fleet.Hosts() {
			if !named[host.UID] {
				n.fleet.record.recordNotice(process, host.UID, stateNotice{writtenAt, "removed", source})
			}
		}
	}
}
