package experiment

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"croftlock/internal/testbed/fake"
)

// tally counts what clients got.
type tally struct {
	mu    sync.Mutex
	kinds map[string]int
	took  series // milliseconds to the answer
	late  int    // answers after the client's time
}

func newTally() *tally { return &tally{kinds: map[string]int{}} }

func (t *tally) add(a fake.Answer, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds[a.Kind]++
	if a.Kind != "NONE" {
		t.took = append(t.took, float64(a.Took)/1e6)
	}
	if a.Took > wait+50*time.Millisecond {
		t.late++
	}
}

// reset forgets what was counted.
func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kinds, t.took, t.late = map[string]int{}, nil, 0
}

func (t *tally) count(kind string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kinds[kind]
}

// total is how many answers were counted, of any kind.
func (t *tally) total() (all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.kinds {
		all += n
	}
	return all
}

// arrivals opens connections at a fixed rate, whatever becomes of the earlier ones, and has each do something.
func arrivals(rate float64, length time.Duration, do func(i int)) {
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

// crowd are standing clients, each of which sends a line every so often and waits for the line back.
type crowd struct {
	all     sync.WaitGroup
	stop    atomic.Bool
	mu      sync.Mutex
	lines   []beat
	lost    []string
	moved   int
	answers *tally
	every   time.Duration
	away    [2]time.Duration // least and most before a client that was moved comes again
	listen  bool             // between its lines a client waits for what the server says, and hears of a move at once
}

// beat is one line there and back.
type beat struct {
	at   time.Time
	took time.Duration
}

// join has n clients connect, all at once, and stay. extra is added to their first lines. A client that is moved or
// refused comes again.
func (c *crowd) join(proxy string, n int, extra string, wait time.Duration) error {
	var opened sync.WaitGroup
	errs := make(chan error, n)
	turns := make(chan struct{}, 32)
	for i := range n {
		opened.Add(1)
		c.all.Add(1)
		go func() {
			defer c.all.Done()
			turns <- struct{}{}
			client, a, err := c.open(proxy, extra, wait)
			<-turns
			opened.Done()
			if client == nil {
				if err == nil {
					err = fmt.Errorf("client %d got %s", i, a.Text)
				}
				errs <- err
				return
			}
			c.stay(proxy, client, i, wait)
		}()
	}
	opened.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// open asks until it is served; refusals are answers like others.
func (c *crowd) open(proxy, extra string, wait time.Duration) (*fake.Client, fake.Answer, error) {
	for {
		client, a, err := fake.Open(proxy, class, extra, wait)
		c.answers.add(a, wait)
		if client != nil || err != nil || a.Kind != "BUSY" || c.stop.Load() {
			return client, a, err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *crowd) stay(proxy string, client *fake.Client, i int, wait time.Duration) {
	time.Sleep(c.every * time.Duration(i%97) / 97) // not all in the same moment
	for !c.stop.Load() {
		at := time.Now()
		var took time.Duration
		moved, err := false, error(nil)
		if c.listen {
			var line string
			if line, err = client.Wait(c.every); err == nil {
				moved = line == "MOVE"
			}
		}
		if !moved && !c.stop.Load() {
			at = time.Now()
			took, moved, err = client.Ask("M "+client.ID, 5*time.Second)
		}
		switch {
		case moved:
			client.Close()
			c.mu.Lock()
			c.moved++
			c.mu.Unlock()
			time.Sleep(c.away[0] + time.Duration(rand.Float64()*float64(c.away[1]-c.away[0])))
			if client, _, err = c.open(proxy, "again=1", wait); client == nil {
				c.note("after a move: %v", err)
				return
			}
			continue
		case err != nil:
			c.note("standing connection: %v", err)
			client.Close()
			return
		}
		c.mu.Lock()
		c.lines = append(c.lines, beat{at, took})
		c.mu.Unlock()
		if !c.listen {
			time.Sleep(c.every - took)
		}
	}
	client.Close()
}

func (c *crowd) note(format string, args ...any) {
	if c.stop.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = append(c.lost, fmt.Sprintf(format, args...))
}

// between are the milliseconds that lines took which were sent in a span of time.
func (c *crowd) between(from, to time.Time) series {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out series
	for _, b := range c.lines {
		if b.at.After(from) && b.at.Before(to) {
			out = append(out, float64(b.took)/1e6)
		}
	}
	return out
}

// leave ends all.
func (c *crowd) leave() {
	c.stop.Store(true)
	c.all.Wait()
}
