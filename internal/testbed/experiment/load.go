package experiment

import (
	"sync"
	"time"

	"croftlock/internal/testbed/fake"
)

// latenessTolerance is by how much an answer may exceed the client's wait before it counts as late.
const latenessTolerance = 50 * time.Millisecond

// answerCounts counts the answers to requests.
type answerCounts struct {
	mu           sync.Mutex
	byKind       map[string]int
	milliseconds samples // to the answer
	late         int     // answers after the client's deadline
}

func newAnswerCounts() *answerCounts { return &answerCounts{byKind: map[string]int{}} }

// add counts the answer to a request with a deadline.
func (c *answerCounts) add(a fake.Answer, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byKind[a.Kind]++
	if a.Kind != "NONE" {
		c.milliseconds = append(c.milliseconds, float64(a.Latency)/1e6)
	}
	if a.Latency > wait+latenessTolerance {
		c.late++
	}
}

// reset sets all counts to 0.
func (c *answerCounts) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byKind, c.milliseconds, c.late = map[string]int{}, nil, 0
}

// count is the number of answers of one kind.
func (c *answerCounts) count(kind string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byKind[kind]
}

// total is the number of answers of all kinds.
func (c *answerCounts) total() (total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.byKind {
		total += n
	}
	return total
}

// openLoop calls do at a fixed rate, without waiting for the earlier calls, and returns once all have ended.
func openLoop(rate float64, duration time.Duration, do func(i int)) {
	var calls sync.WaitGroup
	startedAt := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * 1e9)
		if at >= duration {
			break
		}
		time.Sleep(time.Until(startedAt.Add(at)))
		calls.Add(1)
		go func() {
			defer calls.Done()
			do(i)
		}()
	}
	calls.Wait()
}
