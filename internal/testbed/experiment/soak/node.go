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
	discovery       [2]*fake.Discovery // the configuration names one; a reconfiguration changes to the other
	activeDiscovery int                // index of the one that the configuration names

	mu          sync.Mutex
	current     *proxyProcess
	processes   []*proxyProcess
	suspensions []*suspension

	knownEntries  map[string]fake.Entry // as last written to the proxy, by the host's ID
	knownRevision int64
	suspending    map[string]bool // hosts between an operator's suspension and its end
	claimed       bool            // a fault that starts or ends a process is in progress
}

// Current is the process that was started last and got ready; nil: none yet.
func (n *Node) Current() *proxyProcess {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// claim returns whether the caller may start or end the proxy's process: one fault at a time may, until its release.
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

// start starts a process. Its list is the last that was written to the proxy, and its address its predecessor's.
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
	n.processes = append(n.processes, process) // before it is ready: lists are written to it from its first call on
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

// mergeList merges a list that was written to the proxy into what it holds.
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

// lastKnownList is the list as it was last written to the proxy, which may be outdated.
func (n *Node) lastKnownList() fake.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := fake.List{Rev: n.knownRevision, Complete: true}
	for _, entry := range n.knownEntries {
		list.Targets = append(list.Targets, entry)
	}
	return list
}

// running are the proxy's processes that have not ended: two during a hot restart. They are one proxy: a list written to one counts as
// written to both.
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

// recordList records, for each of the processes, a list that was written to the proxy.
func (n *Node) recordList(processes []*proxyProcess, list fake.List, source string) {
	for _, process := range processes {
		n.recordListFor(process, list, source)
	}
}

// recordListFor records a list for one process; a host that is missing from a complete list is removed.
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
