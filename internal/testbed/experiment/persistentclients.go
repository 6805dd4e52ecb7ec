package experiment

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"croftlock/internal/testbed/fake"
)

const (
	maxParallelConnects = 32                    // first connects in parallel
	busyRetryDelay      = 50 * time.Millisecond // before a rejected client retries
	exchangeTimeout     = 5 * time.Second       // for the answer to a line
)

// persistentClients are clients that stay connected. Each sends lines at an interval and waits for the answers.
type persistentClients struct {
	answers         *answerCounts // to their requests
	interval        time.Duration // between a client's lines
	reconnectAfter  delayRange    // before a migrated client reconnects
	awaitMigrations bool          // between its lines a client reads, and so notices a migration at once

	running  sync.WaitGroup
	stopping atomic.Bool

	mu         sync.Mutex // protects what follows
	exchanges  []exchange
	lost       []string // errors of connections that ended other than by a migration
	migrations int
}

// delayRange is a range that a delay is drawn from.
type delayRange struct{ shortest, longest time.Duration }

// random draws a delay.
func (d delayRange) random() time.Duration {
	return d.shortest + time.Duration(rand.Float64()*float64(d.longest-d.shortest))
}

// exchange is one line and its answer.
type exchange struct {
	sentAt  time.Time
	latency time.Duration
}

// connect has n clients connect in parallel, and stay. extra is added to their request lines. A client that is migrated or rejected
// reconnects. The error is that of a client that got no connection.
func (c *persistentClients) connect(proxy string, n int, extra string, wait time.Duration) error {
	var opened sync.WaitGroup
	errs := make(chan error, n)
	turns := make(chan struct{}, maxParallelConnects)
	for i := range n {
		opened.Add(1)
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			turns <- struct{}{}
			client, answer, err := c.openUntilServed(proxy, extra, wait)
			<-turns
			if client == nil {
				if err == nil {
					err = fmt.Errorf("client %d is answered with %q", i, answer.Text)
				}
				errs <- err
			}
			opened.Done()
			if client != nil {
				c.exchangeLines(proxy, client, i, wait)
			}
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

// openUntilServed connects, and retries while it is rejected. Rejections count as answers.
func (c *persistentClients) openUntilServed(proxy, extra string, wait time.Duration) (*fake.Client, fake.Answer, error) {
	for {
		client, answer, err := fake.Open(proxy, requestClass, extra, wait)
		c.answers.add(answer, wait)
		if client != nil || err != nil || answer.Kind != "BUSY" || c.stopping.Load() {
			return client, answer, err
		}
		time.Sleep(busyRetryDelay)
	}
}

// exchangeLines has client i send lines until stop, and reconnect when it is migrated.
func (c *persistentClients) exchangeLines(proxy string, client *fake.Client, i int, wait time.Duration) {
	time.Sleep(c.interval * time.Duration(i%97) / 97) // spread over the interval
	for !c.stopping.Load() {
		line, migrated, err := c.exchangeLine(client)
		if err != nil {
			c.recordLoss("persistent connection: %v", err)
			client.Close()
			return
		}
		if migrated {
			if client = c.reconnect(proxy, client, wait); client == nil {
				return
			}
			continue
		}
		c.mu.Lock()
		c.exchanges = append(c.exchanges, line)
		c.mu.Unlock()
		if !c.awaitMigrations {
			time.Sleep(c.interval - line.latency)
		}
	}
	client.Close()
}

// exchangeLine sends a line and waits for its answer. With awaitMigrations it first waits the interval for a migration; the usual case is
// that none comes, which is a time-out of ReadLine.
func (c *persistentClients) exchangeLine(client *fake.Client) (line exchange, migrated bool, err error) {
	line.sentAt = time.Now()
	if c.awaitMigrations {
		text, err := client.ReadLine(c.interval)
		if migrated = err == nil && text == "MOVE"; migrated || c.stopping.Load() {
			return line, migrated, err
		}
		line.sentAt = time.Now()
	}
	line.latency, migrated, err = client.Exchange("M "+client.ID, exchangeTimeout)
	return line, migrated, err
}

// reconnect has a migrated client connect again after its delay; nil: it got no connection.
func (c *persistentClients) reconnect(proxy string, client *fake.Client, wait time.Duration) *fake.Client {
	client.Close()
	c.mu.Lock()
	c.migrations++
	c.mu.Unlock()
	time.Sleep(c.reconnectAfter.random())
	client, _, err := c.openUntilServed(proxy, "again=1", wait)
	if client == nil {
		c.recordLoss("after a migration: %v", err)
	}
	return client
}

// recordLoss records a lost connection, unless the clients are being stopped.
func (c *persistentClients) recordLoss(format string, args ...any) {
	if c.stopping.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = append(c.lost, fmt.Sprintf(format, args...))
}

// firstLosses are the first three losses, as text.
func firstLosses(lost []string) string { return strings.Join(lost[:min(3, len(lost))], "; ") }

// latenciesBetween are the milliseconds from each line that was sent in a span of time to its answer.
func (c *persistentClients) latenciesBetween(from, to time.Time) samples {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out samples
	for _, x := range c.exchanges {
		if x.sentAt.After(from) && x.sentAt.Before(to) {
			out = append(out, float64(x.latency)/1e6)
		}
	}
	return out
}

// stop ends all clients.
func (c *persistentClients) stop() {
	c.stopping.Store(true)
	c.running.Wait()
}
