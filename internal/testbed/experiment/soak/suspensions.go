package soak

import (
	"math/rand/v2"
	"time"

	"croftlock/internal/testbed/experiment"
)

// suspension is a span of time in which a proxy must not use a host: from the answer to an operator's call until the call that ends it.
type suspension struct {
	host        string
	from, until time.Time // until is zero while it holds
}

// suspensionGrace is how long the effect of a suspension may take: the platform counts it from the answer, or from 1 s after the call.
const suspensionGrace = time.Second

// suspend plays an operator who suspends a host at a proxy and resumes it later, also where the proxy's process ends meanwhile.
func (f *Fleet) suspend(rng *rand.Rand) {
	n, h := f.randomNode(rng), f.randomHost(rng)
	if !n.claimSuspension(h.UID) {
		return // whoever suspends a host also resumes it
	}
	defer n.releaseSuspension(h.UID)
	if !n.callOperator(h.UID, "suspend") {
		return
	}
	s := &suspension{host: h.UID, from: time.Now()}
	n.mu.Lock()
	n.suspensions = append(n.suspensions, s)
	n.mu.Unlock()
	time.Sleep(randomDuration(rng, 500, 6000))
	n.mu.Lock()
	s.until = time.Now()
	n.mu.Unlock()
	const attempts, retryInterval = 100, 100 * time.Millisecond // the next process may still be starting
	for range attempts {
		if n.callOperator(h.UID, "resume") {
			return
		}
		time.Sleep(retryInterval)
	}
}

// claimSuspension returns whether the caller may suspend a host at a proxy: one operator at a time may, until its release.
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

// callOperator makes an operator's call at the current process, and returns whether it succeeded.
func (n *Node) callOperator(host, action string) bool {
	process := n.Current()
	if process == nil || process.isStopping() {
		return false
	}
	status, _, _, err := experiment.CallAdmin(process.admin, "POST", "/v1/catalogue-servers/"+host+"/"+action)
	return err == nil && status == 200
}

// suspendedSince returns since when a host was suspended at a proxy, if it was at a moment.
func (n *Node) suspendedSince(host string, at time.Time) (since time.Time, suspended bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.suspensions {
		if s.host == host && at.After(s.from) && (s.until.IsZero() || at.Before(s.until)) {
			return s.from, true
		}
	}
	return since, false
}
