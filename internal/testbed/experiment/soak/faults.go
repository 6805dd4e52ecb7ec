package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// faultKind is a kind of fault. inject injects it and returns when the fault is over. Several
// faults may be in progress at once.
type faultKind struct {
	name   string
	weight int // relative frequency
	inject func(f *Fleet, rng *rand.Rand)
}

// replaceFault is a hot restart of a proxy.
var replaceFault = faultKind{"replace", 2, func(f *Fleet, rng *rand.Rand) { f.onRandomNode(rng, (*Fleet).replaceNode) }}

// faultKinds contains all kinds of faults that injectFaults chooses from.
var faultKinds = []faultKind{
	{"stop", 6, func(f *Fleet, rng *rand.Rand) { f.onEndableNode(rng, (*Fleet).stopNode) }},
	{"stop-while-hosts-hang", 4, func(f *Fleet, rng *rand.Rand) {
		undo := f.hangHosts(rng, len(f.Hosts())/2)
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		f.onEndableNode(rng, (*Fleet).stopNode)
		undo()
	}},
	replaceFault,
	{"kill", 3, func(f *Fleet, rng *rand.Rand) { f.onEndableNode(rng, (*Fleet).killNode) }},
	{"pause", 4, func(f *Fleet, rng *rand.Rand) {
		if process := f.randomNode(rng).Current(); process != nil && !process.hasEnded() {
			process.pause(time.Duration(20+rng.IntN(130)) * time.Millisecond)
		}
	}},
	{"hang", 5, func(f *Fleet, rng *rand.Rand) {
		undo := f.hangHosts(rng, 1+rng.IntN(len(f.Hosts())))
		time.Sleep(randomDuration(rng, 300, 4000))
		undo()
	}},
	{"slow", 4, func(f *Fleet, rng *rand.Rand) {
		h := f.randomHost(rng)
		h.acceptDelay.Store(int64(randomDuration(rng, 50, 1500)))
		time.Sleep(randomDuration(rng, 500, 4000))
		h.acceptDelay.Store(0)
	}},
	{"errors", 3, func(f *Fleet, rng *rand.Rand) {
		h := f.randomHost(rng)
		h.failingRequests.Store(true)
		time.Sleep(randomDuration(rng, 200, 2000))
		h.failingRequests.Store(false)
	}},
	{"resets", 4, func(f *Fleet, rng *rand.Rand) {
		h := f.randomHost(rng)
		h.resetting.Store(true)
		time.Sleep(randomDuration(rng, 200, 2000))
		h.resetting.Store(false)
	}},
	{"reset-established", 3, func(f *Fleet, rng *rand.Rand) { f.randomHost(rng).ResetEveryNth(1 + rng.IntN(4)) }},
	{"host-restart", 3, func(f *Fleet, rng *rand.Rand) {
		h := f.randomHost(rng)
		if h.claimed.CompareAndSwap(false, true) {
			f.recordError(h.Restart(randomDuration(rng, 50, 1500)))
			f.setState(h, "up")
			h.claimed.Store(false)
		}
	}},
	{"drain", 5, (*Fleet).drain},
	{"discovery-down", 4, func(f *Fleet, rng *rand.Rand) {
		f.faultDiscoveries(rng, 300, 6000, func(n *Node, k int, on bool) { n.discovery[k].SetDown(on) })
	}},
	{"discovery-silent", 3, func(f *Fleet, rng *rand.Rand) {
		f.faultDiscoveries(rng, 300, 5000, func(n *Node, k int, on bool) { n.discovery[k].SetSilent(on) })
	}},
	{"discovery-slow", 3, func(f *Fleet, rng *rand.Rand) {
		by := randomDuration(rng, 200, 1900)
		f.faultDiscoveries(rng, 1000, 5000, func(n *Node, k int, on bool) {
			if !on {
				by = 0
			}
			n.discovery[k].SetDelay(by)
		})
	}},
	{"suspend", 4, (*Fleet).suspend},
	{"reconfigure", 4, (*Fleet).reconfigure},
}

// randomDuration returns a random duration of at least least and less than most milliseconds.
func randomDuration(rng *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+rng.IntN(most-least)) * time.Millisecond
}

// randomNode returns a random proxy.
func (f *Fleet) randomNode(rng *rand.Rand) *Node { return f.nodes[rng.IntN(len(f.nodes))] }

// randomHost returns a random host.
func (f *Fleet) randomHost(rng *rand.Rand) *Host {
	all := f.Hosts()
	return all[rng.IntN(len(all))]
}

// onRandomNode calls do, which starts or ends processes, for a random proxy. It does nothing if
// another fault has claimed the proxy or the proxy has no process.
func (f *Fleet) onRandomNode(rng *rand.Rand, do func(f *Fleet, n *Node, rng *rand.Rand) error) {
	f.onNode(f.randomNode(rng), rng, do)
}

// onEndableNode is onRandomNode for a fault that ends a process, which it does not do if the proxy must
// always have one.
func (f *Fleet) onEndableNode(rng *rand.Rand, do func(f *Fleet, n *Node, rng *rand.Rand) error) {
	if n := f.randomNode(rng); n.mayEnd() {
		f.onNode(n, rng, do)
	}
}

// onNode calls do for a proxy, unless another fault has claimed it or it has no process.
func (f *Fleet) onNode(n *Node, rng *rand.Rand, do func(f *Fleet, n *Node, rng *rand.Rand) error) {
	if !n.claim() {
		return
	}
	defer n.release()
	if n.Current() != nil {
		f.recordError(do(f, n, rng))
	}
}

