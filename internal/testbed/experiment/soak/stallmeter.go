package soak

import (
	"sync"
	"time"
)

// stallMeter measures the longest time for which the machine does not run this process.
type stallMeter struct {
	mu      sync.Mutex    // protects longest
	longest time.Duration // stall so far
	end     chan struct{} // closed by stop
}

// newStallMeter returns a meter that measures until its stop method is called.
func newStallMeter() *stallMeter {
	m := &stallMeter{end: make(chan struct{})}
	go func() {
		const step = 5 * time.Millisecond // between two readings of the clock
		for last := time.Now(); ; {
			select {
			case <-m.end:
				return
			case <-time.After(step):
				m.mu.Lock()
				m.longest = max(m.longest, time.Since(last)-step)
				m.mu.Unlock()
				last = time.Now()
			}
		}
	}()
	return m
}

// longestStall returns the longest stall so far.
func (m *stallMeter) longestStall() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longest
}

// stop ends the measurement. It may be called once.
func (m *stallMeter) stop() { close(m.end) }
