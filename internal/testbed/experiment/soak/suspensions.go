package soak

import (
	"math/rand/v2"
	"time"

	"croftlock/internal/testbed/experiment"
)

// suspension is a period in which a proxy must not use a host. It lasts from the answer to an
// operator's suspend call until the resume call.
type suspension struct {
	host        string
	from, until time.Time // until is zero while the suspension lasts
}

// suspensionGrace is how long a suspension may take to become effective. The platform expects the
// effect from the answer on, or from 1 s after the call.
const suspensionGrace = time.Second

// suspend acts as an operator who suspends a random host at a random proxy and resumes it later,
// even if the proxy's process has been replaced meanwhile.
func (f *Fleet) suspend(rng *rand.Rand) {
	n, h := f.randomNode(rng), f.randomHost(rng)
	if !n.claimSuspension(h.UID) {
		return // another operator has suspended the host and will resume it
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
	const attempts, retryInterval = 100, 100 * time.Millisecond // calls fail while the proxy's next process is starting
	for range attempts {
		if n.callOperator(h.UID, "resume") {
			return
		}
		time.Sleep(retryInterval)
	}
}

// claimSuspension reports whether the caller may suspend a host at a proxy. One operator at a time
// may, until it calls releaseSuspension.
func (n *Node) claimSuspension(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.suspending[host] {
		return false
	}
	n.suspending[host] = true
	return true
}

// releaseSuspension ends a claim made by claimSuspension.
func (n *Node) releaseSuspension(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.suspending, host)
}

// callOperator makes an operator's call, suspend or resume, at the current process. It reports whether
// the call succeeded. If there is no process or the process is stopping, it makes no call.
func (n *Node) callOperator(host, action string) bool {
	process := n.Current()
	if process == nil || process.isStopping() {
		return false
	}
	status, _, _, err := experiment.CallAdmin(process.admin, "POST", "/v1/catalogue-servers/"+host+"/"+action)
	return err == nil && status == 200
}

// suspendedSince reports whether a host was suspended at a proxy at the given time. If so, it
// returns the time of the suspension.
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
