package netio

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

// environment is where netpoll's tasks run. netpoll has one set of pollers for a process, hence one of these.
var environment pollerEnvironment

// pollerEnvironment is netpoll's poller with the loop that it serves.
type pollerEnvironment struct {
	sync.Mutex
	loop    *Loop
	barrier *pollerBarrier
	gate    *loopGate
}

// whilePollerParked runs f on the loop while the poller is between two sockets and waits.
func (e *pollerEnvironment) whilePollerParked(f func()) {
	e.gate.openForBarrier()
	e.barrier.runWhileParked(func() {
		e.gate.closeAfterBarrier() // before the poller goes on, or it would not wait with what it reads first
		e.gate.pollerParked.Store(true)
		defer e.gate.pollerParked.Store(false)
		f()
	})
}

// Attach makes l the loop on which netpoll runs the callbacks of this process. One poller suits a machine of one
// core, and it only reads: nothing that blocks happens on it.
func Attach(l *Loop) error {
	environment.Lock()
	defer environment.Unlock()
	environment.loop = l
	if environment.barrier != nil {
		return nil // netpoll runs, and reads its configuration without a lock
	}
	environment.gate = newLoopGate()
	err := startPoller(netpoll.Config{
		PollerNum:  1,
		BufferSize: 1024,
		Runner: func(_ context.Context, f func()) {
			environment.Lock()
			loop := environment.loop
			environment.Unlock()
			environment.gate.runOnLoop(loop, f)
		},
		LoggerOutput: netpollLog{},
	})
	if err == nil {
		environment.barrier, err = newPollerBarrier()
	}
	if err == nil {
		environment.barrier.runWhileParked(func() {}) // from here on the loop can wait for the poller
	}
	return err
}

// How often, and how soon, the poller is started that could not be.
const (
	maxPollerStarts  = 50
	pollerStartPause = 20 * time.Millisecond
)

// startPoller has netpoll open its poller. netpoll would do that when it is first used, on any goroutine, and panics where the kernel has no
// resources for it.
func startPoller(c netpoll.Config) (err error) {
	for range maxPollerStarts {
		if err = netpoll.Configure(c); err == nil {
			err = openPoller()
		}
		if err == nil {
			return nil
		}
		slog.Warn("poller_failed", "reason", err)
		time.Sleep(pollerStartPause)
	}
	return err
}

// openPoller turns netpoll's panic into an error.
func openPoller() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("netpoll: %v", p)
		}
	}()
	netpoll.Initialize()
	return nil
}

// netpollLog writes netpoll's own messages to this program's log.
type netpollLog struct{}

// Write logs one message.
func (netpollLog) Write(p []byte) (int, error) {
	if !bytes.Contains(p, []byte(errStopped.Error())) {
		slog.Error("netpoll", "text", string(bytes.TrimSpace(p)))
	}
	return len(p), nil
}