// stopNode shuts down a proxy's process and starts the next one after a random pause.
func (f *Fleet) stopNode(n *Node, rng *rand.Rand) error {
	n.Current().stop(f.longestDeadline(), f.stallMeter.longestStall())
	time.Sleep(randomDuration(rng, 10, 400))
	return n.start()
}

// killNode kills a proxy's process and starts the next one after a random pause.
func (f *Fleet) killNode(n *Node, rng *rand.Rand) error {
	n.Current().kill()
	time.Sleep(randomDuration(rng, 10, 1500))
	return n.start()
}

// replaceNode does a hot restart. A new process takes over from the current one, which is then shut
// down.
func (f *Fleet) replaceNode(n *Node, rng *rand.Rand) error {
	if !n.mayEnd() {
		f.voterRestart.Lock()
		defer func() {
			time.Sleep(voterRestartPause)
			f.voterRestart.Unlock()
		}()
	}
	old := n.Current()
	if err := n.start(); err != nil {
		return err
	}
	next := n.Current()
	old.mu.Lock()
	old.successor = next
	old.mu.Unlock()
	time.Sleep(randomDuration(rng, 0, 3000))
	old.stop(f.longestDeadline(), f.stallMeter.longestStall())
	return nil
}

// hangHosts makes up to n random hosts stop answering until undo is called.
func (f *Fleet) hangHosts(rng *rand.Rand, n int) (undo func()) {
	var hung []*Host
	for range n {
		h := f.randomHost(rng)
		h.hanging.Store(true)
		hung = append(hung, h)
	}
	return func() {
		for _, h := range hung {
			h.hanging.Store(false)
		}
	}
}

// drain drains a random host and lists it as up again later. In half of the cases it removes and
// restarts the host in between.
func (f *Fleet) drain(rng *rand.Rand) {
	h := f.randomHost(rng)
	if !h.claimed.CompareAndSwap(false, true) {
		return
	}
	defer h.claimed.Store(false)
	f.setState(h, "draining")
	time.Sleep(randomDuration(rng, 0, 500))
	h.draining.Store(true)
	h.MigrateClients()
	time.Sleep(randomDuration(rng, 500, 3000))
	if rng.IntN(2) == 0 {
		f.setState(h, "removed")
		f.recordError(h.Restart(randomDuration(rng, 100, 1000)))
	}
	h.draining.Store(false)
	f.setState(h, "up")
}

// faultDiscoveries sets a fault at one of the two discovery services of some proxies, for least to
// most milliseconds.
func (f *Fleet) faultDiscoveries(rng *rand.Rand, least, most int, set func(n *Node, index int, on bool)) {
	first, count, index := rng.IntN(len(f.nodes)), 1+rng.IntN(len(f.nodes)), rng.IntN(2)
	setAll := func(on bool) {
		for i := range count {
			set(f.nodes[(first+i)%len(f.nodes)], index, on)
		}
	}
	setAll(true)
	time.Sleep(randomDuration(rng, least, most))
	setAll(false)
}

// reconfigure switches a random proxy to its other discovery service, one to three times in quick
// succession. Each time it rewrites the configuration and makes the process reload it by SIGHUP.
func (f *Fleet) reconfigure(rng *rand.Rand) {
	n := f.randomNode(rng)
	if !n.claim() {
		return
	}
	defer n.release()
	process := n.Current()
	if process == nil {
		return
	}
	for range 1 + rng.IntN(3) {
		n.activeDiscovery = 1 - n.activeDiscovery
		if err := process.rewriteConfig("discovery", n.discovery[n.activeDiscovery].Addr()); err != nil {
			f.recordError(err)
			return
		}
		process.proc.Signal(syscall.SIGHUP)
		time.Sleep(randomDuration(rng, 5, 400))
	}
}

// randomFaultKind returns a random kind of fault. Kinds are chosen in proportion to their weights.
func randomFaultKind(rng *rand.Rand) faultKind {
	sum := 0
	for _, kind := range faultKinds {
		sum += kind.weight
	}
	remaining := rng.IntN(sum)
	for _, kind := range faultKinds {
		if remaining -= kind.weight; remaining < 0 {
			return kind
		}
	}
	panic("unreachable")
}

// nextFaultKind returns a random kind of fault. With rules on, one in three is a hot restart.
func (f *Fleet) nextFaultKind(rng *rand.Rand) faultKind {
	if f.options.Rules && rng.IntN(3) == 0 {
		return replaceFault
	}
	return randomFaultKind(rng)
}

// injectFaults starts random faults at random times until the given time, without waiting for
// earlier faults to end.
func (f *Fleet) injectFaults(until time.Time, rng *rand.Rand, recordFault func(string)) {
	defer f.workers.Done()
	total := time.Until(until)
	for i := range f.options.FaultCount {
		kind, seed := f.nextFaultKind(rng), rng.Uint64()
		at := time.Duration(rng.Float64() * float64(total))
		f.workers.Add(1)
		go func() {
			defer f.workers.Done()
			time.Sleep(at)
			recordFault(fmt.Sprintf("%.3f fault %d %s", at.Seconds(), i, kind.name))
			kind.inject(f, rand.New(rand.NewPCG(seed, 2)))
		}()
	}
}
