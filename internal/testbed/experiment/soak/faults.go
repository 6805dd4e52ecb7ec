package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// faultKind is one kind of trouble. play has it happen and returns once it is over; it may be called for several at once.
type faultKind struct {
	name   string
	weight int
	play   func(f *Fleet, rng *rand.Rand)
}

var faultKinds = []faultKind{
	{"stop", 6, func(f *Fleet, rng *rand.Rand) { f.onNode(rng, (*Fleet).stopNode) }},
	{"stop-while-hosts-hang", 4, func(f *Fleet, rng *rand.Rand) {
		undo := f.hangHosts(rng, len(f.Hosts())/2)
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		f.onNode(rng, (*Fleet).stopNode)
		undo()
	}},
	{"replace", 2, func(f *Fleet, rng *rand.Rand) { f.onNode(rng, (*Fleet).replaceNode) }},
	{"kill", 3, func(f *Fleet, rng *rand.Rand) { f.onNode(rng, (*Fleet).killNode) }},
	{"pause", 4, func(f *Fleet, rng *rand.Rand) {
		if l := f.node(rng).Current(); l != nil && !l.hasEnded() {
			l.pause(time.Duration(20+rng.IntN(130)) * time.Millisecond)
		}
	}},
	{"hang", 5, func(f *Fleet, rng *rand.Rand) {
		undo := f.hangHosts(rng, 1+rng.IntN(len(f.Hosts())))
		time.Sleep(randomSpan(rng, 300, 4000))
		undo()
	}},
	{"slow", 4, func(f *Fleet, rng *rand.Rand) {
		h := f.host(rng)
		h.slow.Store(int64(randomSpan(rng, 50, 1500)))
		time.Sleep(randomSpan(rng, 500, 4000))
		h.slow.Store(0)
	}},
	{"errors", 3, func(f *Fleet, rng *rand.Rand) {
		h := f.host(rng)
		h.errs.Store(true)
		time.Sleep(randomSpan(rng, 200, 2000))
		h.errs.Store(false)
	}},
	{"resets", 4, func(f *Fleet, rng *rand.Rand) {
		h := f.host(rng)
		h.resets.Store(true)
		time.Sleep(randomSpan(rng, 200, 2000))
		h.resets.Store(false)
	}},
	{"reset-standing", 3, func(f *Fleet, rng *rand.Rand) { f.host(rng).ResetSome(1 + rng.IntN(4)) }},
	{"host-restart", 3, func(f *Fleet, rng *rand.Rand) {
		h := f.host(rng)
		if h.claimed.CompareAndSwap(false, true) {
			f.recordError(h.Restart(randomSpan(rng, 50, 1500)))
			f.setState(h, "up")
			h.claimed.Store(false)
		}
	}},
	{"drain", 5, (*Fleet).drain},
	{"discovery-down", 4, func(f *Fleet, rng *rand.Rand) {
		f.disturbDiscoveries(rng, 300, 6000, func(n *Node, k int, on bool) { n.discovery[k].SetDown(on) })
	}},
	{"discovery-silent", 3, func(f *Fleet, rng *rand.Rand) {
		f.disturbDiscoveries(rng, 300, 5000, func(n *Node, k int, on bool) { n.discovery[k].SetSilent(on) })
	}},
	{"discovery-slow", 3, func(f *Fleet, rng *rand.Rand) {
		by := randomSpan(rng, 200, 1900)
		f.disturbDiscoveries(rng, 1000, 5000, func(n *Node, k int, on bool) {
			if !on {
				by = 0
			}
			n.discovery[k].SetDelay(by)
		})
	}},
	{"suspend", 4, (*Fleet).suspend},
	{"reconfigure", 4, (*Fleet).reconfigure},
}

// randomSpan draws a time from least to most milliseconds.
func randomSpan(rng *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+rng.IntN(most-least)) * time.Millisecond
}

func (f *Fleet) node(rng *rand.Rand) *Node { return f.nodes[rng.IntN(len(f.nodes))] }

func (f *Fleet) host(rng *rand.Rand) *Host {
	all := f.Hosts()
	return all[rng.IntN(len(all))]
}

// onNode has something happen to a proxy's process, unless something else does.
func (f *Fleet) onNode(rng *rand.Rand, do func(f *Fleet, n *Node, rng *rand.Rand) error) {
	n := f.node(rng)
	if !n.claim() {
		return
	}
	defer n.release()
	if n.Current() != nil {
		f.recordError(do(f, n, rng))
	}
}

