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
	// hostsPath is the path of the endpoint list at the discovery service.
	hostsPath = "/discovery/hosts"
	// minWatchTimeout and maxWatchTimeout bound how long the discovery service may hold a call of the watch.
	// Between these bounds the time is watchTimeoutPerProxy for each proxy that uses the discovery service,
	// so that up to 80 proxies together make at most four calls a second and the discovery service can answer
	// them. The shorter the time, the sooner a watch whose connection has died is noticed and repeated.
	minWatchTimeout      = 4 * time.Second
	maxWatchTimeout      = 20 * time.Second
	watchTimeoutPerProxy = 250 * time.Millisecond
	// watchAnswerTimeout is how long the answer may take beyond the time for which the discovery service may
	// hold the call (watchTimeout). It is shorter than the 2 s after which a list counts as received late.
	watchAnswerTimeout = 1200 * time.Millisecond
	// fullListTimeout bounds a call for the complete list. It is longer than the discovery service's own
	// limit of 2 s: a call that is ended and repeated sooner would add to the load of a slow discovery
	// service.
	fullListTimeout = 2300 * time.Millisecond
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// inputLimit is the number of bytes of unread input at which reading from a connection pauses.
	inputLimit = maxHeadBytes + 2*maxBodyBytes
	// redirectSettleTime is how long after a redirect the client itself retries failed calls on the new
	// address, every redirectRetryPause: the list of that address is due 4 s after the redirect, and the
	// pause of the decision module, which otherwise decides when to call again, may be longer.
	redirectSettleTime = 3500 * time.Millisecond
	redirectRetryPause = 150 * time.Millisecond
	// The next three constants apply to an agent on this machine, to which the discovery service pushes its
	// lists. Calls on it are cheap, and a list counts as received as soon as the agent has it. So a call
	// whose connection has died is ended and repeated within the 250 ms that the contract allows between
	// receiving a list and following it.
	agentWatchTimeout  = 100 * time.Millisecond
	agentAnswerTimeout = 80 * time.Millisecond
	agentRetryPause    = 30 * time.Millisecond
)

// Client is a client of the discovery service. While the watch is on, it follows the endpoint list by one
// call after the other on one connection. FetchList fetches the complete list. All methods must be called on
// the loop.
type Client struct {
	loop          *netio.Loop
	dialer        *netio.Dialer
	address       string
	notify        func(proxy.WatchEvent)
	watchTimeout  time.Duration // how long the discovery service may hold a call of the watch
	answerTimeout time.Duration // how long the answer may take beyond watchTimeout
	followsAgent  bool          // the service is an agent on this machine; see FollowAgent

	revision       int64        // of the client's list, in the numbering of the service at address; negative if it has none
	redirectedAt   int64        // Unix time in ns of a redirect to an address that has not answered yet, else 0
	retryTimer     *netio.Timer // makes the next call of the watch after a failure
	watching       bool         // the watch is on
	firstAnswerDue bool         // the next answer is the first since the watch was turned on, and is passed on even if it is empty
	watch          *call        // the watch's call in flight; may be nil
	reopened       bool         // the watch was reopened after silence, and has had no answer since
	silentCalls    int          // consecutive calls of the watch without an answer
	fetch          *call        // the call for the complete list in flight; may be nil
	idleConn       *netio.Conn  // a connection whose last response is complete; may be nil
	lastFailure    string       // text of the last failure, until a call succeeds
}

// Options configure a Client.
type Options struct {
	Address    string                 // of the discovery service
	ProxyCount int                    // number of proxies that use the same discovery service
	Revision   int64                  // of the list that the client has already; negative if it has none
	Notify     func(proxy.WatchEvent) // called on the loop with each change of the list and reported failure
}

// NewClient returns a client of the discovery service. It makes no call until FollowAgent, WatchList,
// Redirect or FetchList is called.
func NewClient(l *netio.Loop, d *netio.Dialer, o Options) *Client {
	watchTimeout := min(maxWatchTimeout, max(minWatchTimeout, time.Duration(o.ProxyCount)*watchTimeoutPerProxy))
	return &Client{loop: l, dialer: d, address: o.Address, watchTimeout: watchTimeout, answerTimeout: watchAnswerTimeout, revision: o.Revision, notify: o.Notify}
}

