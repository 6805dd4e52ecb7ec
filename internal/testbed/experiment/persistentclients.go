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
	maxParallelConnects = 32                    // maximum number of initial connects in flight
	busyRetryDelay      = 50 * time.Millisecond // delay before a rejected client retries
	exchangeTimeout     = 5 * time.Second       // time limit for the answer to a line
)

// persistentClients are clients that stay connected. Each sends a line at every interval and waits
// for its answer.
type persistentClients struct {
	answers         *answerCounts // answers to the requests of all clients
	interval        time.Duration // interval between the lines of one client
	reconnectAfter  delayRange    // delay before a migrated client reconnects
	awaitMigrations bool          // whether clients read between their lines, to notice a migration at once

	running  sync.WaitGroup
	stopping atomic.Bool

	mu         sync.Mutex // protects the fields below
	exchanges  []exchange
	lost       []string // errors of connections that ended without a migration
	migrations int
}

// delayRange is the range of a random delay.
type delayRange struct{ shortest, longest time.Duration }

// random returns a uniformly distributed delay within the range.
func (d delayRange) random() time.Duration {
	return d.shortest + time.Duration(rand.Float64()*float64(d.longest-d.shortest))
}

// exchange is one line with the time until its answer.
type exchange struct {
	sentAt  time.Time
	latency time.Duration
}

// connect opens n persistent connections in parallel and returns once each client is served or has
// failed. extra is appended to the request lines, and wait is the deadline of each request. Clients
// that are migrated or rejected reconnect. connect returns the error of the first client that
// failed to connect, or nil if all are connected.
func (c *persistentClients) connect(proxy string, n int, extra string, wait time.Duration) error {
	var opened sync.WaitGroup
	errs := make(chan error, n)
	slots := make(chan struct{}, maxParallelConnects)
	for i := range n {
		opened.Add(1)
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			slots <- struct{}{}
			client, answer, err := c.openUntilServed(proxy, extra, wait)
			<-slots
			if client == nil {
				if err == nil {
					err = fmt.Errorf("client %d: unexpected answer %q", i, answer.Text)
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

// openUntilServed opens a connection and retries while the request is rejected and the clients are
// not being stopped. Rejections count as answers. The client is nil if the request was not served.
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

// exchangeLines sends the lines of client i until stop is called, and reconnects the client after a
// migration.
func (c *persistentClients) exchangeLines(proxy string, client *fake.Client, i int, wait time.Duration) {
	time.Sleep(c.interval * time.Duration(i%97) / 97) // distributes the clients over the interval
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

// exchangeLine sends a line and waits for its answer. With awaitMigrations it first reads for one
// interval; a time-out of this read is the usual case and means that the client is not migrated.
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

// reconnect opens a new connection for a migrated client after a random delay. It returns nil if
// the client fails to connect.
func (c *persistentClients) reconnect(proxy string, client *fake.Client, wait time.Duration) *fake.Client {
	client.Close()
	c.mu.Lock()
	c.migrations++
	c.mu.Unlock()
	time.Sleep(c.reconnectAfter.random())
	client, _, err := c.openUntilServed(proxy, "again=1", wait)
	if client == nil {
		c.recordLoss("reconnect after a migration: %v", err)
	}
	return client
}

// recordLoss records the loss of a connection, unless the clients are being stopped.
func (c *persistentClients) recordLoss(format string, args ...any) {
	if c.stopping.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = append(c.lost, fmt.Sprintf(format, args...))
}

// firstLosses joins the first three losses.
func firstLosses(lost []string) string { return strings.Join(lost[:min(3, len(lost))], "; ") }

// latenciesBetween returns the latencies, in milliseconds, of the lines that were sent between the
// two times.
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

// stop closes all connections and waits for the clients to end.
func (c *persistentClients) stop() {
	c.stopping.Store(true)
	c.running.Wait()
}
