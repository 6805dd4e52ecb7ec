package fleetlog

import (
	"sort"
	"strconv"
	"time"
)

// Window holds the counts of all proxies in one time window.
type Window struct {
	From            time.Duration  // start of the window, since the first event
	Requests        int            // requests received
	Returned        int            // requests whose client opens a connection again, or that are retries
	Attempts        int            // attempts started by the decision module
	Established     int            // connections established
	Rejected        int            // requests rejected
	Failed          map[string]int // attempts that ended before they were established, by status
	Broken          int            // established connections that were reset
	Open            int            // established connections at the window's end
	Placements      int            // pairs of host and group with a connection at the window's end
	ProcessStarts   int            // processes that became ready
	DiscoveryFailed int            // failed discovery calls
	HostUpdates     int            // changes of hosts in the proxies' lists, counted for each proxy
}

// Host holds the counts of all proxies for one host.
type Host struct {
	Name, Zone     string
	Weight         float64
	StartedAt      time.Time // latest start; zero if it was long ago or not logged
	Attempts       int       // attempts started
	WarmUpAttempts int       // attempts started within Count's warmUp after a start of the host
	WarmUpPeak     int       // most of WarmUpAttempts within any period of Count's peakWindow
	Open           int       // established connections at the end of the log
	MaxDelayMS     float64   // longest message delay reported, in milliseconds
}

// Fleet holds the counts of all proxies over a log.
type Fleet struct {
	Start    time.Time // time of the first event
	Windows  []*Window // consecutive, from Start
	Hosts    []*Host   // sorted by name
	Requests int       // sum over Windows
	Attempts int       // sum over Windows
}

// placement is the host of an established connection and the group of its client.
type placement struct{ host, group string }

// counter counts the events of all proxies in order of time.
type counter struct {
	fleet          *Fleet
	window         *Window
	windowLength   time.Duration
	warmUpPeriod   time.Duration
	hosts          map[string]*Host
	warmUpAttempts map[string][]time.Time          // by host
	established    map[string]map[string]placement // by proxy and request
	groups         map[string]string               // group by request, for the requests received
	peakWindow     time.Duration
}

// Count counts a log's events in windows of length window. A host is warming up for warmUp after its
// start, and its WarmUpPeak is the most attempts within any period of peakWindow. The log must have
// an event.
func Count(l *Log, window, warmUp, peakWindow time.Duration) *Fleet {
	c := &counter{fleet: &Fleet{Start: l.Events[0].Time}, windowLength: window, warmUpPeriod: warmUp, peakWindow: peakWindow, hosts: map[string]*Host{},
		warmUpAttempts: map[string][]time.Time{}, established: map[string]map[string]placement{}, groups: map[string]string{}}
	for _, e := range l.Events {
		c.advanceWindow(e.Time)
		c.countEvent(e)
	}
	c.closeWindow()
	c.finishHosts()
	return c.fleet
}

// host returns the counts of a host, and adds the host if it is new.
func (c *counter) host(name string) *Host {
	h := c.hosts[name]
	if h == nil {
		h = &Host{Name: name}
		c.hosts[name] = h
	}
	return h
}

// advanceWindow closes windows and opens new ones until the current window contains to.
func (c *counter) advanceWindow(to time.Time) {
	passed := to.Sub(c.fleet.Start)
	for c.window == nil || passed >= c.window.From+c.windowLength {
		from := time.Duration(0)
		if c.window != nil {
			from = c.window.From + c.windowLength
			c.closeWindow()
		}
		c.window = &Window{From: from, Failed: map[string]int{}}
		c.fleet.Windows = append(c.fleet.Windows, c.window)
	}
}

// closeWindow sets the counts of the connections that are established at the window's end.
func (c *counter) closeWindow() {
	placements := map[placement]bool{}
	for _, requests := range c.established {
		for _, placed := range requests {
			c.window.Open++
			placements[placed] = true
		}
	}
	c.window.Placements = len(placements)
}

