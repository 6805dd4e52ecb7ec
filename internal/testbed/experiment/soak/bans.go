package soak

import (
	"math/rand/v2"
	"time"

	"croftlock/internal/testbed/experiment"
)

// ban is an operator's word that a proxy sends nothing more to a host, from the proxy's yes to the call that takes it back.
type ban struct {
	host     string
	from, to time.Time // to is zero while it holds
}

// banGrace is how long after a call, or a yes, its effect may take: the platform counts a word from the yes, or from 1 s after the call.
const banGrace = time.Second

// suspend has an operator take a host out at a proxy and call it back later, whatever becomes of the proxy's process meanwhile.
func (f *Fleet) suspend(rng *rand.Rand) {
	n, h := f.node(rng), f.host(rng)
	if !n.takeBan(h.UID) {
		return // each ban is called back by whoever made it
	}
	defer n.giveBan(h.UID)
	if !n.operate(h.UID, "suspend") {
		return
	}
	b := &ban{host: h.UID, from: time.Now()}
	n.mu.Lock()
	n.bans = append(n.bans, b)
	n.mu.Unlock()
	time.Sleep(span(rng, 500, 6000))
	n.mu.Lock()
	b.to = time.Now()
	n.mu.Unlock()
	for range 100 {
		if n.operate(h.UID, "resume") {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// takeBan keeps two operators from meaning the same host at one proxy at once.
func (n *Node) takeBan(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.banning[host] {
		return false
	}
	n.banning[host] = true
	return true
}

func (n *Node) giveBan(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.banning, host)
}

// operate makes an operator's call at the process that runs, and tells whether it said yes.
func (n *Node) operate(host, word string) bool {
	l := n.Life()
	if l == nil || l.stopping() {
		return false
	}
	status, _, _, err := experiment.Call(l.admin, "POST", "/v1/catalogue-servers/"+host+"/"+word)
	return err == nil && status == 200
}

// banned tells since when a host was out by hand at a proxy, at some moment.
func (n *Node) banned(host string, at time.Time) (since time.Time, is bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range n.bans {
		if b.host == host && at.After(b.from) && (b.to.IsZero() || at.Before(b.to)) {
			return b.from, true
		}
	}
	return since, false
}
