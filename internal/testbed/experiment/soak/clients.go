package soak

import (
	"math/rand/v2"
	"net"
	"time"

	"croftlock/internal/testbed/experiment"
)

// runClients starts clients of a proxy at the rate, without waiting for the earlier ones, until the given time.
func (f *Fleet) runClients(n *Node, until time.Time, rng *rand.Rand) {
	defer f.workers.Done()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rng.ExpFloat64() / f.options.Rate * 1e9))
		process := n.Current()
		if process == nil || process.stoppedLongerThan(frontNoticeDelay) {
			continue // the front sends no clients there
		}
		f.workers.Add(1)
		kind, seed := clientKind(rng.IntN(clientKindRange)), rng.Uint64()
		go func() {
			defer f.workers.Done()
			f.runClient(process, kind, rand.New(rand.NewPCG(seed, 1)))
		}()
	}
}

// frontNoticeDelay is how long after its SIGTERM the front still sends a process new connections.
const frontNoticeDelay = 350 * time.Millisecond

// stoppedLongerThan returns whether the process got SIGTERM longer ago than d, or has ended.
func (p *proxyProcess) stoppedLongerThan(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stoppedAt.IsZero() && time.Since(p.stoppedAt) > d || !p.killedAt.IsZero() || !p.endedAt.IsZero()
}

// clientKind is how a client behaves.
type clientKind int

// The kinds, each with one chance in clientKindRange; the other clients have none of these faults.
const (
	malformedClient clientKind = iota // sends no valid request
	delayedClient                     // waits before its request
	piecewiseClient                   // sends its request line in two parts
	impatientClient                   // closes its connection early
	clientKindRange = 20
)

// runClient plays one client.
func (f *Fleet) runClient(process *proxyProcess, kind clientKind, rng *rand.Rand) {
	class := f.classes[rng.IntN(len(f.classes))]
	request, proxy := randomRequest(class, rng), process.node.setup.Listen
	if kind == malformedClient {
		sendMalformed(proxy, rng)
		return
	}
	c, err := Dial(proxy, request)
	if err != nil {
		return // no process accepts there now
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
	stay := request.Timeout + time.Duration(500+rng.IntN(5000))*time.Millisecond
	if kind == impatientClient {
		stay = time.Duration(rng.Int64N(int64(request.Timeout) + 1))
	}
	select {
	case <-c.Ended():
	case <-time.After(stay):
		c.Close()
	}
}

// randomRequest draws a request of a class; one in five has less than the class's deadline left.
func randomRequest(class experiment.Class, rng *rand.Rand) Request {
	wait := class.Deadline
	if rng.IntN(5) == 0 {
		wait = time.Duration(1 + rng.Int64N(int64(class.Deadline)))
	}
	wait = max(wait.Truncate(time.Millisecond), time.Millisecond)
	return Request{Class: class.Name, Timeout: wait, Interval: time.Duration(50+rng.IntN(300)) * time.Millisecond}
}

// sendMalformed sends no valid request: half of a line, then nothing; another protocol; or a long run of zero bytes.
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
