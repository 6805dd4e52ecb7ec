package soak

import (
	"math/rand/v2"
	"time"

	"croftlock/internal/testbed/experiment"
)

// suspension is a time in which a proxy may send nothing to a host: from its answer to an operator's call to the call that ends it.
type suspension struct {
	host        string
	from, until time.Time // until is zero while it holds
}

// suspensionGrace is how long after a call, or its answer, its effect may take: the platform counts a suspension from the answer, or from 1 s after the
// call.
const suspensionGrace = time.Second

// suspend has an operator suspend a host at a proxy and resume it later, whatever becomes of the proxy's process meanwhile.
func (f *Fleet) suspend(rng *rand.Rand) {
	n, h := f.node(rng), f.host(rng)
	if !n.claimSuspension(h.UID) {
		return // each suspension is ended by whoever made it
	}
	defer n.releaseSuspension(h.UID)
	if !n.callOperator(h.UID, "suspend") {
		return
	}
	b := &suspension{host: h.UID, from: time.Now()}
	n.mu.Lock()
	n.suspensions = append(n.suspensions, b)
	n.mu.Unlock()
	time.Sleep(randomSpan(rng, 500, 6000))
	n.mu.Lock()
	b.until = time.Now()
	n.mu.Unlock()
	const attempts, pause = 100, 100 * time.Millisecond
	for range attempts {
		if n.callOperator(h.UID, "resume") {
			return
		}
		time.Sleep(pause)
	}
}

// claimSuspension sees to it that only one operator at a time suspends a host at a proxy.
func (n *Node) claimSuspension(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.suspending[host] {
		return false
	}
	n.suspending[host] = true
	return true
}

// releaseSuspension ends a claim.
func (n *Node) releaseSuspension(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.suspending, host)
}

// callOperator makes an operator's call at the process that runs, and returns whether it succeeded.
func (n *Node) callOperator(host, word string) bool {
	l := n.Current()
	if l == nil || l.isStopping() {
		return false
	}
	status, _, _, err := experiment.Call(l.admin, "POST", "/v1/catalogue-servers/"+host+"/"+word)
	return err == nil && status == 200
}

// suspendedSince is since when a host was suspended at a proxy, at some moment.
func (n *Node) suspendedSince(host string, at time.Time) (since time.Time, is bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range n.suspensions {
		if b.host == host && at.After(b.from) && (b.until.IsZero() || at.Before(b.until)) {
			return b.from, true
		}
	}
	return since, false
}
