package cluster

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

const (
	hostsPath = "/discovery/hosts"
	// minWatchTimeout and maxWatchTimeout bound how long discovery may keep a watch waiting; watchTimeoutPerProxy is what each
	// proxy of the tier adds to it, so that all proxies together make at most four calls a second. The shorter the wait, the
	// sooner a watch whose connection has died is replaced.
	minWatchTimeout      = 4 * time.Second
	maxWatchTimeout      = 20 * time.Second
	watchTimeoutPerProxy = 250 * time.Millisecond
	// watchAnswerTimeout is how long past its wait a watch's call may take. It is shorter than the 2 s after which a list counts
	// as received late.
	watchAnswerTimeout = 1200 * time.Millisecond
	// fullListTimeout is how long a call for the complete list may take. It is longer than discovery's own limit of 2 s: a call that is
	// ended and repeated sooner would add to the load of a slow discovery.
	fullListTimeout = 2300 * time.Millisecond
	connectTimeout  = time.Second
	inputLimit      = maxHeadBytes + 2*maxBodyBytes
	// redirectSettleTime is how long after a redirect the client itself retries a new address, at redirectRetryPause: the list of
	// that address is due 4 s after the redirect, and the pause of the decision module may be longer.
	redirectSettleTime = 3500 * time.Millisecond
	redirectRetryPause = 150 * time.Millisecond
	// The next three are for an agent on this machine, to which lists are pushed. Calls on it are cheap, and a list counts as
	// received from the moment at which the agent has it. So a call whose connection has died is ended and repeated within the 250 ms
	// that the contract grants between receiving a list and following it.
	agentWatchTimeout  = 100 * time.Millisecond
	agentAnswerTimeout = 80 * time.Millisecond
	agentRetryPause    = 30 * time.Millisecond
)

// Client watches the endpoint list between WatchList's on and off, one call after the other on one connection, and fetches the complete
// list on FetchList. All its methods belong to the loop.
type Client struct {
	loop          *netio.Loop
	dialer        *netio.Dialer
	address       string
	notify        func(proxy.WatchEvent)
	watchTimeout  time.Duration // how long discovery may keep a watch waiting
	answerTimeout time.Duration // how long past that an answer may come
	followsAgent  bool          // lists are pushed to an agent on this machine, and the client follows it unasked

	revision       int64 // of the client's list, as the service at address numbers it; under 0: it has none
	redirectedAt   int64 // when address last changed, until it has answered; 0: it has
	retryTimer     *netio.Timer
	watching       bool  // the watch goes on
	firstAnswerDue bool  // its first answer is awaited, which is passed on even if it is empty
	watch          *call // the call under way
	// reopened: the watch was reopened after it had fallen silent, and has had no answer since.
	reopened    bool
	silentCalls int         // calls of the watch in a row that got no answer
	fetch       *call       // the call for the complete list under way; nil: none
	idleConn    *netio.Conn // a connection whose last response is complete
	lastFailure string
}

// Options are what a client begins with.
type Options struct {
	Address    string // of discovery
	ProxyCount int    // how many proxies share it
	Revision   int64  // of the list that the client has
	Notify     func(proxy.WatchEvent)
}

// NewClient makes a client. It calls discovery only once FollowAgent, WatchList, Redirect or FetchList is called.
func NewClient(l *netio.Loop, d *netio.Dialer, o Options) *Client {
	watchTimeout := min(maxWatchTimeout, max(minWatchTimeout, time.Duration(o.ProxyCount)*watchTimeoutPerProxy))
	return &Client{loop: l, dialer: d, address: o.Address, watchTimeout: watchTimeout, answerTimeout: watchAnswerTimeout, revision: o.Revision, notify: o.Notify}
}

// FollowAgent keeps a watch at an agent on this machine, to which discovery pushes its lists, from now on; the decision module need
// not request it. A call that fails is repeated soon and not reported: the agent is silent while discovery is, and the client's
// list is the latest that there is.
func (c *Client) FollowAgent() {
	c.followsAgent, c.watchTimeout, c.answerTimeout = true, agentWatchTimeout, agentAnswerTimeout
	c.WatchList(true)
}

// Source is the address of the service, and the version of the client's list; under 0: it has none.
func (c *Client) Source() (addr string, rev int64) { return c.address, c.revision }

// WatchList begins or ends the watch. While the watch goes on, a further begin changes nothing.
func (c *Client) WatchList(on bool) {
	if !on {
		c.watching = false
		c.retryTimer.Stop()
		if c.watch != nil {
			c.watch.cancel()
			c.watch = nil
		}
		return
	}
	if c.watching {
		return
	}
	c.watching, c.firstAnswerDue = true, true
	c.callWatch()
}

