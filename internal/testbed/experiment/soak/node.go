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
	number    int
	fleet     *Fleet
	setup     experiment.Setup
	discovery [2]*fake.Discovery // the one that is asked, and the one that a new configuration names
	asks      int                // which of them

	mu   sync.Mutex
	now  *life
	all  []*life
	bans []*ban

	held    map[string]fake.Entry
	heldRev int64
	banning map[string]bool // hosts that an operator takes out or calls back just now
	busy    bool            // a fault that starts or ends a process is under way
}

// Life is the process that runs; nil: none does.
func (n *Node) Life() *life {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now
}

// claim keeps two faults from starting or ending the same proxy's process at once.
func (n *Node) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	was := n.busy
	n.busy = true
	return !was
}

func (n *Node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = false
}

// start begins a process. Its list is the one that the proxy held last; its address was its predecessor's.
func (n *Node) start() error {
	setup := n.setup
	setup.Discovery, setup.Known = n.discovery[n.asks].Addr(), n.lastHeld()
	if setup.Tmp != "" {
		admin, err := experiment.FreeAddr()
		if err != nil {
			return err
		}
		setup.Admin = admin
	}
	l := &life{node: n, admin: setup.Admin, name: fmt.Sprintf("n%d.%d", n.number, len(n.all)), began: time.Now()}
	n.told([]*life{l}, setup.Known, "its configuration")
	n.mu.Lock()
	n.all = append(n.all, l) // it asks discovery before it is ready
	n.mu.Unlock()
	var err error
	if l.proc, err = n.fleet.launch(setup, n.number); err != nil {
		l.mu.Lock()
		l.gone = time.Now()
		l.mu.Unlock()
		return fmt.Errorf("%s: %w", l.name, err)
	}
	n.mu.Lock()
	n.now = l
	n.mu.Unlock()
	return nil
}

// hold merges a list that was written to the proxy into what it holds.
func (n *Node) hold(list fake.List) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if list.All {
		n.held = map[string]fake.Entry{}
	}
	n.heldRev = list.Rev
	for _, e := range list.Targets {
		if e.State == "removed" {
			delete(n.held, e.UID)
			continue
		}
		n.held[e.UID] = e
	}
}

// lastHeld is the list as the proxy last held it, which may be old.
func (n *Node) lastHeld() fake.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := fake.List{Rev: n.heldRev, All: true}
	for _, e := range n.held {
		l.Targets = append(l.Targets, e)
	}
	return l
}

// running are the processes of the proxy that have not ended: two while one takes over from the other. They are one proxy, and what one is told both
// have been told.
func (n *Node) running() (out []*life) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.all {
		if !l.over() {
			out = append(out, l)
		}
	}
	return out
}

// told notes what a list that was written says of hosts.
func (n *Node) told(lives []*life, list fake.List, by string) {
	for _, l := range lives {
		n.toldOne(l, list, by)
	}
}

func (n *Node) toldOne(l *life, list fake.List, by string) {
	at, named := time.Now(), map[string]bool{}
	for _, e := range list.Targets {
		named[e.UID] = true
		n.fleet.record.tell(l, e.UID, e.State, by, at)
	}
	if list.All {
		for _, h := range n.fleet.Hosts() {
			if !named[h.UID] {
				n.fleet.record.tell(l, h.UID, "removed", by, at)
			}
		}
	}
}
