package netio

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// environment is the poller environment of the process: netpoll has one set of pollers per process.
var environment pollerEnvironment

// pollerEnvironment holds the loop that runs netpoll's callbacks, and the means to synchronize it with
// the poller.
type pollerEnvironment struct {
	sync.Mutex
	loop    *Loop          // guarded by the mutex; replaced by each Attach
	barrier *pollerBarrier // parks the poller, the goroutine that reads and accepts; set by the first Attach
	gate    *loopGate      // set by the first Attach

	unsettled unsettledDescriptors
}

// whilePollerParked calls f while the poller is parked between two sockets. It must be called on the
// loop.
func (e *pollerEnvironment) whilePollerParked(f func()) {
	e.gate.openForBarrier()
	e.barrier.runWhileParked(func() {
		e.gate.closeAfterBarrier() // the poller must wait for the loop again from its first read on
		e.gate.pollerParked.Store(true)
		defer e.gate.pollerParked.Store(false)
		f()
	})
}

// Attach makes l the loop on which netpoll runs the callbacks of this process, and starts netpoll if
// needed. One poller suits a machine with one core: it only reads and accepts, and the callbacks run on
// the loop.
func Attach(l *Loop) error {
	environment.Lock()
	defer environment.Unlock()
	environment.loop = l
	if environment.barrier != nil {
		return nil // netpoll is running, and reads its configuration without a lock
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

// maxPollerStarts is how many times in all the start of the poller is tried, with pollerStartPause after
// each failure.
const (
	maxPollerStarts  = 50
	pollerStartPause = 20 * time.Millisecond
)

// startPoller makes netpoll open its poller. It tries up to maxPollerStarts times, and returns the error of
// the last one. By default netpoll opens it on first use, on any goroutine, and panics if the kernel has no
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

// openPoller opens netpoll's poller and returns a panic of netpoll as an error.
func openPoller() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("netpoll: %v", p)
		}
	}()
	netpoll.Initialize()
	return nil
}

// netpollLog writes netpoll's messages to the structured log, except those about errStopped. Resets by peers
// are normal, and logged for debugging only: clients would otherwise write a line each to the log, and the
// limit of repeated lines would not hold, since each has another text.
type netpollLog struct{}

// Write logs one message.
func (netpollLog) Write(p []byte) (int, error) {
	text := string(bytes.TrimSpace(p))
	switch {
	case strings.Contains(text, errStopped.Error()):
	case strings.Contains(text, syscall.ECONNRESET.Error()):
		slog.Debug("netpoll", "text", text)
	default:
		slog.Error("netpoll", "text", text)
	}
	return len(p), nil
}
