package experiment

import (
	"sync"
	"time"

	"croftlock/internal/testbed/fake"
)

// lateAfter is by how much an answer may exceed the client's wait before it counts as late.
const lateAfter = 50 * time.Millisecond

// answerCounts counts what clients got.
type answerCounts struct {
	mu           sync.Mutex
	byKind       map[string]int
	milliseconds samples // to the answer
	late         int     // answers after the client's wait
}

func newAnswerCounts() *answerCounts { return &answerCounts{byKind: map[string]int{}} }

// add counts an answer to a client that waits so long.
func (t *answerCounts) add(a fake.Answer, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byKind[a.Kind]++
	if a.Kind != "NONE" {
		t.milliseconds = append(t.milliseconds, float64(a.Took)/1e6)
	}
	if a.Took > wait+lateAfter {
		t.late++
	}
}

// reset forgets what was counted.
func (t *answerCounts) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byKind, t.milliseconds, t.late = map[string]int{}, nil, 0
}

// count is how many answers of one kind were counted.
func (t *answerCounts) count(kind string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byKind[kind]
}

// total is how many answers were counted, of any kind.
func (t *answerCounts) total() (all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.byKind {
		all += n
	}
	return all
}

// openLoop opens connections at a fixed rate, whatever becomes of the earlier ones, and has each do something.
func openLoop(rate float64, length time.Duration, do func(i int)) {
	var all sync.WaitGroup
	began := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * 1e9)
		if at >= length {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		all.Add(1)
		go func() {
			defer all.Done()
			do(i)
		}()
	}
	all.Wait()
}
