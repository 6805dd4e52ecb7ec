package soak

import (
	"math/rand/v2"
	"net"
	"time"
)

// load has clients come to a proxy, whatever becomes of the earlier ones, until the given time.
func (f *Fleet) load(n *Node, until time.Time, rng *rand.Rand) {
	defer f.playing.Done()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rng.ExpFloat64() / f.opt.Rate * 1e9))
		l := n.Life()
		if l == nil || l.stoppedFor(frontNotices) {
			continue // the front sends nobody there
		}
		f.playing.Add(1)
		kind, seed := rng.IntN(20), rng.Uint64()
		go func() {
			defer f.playing.Done()
			f.client(n, l, kind, rand.New(rand.NewPCG(seed, 1)))
		}()
	}
}

// frontNotices is how long after its SIGTERM a process still gets new connections.
const frontNotices = 350 * time.Millisecond

// stoppedFor tells whether the process was told to end so long ago, or is gone.
func (l *life) stoppedFor(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stopped.IsZero() && time.Since(l.stopped) > d || !l.killed.IsZero() || !l.gone.IsZero()
}

// client is one client, of a drawn kind.
func (f *Fleet) client(n *Node, l *life, kind int, rng *rand.Rand) {
	class := f.classes[rng.IntN(len(f.classes))]
	wait := class.Deadline
	if rng.IntN(5) == 0 {
		wait = time.Duration(1 + rng.Int64N(int64(class.Deadline))) // little time is left of it
	}
	wait = max(wait.Truncate(time.Millisecond), time.Millisecond)
	r := Request{Class: class.Name, Wait: wait, Every: time.Duration(50+rng.IntN(300)) * time.Millisecond}
	if kind == 0 {
		badClient(n.setup.Listen, rng)
		return
	}
	s, err := Dial(n.setup.Listen, r)
	if err != nil {
		return // nobody accepts there now
	}
	switch {
	case kind == 1: // it rests first
		time.Sleep(time.Duration(rng.IntN(2400)) * time.Millisecond)
	case kind == 2:
		s.Pieces = true
	}
	if s.Ask() != nil {
		s.Leave()
		return
	}
	a := &asked{Session: s, life: l, class: class}
	f.mu.Lock()
	f.sessions = append(f.sessions, a)
	f.mu.Unlock()
	stay := wait + time.Duration(500+rng.IntN(5000))*time.Millisecond
	if kind == 3 {
		stay = time.Duration(rng.Int64N(int64(wait) + 1)) // it gives up early
	}
	select {
	case <-s.Ended():
	case <-time.After(stay):
		s.Leave()
	}
}

// badClient sends what is no request: half of one, and stays; junk; or much at once, and goes.
func badClient(addr string, rng *rand.Rand) {
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
