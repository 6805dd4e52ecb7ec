package netio

import (
	"bytes"
	"context"
	"log/slog"
	"sync"

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
	err := netpoll.Configure(netpoll.Config{
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
	return err
}

// netpollLog brings netpoll's own complaints into the form of this program's log.
type netpollLog struct{}

func (netpollLog) Write(p []byte) (int, error) {
	if !bytes.Contains(p, []byte(errStopped.Error())) {
		slog.Error("netpoll", "text", string(bytes.TrimSpace(p)))
	}
	return len(p), nil
}