// countEvent adds one event to the counts of its window and host.
func (c *counter) countEvent(e Event) {
	switch e.Name {
	case "ready":
		c.window.ProcessStarts++
		c.established[e.Proxy] = map[string]placement{} // a new process has no connections
	case "request_received":
		c.requestReceived(e)
	case "attempt_started":
		c.attemptStarted(e)
	case "request_established":
		c.requestEstablished(e)
	case "attempt_ended":
		c.attemptEnded(e)
	case "request_rejected":
		c.window.Rejected++
	case "discovery_failed":
		c.window.DiscoveryFailed++
	case "host_updated":
		c.hostUpdated(e)
	case "load_reported":
		if ms, ok := reportedDelay(e); ok {
			h := c.host(e.Fields["host"])
			h.MaxDelayMS = max(h.MaxDelayMS, ms)
		}
	}
}

func (c *counter) requestReceived(e Event) {
	c.window.Requests++
	c.fleet.Requests++
	c.groups[e.Fields["request"]] = e.Fields["group"]
	if e.Fields["returned"] == "true" || e.Fields["retry"] == "true" {
		c.window.Returned++
	}
}

func (c *counter) attemptStarted(e Event) {
	if _, placed := c.groups[e.Fields["request"]]; !placed {
		return // a connection restored at its host after a start: the decision module did not place it
	}
	c.window.Attempts++
	c.fleet.Attempts++
	h := c.host(e.Fields["host"])
	h.Attempts++
	if !h.StartedAt.IsZero() && e.Time.Sub(h.StartedAt) < c.warmUpPeriod {
		h.WarmUpAttempts++
		c.warmUpAttempts[h.Name] = append(c.warmUpAttempts[h.Name], e.Time)
	}
}

func (c *counter) requestEstablished(e Event) {
	c.window.Established++
	if c.established[e.Proxy] == nil {
		c.established[e.Proxy] = map[string]placement{}
	}
	request := e.Fields["request"]
	c.established[e.Proxy][request] = placement{e.Fields["host"], c.groups[request]}
}

func (c *counter) attemptEnded(e Event) {
	delete(c.established[e.Proxy], e.Fields["request"])
	if e.Fields["established"] != "true" {
		c.window.Failed[e.Fields["status"]]++
	} else if e.Fields["status"] == "reset" {
		c.window.Broken++
	}
}

// hostUpdated counts a change of a host in one proxy's list, and updates the host's attributes. It keeps
// StartedAt if the event has no start time.
func (c *counter) hostUpdated(e Event) {
	c.window.HostUpdates++
	h := c.host(e.Fields["host"])
	h.Zone = e.Fields["zone"]
	h.Weight, _ = strconv.ParseFloat(e.Fields["weight"], 64)
	if ms, err := strconv.ParseInt(e.Fields["since_ms"], 10, 64); err == nil && ms > 0 {
		h.StartedAt = time.UnixMilli(ms).UTC()
	}
}

// finishHosts adds the connections open at the end and the peaks, and sorts the hosts.
func (c *counter) finishHosts() {
	for _, requests := range c.established {
		for _, placed := range requests {
			c.host(placed.host).Open++
		}
	}
	for name, h := range c.hosts {
		h.WarmUpPeak = maxWithin(c.warmUpAttempts[name], c.peakWindow)
		c.fleet.Hosts = append(c.fleet.Hosts, h)
	}
	sort.Slice(c.fleet.Hosts, func(i, j int) bool { return c.fleet.Hosts[i].Name < c.fleet.Hosts[j].Name })
}

// maxWithin returns the largest number of times that lie within any period of the given length. The
// times must be sorted.
func maxWithin(times []time.Time, within time.Duration) (most int) {
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) < within {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// reportedDelay returns the message delay in milliseconds that a load report contains. It returns false
// if the report is of another kind.
func reportedDelay(e Event) (ms float64, ok bool) {
	ms, err := strconv.ParseFloat(e.Fields["value"], 64)
	return ms, err == nil && e.Fields["delay"] == "true"
}
