package soak

import (
	"math/rand/v2"
	"net"
	"time"

	"croftlock/internal/testbed/experiment"
)

// playClients has clients come to a proxy, whatever becomes of the earlier ones, until the given time.
func (f *Fleet) playClients(n *Node, until time.Time, rng *rand.Rand) {
	defer f.workers.Done()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rng.ExpFloat64() / f.options.Rate * 1e9))
		l := n.Current()
		if l == nil || l.stoppedFor(frontNoticeDelay) {
			continue // the front sends nobody there
		}
		f.workers.Add(1)
		kind, seed := clientKind(rng.IntN(clientKinds)), rng.Uint64()
		go func() {
			defer f.workers.Done()
			f.playClient(n, l, kind, rand.New(rand.NewPCG(seed, 1)))
		}()
	}
}

// frontNoticeDelay is how long after its SIGTERM a process still gets new connections.
const frontNoticeDelay = 350 * time.Millisecond

// stoppedFor returns whether the process got SIGTERM longer ago than d, or has ended.
func (p *incarnation) stoppedFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stoppedAt.IsZero() && time.Since(p.stoppedAt) > d || !p.killedAt.IsZero() || !p.endedAt.IsZero()
}

// clientKind is what sets a client apart; most are ordinary.
type clientKind int

// The kinds, each with one chance in clientKinds; the others are ordinary.
const (
	malformedClient clientKind = iota // sends what is no request
	restingClient                     // waits before its first line
	piecewiseClient                   // sends its first line in two pieces
	hastyClient                       // gives up early
	clientKinds     = 20
)

// playClient is one client, of a drawn kind.
func (f *Fleet) playClient(n *Node, l *incarnation, kind clientKind, rng *rand.Rand) {
	class := f.classes[rng.IntN(len(f.classes))]
	r := drawRequest(class, rng)
	if kind == malformedClient {
		playMalformed(n.setup.Listen, rng)
		return
	}
	s, err := Dial(n.setup.Listen, r)
	if err != nil {
		return // nobody accepts there now
	}
	switch kind {
	case restingClient:
		time.Sleep(time.Duration(rng.IntN(2400)) * time.Millisecond)
	case piecewiseClient:
		s.InPieces = true
	}
	if s.Ask() != nil {
		s.Leave()
		return
	}
	f.mu.Lock()
	f.sessions = append(f.sessions, &clientRequest{Session: s, incarnation: l, class: class})
	f.mu.Unlock()
	stay := r.Wait + time.Duration(500+rng.IntN(5000))*time.Millisecond
	if kind == hastyClient {
		stay = time.Duration(rng.Int64N(int64(r.Wait) + 1))
	}
	select {
	case <-s.Ended():
	case <-time.After(stay):
		s.Leave()
	}
}

// drawRequest draws a request of a class; for one in five little time is left.
func drawRequest(class experiment.Class, rng *rand.Rand) Request {
	wait := class.Deadline
	if rng.IntN(5) == 0 {
		wait = time.Duration(1 + rng.Int64N(int64(class.Deadline)))
	}
	wait = max(wait.Truncate(time.Millisecond), time.Millisecond)
	return Request{Class: class.Name, Wait: wait, Interval: time.Duration(50+rng.IntN(300)) * time.Millisecond}
}

// playMalformed sends what is no request: half of one, and stays; junk; or much at once, and goes.
func playMalformed(addr string, rng *rand.Rand) {
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
