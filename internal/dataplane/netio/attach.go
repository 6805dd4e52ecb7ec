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

// current is where netpoll's tasks run. netpoll has one set of pollers for a process, hence one runner.
var current env

type env struct {
	sync.Mutex
	loop  *Loop
	fence *fence
	gate  *gate
}

// park runs f on the loop while the poller is between two sockets and waits.
func (e *env) park(f func()) {
	e.gate.raise()
	e.fence.wait(func() {
		e.gate.lower() // before the poller goes on, or what it reads first would not be held back
		e.gate.own.Store(true)
		defer e.gate.own.Store(false)
		f()
	})
}

// Attach makes l the loop on which netpoll runs the callbacks of this process. One poller suits a machine of one
// core, and it only reads: nothing that blocks happens on it.
func Attach(l *Loop) error {
	current.Lock()
	defer current.Unlock()
	current.loop = l
	if current.fence != nil {
		return nil // netpoll runs, and reads its configuration without a lock
	}
	current.gate = newGate()
	err := startPoller(netpoll.Config{
		PollerNum:  1,
		BufferSize: 1024,
		Runner: func(_ context.Context, f func()) {
			current.Lock()
			to := current.loop
			current.Unlock()
			current.gate.pass(to, f)
		},
		LoggerOutput: netpollLog{},
	})
	if err == nil {
		current.fence, err = newFence()
	}
	if err == nil {
		current.fence.wait(func() {}) // from here on the loop can wait for the poller
	}
	return err
}

// How often, and how soon, the poller is started that could not be.
const (
	mostStarts = 50
	startAgain = 20 * time.Millisecond
)

// startPoller has netpoll open its poller. netpoll does that when it is first used, on whatever goroutine, and panics there if the kernel has nothing
// for it at that moment.
func startPoller(c netpoll.Config) (err error) {
	for range mostStarts {
		if err = netpoll.Configure(c); err == nil {
			err = openPoller()
		}
		if err == nil {
			return nil
		}
		slog.Warn("poller_failed", "reason", err)
		time.Sleep(startAgain)
	}
	return err
}

func openPoller() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("netpoll: %v", p)
		}
	}()
	netpoll.Initialize()
	return nil
}

// netpollLog brings netpoll's own complaints into the form of this program's log.
type netpollLog struct{}

func (netpollLog) Write(p []byte) (int, error) {
	if !bytes.Contains(p, []byte(errStopped.Error())) {
		slog.Error("netpoll", "text", string(bytes.TrimSpace(p)))
	}
	return len(p), nil
}
