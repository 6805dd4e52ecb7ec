package netio

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// rejectingHandler counts a connection as open until its descriptor is free, and ends it at its first input,
// as a proxy that rejects a client does.
type rejectingHandler struct{ discardingHandler }

// Data ends the connection with a last line.
func (rejectingHandler) Data(c *Conn) {
	time.Sleep(time.Millisecond) // work of the loop for each connection
	c.FinishWith([]byte("BUSY\r\n"))
}

// countDescriptors returns how many descriptors this process holds.
func countDescriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// TestDescriptorsAreCounted guards against descriptors beyond the platform's limit while clients connect and
// leave faster than the loop handles them: connections that are accepted ahead of the loop, and ended ones that
// netpoll has not closed, are few.
func TestDescriptorsAreCounted(t *testing.T) {
	l := runningLoop(t)
	var open, mostOpen atomic.Int64
	addr, err := Listen(l, "127.0.0.1:0", 1024, func(c *Conn) Handler {
		mostOpen.Store(max(mostOpen.Load(), open.Add(1)))
		c.OnDescriptorFree(func() { open.Add(-1) })
		return rejectingHandler{}
	})
	if err != nil {
		t.Fatal(err)
	}
	const clients = 64
	before, most := countDescriptors(t), 0
	var running sync.WaitGroup
	end := time.Now().Add(1500 * time.Millisecond)
	for range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			for time.Now().Before(end) {
				if c, err := net.Dial("tcp", addr.String()); err == nil {
					c.Write([]byte("x\r\n"))
					c.Close()
				}
			}
		}()
	}
	uncounted := 0
	for time.Now().Before(end) {
		counted := int(open.Load())
		n := countDescriptors(t)
		most, uncounted = max(most, n), max(uncounted, n-before-clients-max(counted, int(open.Load())))
		time.Sleep(2 * time.Millisecond)
	}
	running.Wait()
	t.Logf("at most %d descriptors, %d of them counted by no connection and no client; %d connections open at once", most, uncounted, mostOpen.Load())
	const slack = 8 // those that open and close while they are counted
	if uncounted > maxUnsettled+slack {
		t.Errorf("%d descriptors are counted by no connection, want at most %d", uncounted, maxUnsettled+slack)
	}
}