// stopNode ends a process in order and starts the next one.
func (f *Fleet) stopNode(n *Node, rng *rand.Rand) error {
	n.Current().stop(f.longestDeadline(), f.stalls.value())
	time.Sleep(randomSpan(rng, 10, 400))
	return n.start()
}

// killNode ends a process at once and starts the next one.
func (f *Fleet) killNode(n *Node, rng *rand.Rand) error {
	n.Current().kill()
	time.Sleep(randomSpan(rng, 10, 1500))
	return n.start()
}

// replaceNode has a new process take over from one that serves, which then ends in order.
func (f *Fleet) replaceNode(n *Node, rng *rand.Rand) error {
	old := n.Current()
	if err := n.start(); err != nil {
		return err
	}
	next := n.Current()
	old.mu.Lock()
	old.successor = next
	old.mu.Unlock()
	time.Sleep(randomSpan(rng, 0, 3000))
	old.stop(f.longestDeadline(), f.stalls.value())
	return nil
}

// hangHosts has some hosts say nothing any more; what it gives ends that.
func (f *Fleet) hangHosts(rng *rand.Rand, n int) (undo func()) {
	var hung []*Host
	for range n {
		h := f.host(rng)
		h.hangs.Store(true)
		hung = append(hung, h)
	}
	return func() {
		for _, h := range hung {
			h.hangs.Store(false)
		}
	}
}

// drain takes a host out of the list in order, removes it, and brings it back cold.
func (f *Fleet) drain(rng *rand.Rand) {
	h := f.host(rng)
	if !h.claimed.CompareAndSwap(false, true) {
		return
	}
	defer h.claimed.Store(false)
	f.setState(h, "draining")
	time.Sleep(randomSpan(rng, 0, 500))
	h.drains.Store(true)
	h.SendAway()
	time.Sleep(randomSpan(rng, 500, 3000))
	if rng.IntN(2) == 0 {
		f.setState(h, "removed")
		f.recordError(h.Restart(randomSpan(rng, 100, 1000)))
	}
	h.drains.Store(false)
	f.setState(h, "up")
}

// disturbDiscoveries has the discoveries of some proxies be in trouble for a while, the one that is asked and the next one alike.
func (f *Fleet) disturbDiscoveries(rng *rand.Rand, least, most int, set func(n *Node, which int, on bool)) {
	first, count, which := rng.IntN(len(f.nodes)), 1+rng.IntN(len(f.nodes)), rng.IntN(2)
	each := func(on bool) {
		for i := range count {
			set(f.nodes[(first+i)%len(f.nodes)], which, on)
		}
	}
	each(true)
	time.Sleep(randomSpan(rng, least, most))
	each(false)
}

// reconfigure gives a proxy new configurations, one or several in quick succession, each with the other discovery.
func (f *Fleet) reconfigure(rng *rand.Rand) {
	n := f.node(rng)
	if !n.claim() {
		return
	}
	defer n.release()
	l := n.Current()
	if l == nil {
		return
	}
	for range 1 + rng.IntN(3) {
		n.activeDiscovery = 1 - n.activeDiscovery
		if err := l.rewriteConfig("discovery", n.discovery[n.activeDiscovery].Addr()); err != nil {
			f.recordError(err)
			return
		}
		l.proc.Signal(syscall.SIGHUP)
		time.Sleep(randomSpan(rng, 5, 400))
	}
}

// drawFault gives one fault by its weight.
func drawFault(rng *rand.Rand) faultKind {
	sum := 0
	for _, x := range faultKinds {
		sum += x.weight
	}
	at := rng.IntN(sum)
	for _, x := range faultKinds {
		if at -= x.weight; at < 0 {
			return x
		}
	}
	panic("unreachable")
}

// playFaults has faults begin at drawn moments, whatever others are under way.
func (f *Fleet) playFaults(until time.Time, rng *rand.Rand, say func(string)) {
	defer f.workers.Done()
	total := time.Until(until)
	for i := range f.options.Faults {
		x, seed := drawFault(rng), rng.Uint64()
		at := time.Duration(rng.Float64() * float64(total))
		f.workers.Add(1)
		go func() {
			defer f.workers.Done()
			time.Sleep(at)
			say(fmt.Sprintf("%.3f fault %d %s", at.Seconds(), i, x.name))
			x.play(f, rand.New(rand.NewPCG(seed, 2)))
		}()
	}
}
