package experiment

import (
	"sync"
	"time"

	"croftlock/internal/testbed/fake"
)

// latenessTolerance is the time after the client's deadline from which an answer counts as late.
const latenessTolerance = 50 * time.Millisecond

// answerCounts counts the answers to requests.
type answerCounts struct {
	mu           sync.Mutex
	byKind       map[string]int
	milliseconds samples // time to each answer
	late         int     // answers more than latenessTolerance after the deadline
}

// newAnswerCounts returns counts that are all 0.
func newAnswerCounts() *answerCounts { return &answerCounts{byKind: map[string]int{}} }

// add counts the answer to a request whose client waits for at most wait. The time of kind NONE, no
// answer, is not recorded.
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

// count returns the number of answers of one kind.
func (c *answerCounts) count(kind string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byKind[kind]
}

// total returns the number of answers of all kinds.
func (c *answerCounts) total() (total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.byKind {
		total += n
	}
	return total
}

// openLoop calls do at a fixed rate, in calls a second, without waiting for earlier calls. It returns
// after the duration, once all calls have ended.
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
