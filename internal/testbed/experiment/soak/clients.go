package soak

import (
	"math/rand/v2"
	"net"
	"time"

	"croftlock/internal/testbed/experiment"
)

// runClients starts clients of a proxy until the given time, at random intervals that average to
// options.Rate. It does not wait for earlier clients to end.
func (f *Fleet) runClients(n *Node, until time.Time, rng *rand.Rand) {
	defer f.workers.Done()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rng.ExpFloat64() / f.options.Rate * 1e9))
		process := n.Current()
		if process == nil || process.stoppedLongerThan(frontNoticeDelay) {
			continue // the platform's front sends no clients to this process
		}
		f.workers.Add(1)
		kind, seed := clientKind(rng.IntN(clientKindRange)), rng.Uint64()
		go func() {
			defer f.workers.Done()
			f.runClient(process, kind, rand.New(rand.NewPCG(seed, 1)))
		}()
	}
}

// frontNoticeDelay is how long the platform's front continues to send new connections to a process
// after SIGTERM.
const frontNoticeDelay = 350 * time.Millisecond

// stoppedLongerThan reports whether the process was sent SIGTERM more than d ago, was killed by a
// fault, or has ended.
func (p *proxyProcess) stoppedLongerThan(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stoppedAt.IsZero() && time.Since(p.stoppedAt) > d || !p.killedAt.IsZero() || !p.endedAt.IsZero()
}

// clientKind specifies the fault of a client.
type clientKind int

// The kinds of faulty clients. The kind is a random number below clientKindRange, and all other
// numbers mean a client without a fault.
const (
	malformedClient clientKind = iota // sends no valid request
	delayedClient                     // waits before it sends its request
	piecewiseClient                   // sends its request line in two parts
	impatientClient                   // closes its connection before its request's timeout
	usedIDClient                      // sends the ID of another client's open request
	clientKindRange = 20
)

// runClient runs one client until its connection ends. It records the request if it was sent.
func (f *Fleet) runClient(process *proxyProcess, kind clientKind, rng *rand.Rand) {
	class := f.classes[rng.IntN(len(f.classes))]
	request, proxy := randomRequest(class, rng), process.node.setup.Listen
	switch kind {
	case malformedClient:
		sendMalformed(proxy, rng)
		return
	case usedIDClient:
		f.sendUsedID(process, rng)
		return
	}
	if f.options.Rules && rng.IntN(refusedShare) == 0 {
		request.ExtraFields = "t=" + refusedTenant
	}
	c, err := Dial(proxy, request)
	if err != nil {
		return // no process accepts connections at the address now
	}
	switch kind {
	case delayedClient:
		time.Sleep(time.Duration(rng.IntN(2400)) * time.Millisecond)
	case piecewiseClient:
		c.SplitRequestLine = true
	}
	if c.SendRequest() != nil {
		c.Close()
		return
	}
	f.mu.Lock()
	f.requests = append(f.requests, &clientRequest{ClientConnection: c, process: process, class: class})
	f.mu.Unlock()
	closeAfter := request.Timeout + time.Duration(500+rng.IntN(5000))*time.Millisecond
	if kind == impatientClient {
		closeAfter = time.Duration(rng.Int64N(int64(request.Timeout) + 1))
	}
	select {
	case <-c.Ended():
	case <-time.After(closeAfter):
		c.Close()
	}
}

// randomRequest returns a request of a class with a random interval between lines. One in five has
// a shorter timeout than the class's deadline.
func randomRequest(class experiment.Class, rng *rand.Rand) Request {
	timeout := class.Deadline
	if rng.IntN(5) == 0 {
		timeout = time.Duration(1 + rng.Int64N(int64(class.Deadline)))
	}
	timeout = max(timeout.Truncate(time.Millisecond), time.Millisecond)
	return Request{Class: class.Name, Timeout: timeout, Interval: time.Duration(50+rng.IntN(300)) * time.Millisecond}
}

// sendMalformed sends an invalid request: half of a request line, an HTTP request, or 256 KiB of
// zero bytes.
func sendMalformed(addr string, rng *rand.Rand) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(4 * time.Second))
	switch rng.IntN(3) {
	case 0:
		c.Write([]byte("OPEN 9b1f03aa5c7e2d"))
		c.Read(make([]byte, 64))
	case 1:
		c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		c.Read(make([]byte, 64))
	case 2:
		c.Write(make([]byte, 256<<10))
	}
}
