package experiment

import (
	"sync"
	"syscall"
	"time"

	"croftlock/internal/testbed/fake"
)

// soundClients are the clients that follow the protocol.
type soundClients struct {
	answers *answerCounts

	mu      sync.Mutex
	totalMS samples // from the attempt to connect to the answer
}

// run opens a connection each soundInterval until stop is closed, and waits for all of them.
func (s *soundClients) run(proxy string, stop <-chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(soundInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		open.Add(1)
		go func() {
			defer open.Done()
			s.open(proxy)
		}()
	}
}

// open opens one connection and closes it after soundStay.
func (s *soundClients) open(proxy string) {
	startedAt := time.Now()
	client, answer, _ := fake.Open(proxy, requestClass, "", soundDeadline)
	total := float64(time.Since(startedAt)) / float64(time.Millisecond)
	s.answers.add(answer, soundDeadline)
	s.mu.Lock()
	s.totalMS = append(s.totalMS, total)
	s.mu.Unlock()
	if client != nil {
		time.Sleep(soundStay)
		client.Close()
	}
}

// runHalfOfTheTime stops and continues the process until stop is closed, so that it gets half of a core at
// most.
func (p *Process) runHalfOfTheTime(stop <-chan struct{}) {
	defer p.Signal(syscall.SIGCONT)
	for {
		for _, signal := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
			p.Signal(signal)
			select {
			case <-stop:
				return
			case <-time.After(halfCorePeriod / 2):
			}
		}
	}
}
