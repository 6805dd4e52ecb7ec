package command

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/testbed/fake"
)

// requestOutcome is what became of a request to an address at which a process may have ended.
type requestOutcome int

const (
	notAccepted requestOutcome = iota // the connection was refused
	answered
	lost // the connection was accepted and ended without an answer
)

// tryRequest sends a request to an address and returns its outcome.
func tryRequest(addr string) requestOutcome {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return notAccepted
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "OPEN %s %s c=lab,d=4000\r\n", fake.NewID(), fake.NewID())
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.HasSuffix(line, "\r\n") {
		return lost
	}
	return answered
}

// TestSuccessorKilledDuringShutdown guards against requests without an answer: the new process of a hot restart
// is killed while the old one shuts down, and the kernel goes on accepting clients for the old one.
func TestSuccessorKilledDuringShutdown(t *testing.T) {
	h := newHotRestartTest(t)
	old, _ := h.startReady()
	for range 150 { // so many that their handover takes longer than the kill
		h.open()
	}
	successor, _ := h.startReady()
	old.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	successor.Kill()
	time.Sleep(100 * time.Millisecond) // the killed process's own connections end with it

	var mu sync.Mutex
	var clients sync.WaitGroup
	outcomes := map[requestOutcome]int{}
	const shortestFrontDelay = 870 * time.Millisecond // the front sends clients for at least that long
	for began := time.Now(); time.Since(began) < shortestFrontDelay; time.Sleep(20 * time.Millisecond) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			outcome := tryRequest(h.setup.Listen)
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		}()
	}
	clients.Wait()
	t.Logf("%d requests answered, %d lost, %d connections not accepted", outcomes[answered], outcomes[lost], outcomes[notAccepted])
	if outcomes[lost] > 0 || outcomes[answered] == 0 {
		t.Errorf("%d requests lost and %d answered, want none lost and some answered", outcomes[lost], outcomes[answered])
	}
	select {
	case <-old.Done():
	case <-time.After(4 * time.Second):
		t.Error("the old process has not ended 4 s later, want that before the platform's SIGKILL")
	}
}