// Redirect has the client call another address from now on, and begins the watch there. Calls in flight at the old one are dropped and not
// reported as failures. The versions of two services need not be comparable, and a watch from a version that the new one has not reached would
// get no answer; so the complete list is fetched first, at once, also while the decision module backs off.
func (c *Client) Redirect(addr string) {
	if addr == c.address {
		return
	}
	c.address, c.revision, c.redirectedAt = addr, noRevision, c.loop.Now()
	c.closeIdle()
	if c.watch != nil {
		c.watch.cancel()
		c.watch = nil
	}
	if c.fetch != nil {
		c.fetch.cancel()
		c.fetch = nil // the watch below brings the list
	}
	c.retryTimer.Stop()
	c.watching, c.firstAnswerDue = true, true
	c.callWatch()
}

// callWatch makes the watch's next call. Discovery ends a watch whose next call does not come within 200 ms of the last answer.
func (c *Client) callWatch() {
	target, timeout := fmt.Sprintf("%s?from=%d&hold_ms=%d", hostsPath, c.revision, c.watchTimeout.Milliseconds()), c.watchTimeout+c.answerTimeout
	if c.revision < 0 {
		target, timeout = hostsPath, c.fullListWait()
	}
	c.watch = c.startCall(target, timeout, func(ch proxy.WatchEvent, err error) {
		c.watch = nil
		if errors.Is(err, errSilent) {
			c.silentCalls++
		} else {
			c.silentCalls = 0
		}
		if err != nil {
			c.watchFailed(err)
			return
		}
		c.reopened = false
		c.callWatch()
		if c.firstAnswerDue || len(ch.Hosts) > 0 || ch.Kind == balancer.ListFull {
			c.firstAnswerDue = false
			c.notify(ch)
		}
	})
}

// watchFailed repeats a failed call of the watch where this client decides when, or ends the watch and reports the failure.
func (c *Client) watchFailed(err error) {
	switch {
	case c.followsAgent:
		c.retryWatch(agentRetryPause, err)
	case c.redirectedAt > 0 && c.loop.Now()-c.redirectedAt < int64(redirectSettleTime):
		c.retryWatch(redirectRetryPause, err)
	case errors.Is(err, errSilent) && !c.reopened:
		c.logFailure(err)
		c.reopen()
	default:
		c.reopened = false
		c.watching = false // the decision module requests it again, with a backoff
		c.reportFailure(err)
	}
}

// retryWatch repeats a failed call of the watch after a pause.
func (c *Client) retryWatch(pause time.Duration, err error) {
	c.logFailure(err)
	c.retryTimer = c.loop.After(pause, c.callWatch)
}

// fullListWait is how long a call for the complete list may take. An agent on this machine answers at once, or is silent; where its list is so
// large that it does not come in time, the next call has twice as long.
func (c *Client) fullListWait() time.Duration {
	if !c.followsAgent {
		return fullListTimeout
	}
	return min(fullListTimeout, c.answerTimeout<<min(c.silentCalls, 6))
}

// reopen repeats the call of a silent watch at once, since the decision module's pause grows with the fleet, while the list is
// due soon. The watches of a fleet fall silent at different times, so that their calls do not come together. The idle connection
// may be as dead as the one that was used. A second failure is reported.
func (c *Client) reopen() {
	c.reopened = true
	c.closeIdle()
	c.callWatch()
}

// closeIdle ends the idle connection, so that the next call is made on a new one.
func (c *Client) closeIdle() {
	if c.idleConn != nil {
		c.idleConn.Close()
		c.idleConn = nil
	}
}

// FetchList fetches the complete list once.
func (c *Client) FetchList() {
	if c.fetch != nil {
		return
	}
	c.fetch = c.startCall(hostsPath, fullListTimeout, func(ch proxy.WatchEvent, err error) {
		c.fetch = nil
		if err != nil {
			c.reportFailure(err)
			return
		}
		c.notify(ch)
	})
}

// logFailure logs why a call failed, unless the last one failed with the same text.
func (c *Client) logFailure(err error) {
	if c.lastFailure != err.Error() {
		c.lastFailure = err.Error()
		slog.Warn("discovery_failed", "reason", reasonOf(err), "detail", err)
	}
}

// reportFailure logs a failed call, and notifies the decision module.
func (c *Client) reportFailure(err error) {
	c.logFailure(err)
	c.notify(proxy.WatchEvent{Kind: balancer.ListFailed})
}
