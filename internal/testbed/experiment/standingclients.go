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
	connectsAtOnce  = 32                    // first connects that standing clients begin side by side
	retryAfterBusy  = 50 * time.Millisecond // before a rejected client comes again
	exchangeTimeout = 5 * time.Second       // for a line to come back
)

// standingClients are clients that stay connected, each of which sends a line every so often and waits for the line back.
type standingClients struct {
	answers     *answerCounts    // to their connects
	interval    time.Duration    // between a client's lines
	returnAfter [2]time.Duration // least and most before a migrated client comes again
	awaitMoves  bool             // between its lines a client waits for what the server says, and hears of a migration at once

	running  sync.WaitGroup
	stopping atomic.Bool

	mu        sync.Mutex // protects what follows
	exchanges []exchange
	lost      []string // connections that ended other than by a migration
	moved     int      // migrations
}

// exchange is one line there and back.
type exchange struct {
	sentAt time.Time
	took   time.Duration
}

// connect has n clients connect, all at once, and stay. extra is added to their first lines. A client that is migrated or rejected
// comes again. The error is one client's that got no connection.
func (c *standingClients) connect(proxy string, n int, extra string, wait time.Duration) error {
	var opened sync.WaitGroup
	errs := make(chan error, n)
	turns := make(chan struct{}, connectsAtOnce)
	for i := range n {
		opened.Add(1)
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			turns <- struct{}{}
			client, a, err := c.openUntilServed(proxy, extra, wait)
			<-turns
			if client == nil {
				if err == nil {
					err = fmt.Errorf("client %d got %s", i, a.Text)
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

// openUntilServed connects, again and again while it is rejected; rejections are answers like others.
func (c *standingClients) openUntilServed(proxy, extra string, wait time.Duration) (*fake.Client, fake.Answer, error) {
	for {
		client, a, err := fake.Open(proxy, requestClass, extra, wait)
		c.answers.add(a, wait)
		if client != nil || err != nil || a.Kind != "BUSY" || c.stopping.Load() {
			return client, a, err
		}
		time.Sleep(retryAfterBusy)
	}
}

// exchangeLines has client i send lines until all end, and come again when it is migrated.
func (c *standingClients) exchangeLines(proxy string, client *fake.Client, i int, wait time.Duration) {
	time.Sleep(c.interval * time.Duration(i%97) / 97) // not all in the same moment
	for !c.stopping.Load() {
		x, moved, err := c.exchangeLine(client)
		if err != nil {
			c.recordLoss("standing connection: %v", err)
			client.Close()
			return
		}
		if moved {
			if client = c.returnMoved(proxy, client, wait); client == nil {
				return
			}
			continue
		}
		c.mu.Lock()
		c.exchanges = append(c.exchanges, x)
		c.mu.Unlock()
		if !c.awaitMoves {
			time.Sleep(c.interval - x.took)
		}
	}
	client.Close()
}

// exchangeLine sends a line and waits for it. With awaitMoves it first waits for a migration, for the interval between lines; that
// none comes is an error of Wait, and the usual case.
func (c *standingClients) exchangeLine(client *fake.Client) (x exchange, moved bool, err error) {
	x.sentAt = time.Now()
	if c.awaitMoves {
		line, err := client.ReadLine(c.interval)
		if moved = err == nil && line == "MOVE"; moved || c.stopping.Load() {
			return x, moved, err
		}
		x.sentAt = time.Now()
	}
	x.took, moved, err = client.Exchange("M "+client.ID, exchangeTimeout)
	return x, moved, err
}

// returnMoved has a migrated client come again after its time; nil: it got no connection.
func (c *standingClients) returnMoved(proxy string, client *fake.Client, wait time.Duration) *fake.Client {
	client.Close()
	c.mu.Lock()
	c.moved++
	c.mu.Unlock()
	least, most := c.returnAfter[0], c.returnAfter[1]
	time.Sleep(least + time.Duration(rand.Float64()*float64(most-least)))
	client, _, err := c.openUntilServed(proxy, "again=1", wait)
	if client == nil {
		c.recordLoss("after a move: %v", err)
	}
	return client
}

// recordLoss notes a connection that was lost, unless all end.
func (c *standingClients) recordLoss(format string, args ...any) {
	if c.stopping.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = append(c.lost, fmt.Sprintf(format, args...))
}

// firstLosses are the first three losses, as text.
func firstLosses(lost []string) string { return strings.Join(lost[:min(3, len(lost))], "; ") }

// between are the milliseconds that lines took which were sent in a span of time.
func (c *standingClients) between(from, to time.Time) samples {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out samples
	for _, x := range c.exchanges {
		if x.sentAt.After(from) && x.sentAt.Before(to) {
			out = append(out, float64(x.took)/1e6)
		}
	}
	return out
}

// end ends all.
func (c *standingClients) end() {
	c.stopping.Store(true)
	c.running.Wait()
}