// FollowAgent turns on a watch of an agent on this machine, to which the discovery service pushes its lists,
// without a request of the decision module, which otherwise decides when to watch. A call that fails is
// repeated after agentRetryPause and not reported: the agent is silent while the discovery service is silent,
// and the client then has the latest list.
func (c *Client) FollowAgent() {
	c.followsAgent, c.watchTimeout, c.answerTimeout = true, agentWatchTimeout, agentAnswerTimeout
	c.WatchList(true)
}

// Source returns the address of the service and the revision of the client's list, which is negative if the
// client has none.
func (c *Client) Source() (addr string, rev int64) { return c.address, c.revision }

// WatchList turns the watch on or off. Turning it on again does nothing.
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

// Redirect makes the client call another address from now on, and turns on the watch there. Calls in flight
// are cancelled and not reported as failures. The complete list is fetched first, at once, also while the
// decision module backs off: the revisions of two services need not be comparable, and a watch from a
// revision that the new one has not reached would get no answer. It does nothing if addr is the current one.
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
		c.fetch = nil // the watch fetches the complete list
	}
	c.retryTimer.Stop()
	c.watching, c.firstAnswerDue = true, true
	c.callWatch()
}

// callWatch makes the next call of the watch. Without a list it calls for the complete list. The next call is
// made right after an answer, because the discovery service ends a watch if the next call does not arrive
// within 200 ms of the last answer.
func (c *Client) callWatch() {
	target, timeout := fmt.Sprintf("%s?from=%d&hold_ms=%d", hostsPath, c.revision, c.watchTimeout.Milliseconds()), c.watchTimeout+c.answerTimeout
	if c.revision < 0 {
		target, timeout = hostsPath, c.fullListWait()
	}
	c.watch = c.startCall(target, timeout, func(event proxy.WatchEvent, err error) {
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
		if c.firstAnswerDue || len(event.Hosts) > 0 || event.Kind == balancer.ListFull {
			c.firstAnswerDue = false
			c.notify(event)
		}
	})
}

// watchFailed handles a failed call of the watch. It repeats the call in the cases in which this client and
// not the decision module decides when, and otherwise turns the watch off and reports the failure.
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
		c.watching = false // the decision module turns it on again, with a backoff
		c.reportFailure(err)
	}
}

// retryWatch repeats a failed call of the watch after a pause.
func (c *Client) retryWatch(pause time.Duration, err error) {
	c.logFailure(err)
	c.retryTimer = c.loop.After(pause, c.callWatch)
}

// fullListWait returns the timeout of a call for the complete list. An agent on this machine answers at once
// or is silent, so the timeout is short. It doubles with each consecutive silent call, up to fullListTimeout,
// in case the list is so large that its transfer takes longer.
func (c *Client) fullListWait() time.Duration {
	if !c.followsAgent {
		return fullListTimeout
	}
	return min(fullListTimeout, c.answerTimeout<<min(c.silentCalls, 6))
}

// reopen repeats the call of a silent watch at once, because the decision module's pause grows with the
// number of proxies and the list is due sooner. The watches of different proxies fall silent at different
// times, so their calls do not come together. The idle connection is closed, since it may have died like
// the one that was used. A second failure is reported.
func (c *Client) reopen() {
	c.reopened = true
	c.closeIdle()
	c.callWatch()
}

// closeIdle closes the idle connection, so that the next call opens a new one.
func (c *Client) closeIdle() {
	if c.idleConn != nil {
		c.idleConn.Close()
		c.idleConn = nil
	}
}

// FetchList fetches the complete list once. It does nothing if that is in progress.
func (c *Client) FetchList() {
	if c.fetch != nil {
		return
	}
	c.fetch = c.startCall(hostsPath, fullListTimeout, func(event proxy.WatchEvent, err error) {
		c.fetch = nil
		if err != nil {
			c.reportFailure(err)
			return
		}
		c.notify(event)
	})
}

// logFailure logs why a call failed, unless the last failure had the same text.
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
