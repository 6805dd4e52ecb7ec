package fleetlog

import (
	"sort"
	"strconv"
	"time"
)

// Window is what all proxies did in one stretch of time.
type Window struct {
	From            time.Duration  // since the first event
	Requests        int            // requests that came
	Returned        int            // of them, from clients that came again
	Attempts        int            // attempts that the decision module placed
	Established     int            // connections that were established
	Rejected        int            // requests
	Failed          map[string]int // attempts that were not established, by status
	Broken          int            // established connections that broke
	Open            int            // established connections at its end
	Placements      int            // at its end, pairs of host and group
	ProcessStarts   int            // processes that became ready
	DiscoveryFailed int
	HostUpdates     int // hosts that changed in some proxy's list
}

// Host is what all proxies together did with one host.
type Host struct {
	Name, Zone     string
	Weight         float64
	StartedAt      time.Time // its latest start; zero: long ago
	Attempts       int       // attempts
	WarmUpAttempts int       // attempts within the warm-up that the caller states
	WarmUpPeak     int       // most of those in any stretch of the length that the caller states
	Open           int       // established connections at the end
	MaxDelayMS     float64   // longest message delay reported, milliseconds
}

// Fleet is the counts of all proxies.
type Fleet struct {
	Start    time.Time
	Windows  []*Window
	Hosts    []*Host // by name
	Requests int
	Attempts int
}

// placement is the host of an established placement, and its group.
type placement struct{ host, group string }

// counter goes through the events of all proxies.
type counter struct {
	fleet          *Fleet
	window         *Window
	windowLength   time.Duration
	warmUpPeriod   time.Duration
	hosts          map[string]*Host
	warmUpAttempts map[string][]time.Time          // by host
	established    map[string]map[string]placement // by proxy and request
	groups         map[string]string               // of each request that came
	peakWindow     time.Duration
}

// Count goes through a log in windows of the given length. A host is cold for warmUp after its start, and its peak is the most attempts in
// any stretch of peakOver.
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

func (c *counter) host(name string) *Host {
	h := c.hosts[name]
	if h == nil {
		h = &Host{Name: name}
		c.hosts[name] = h
	}
	return h
}

// advanceWindow begins the windows up to that of a time.
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

// closeWindow counts what is established at the window's end.
func (c *counter) closeWindow() {
	places := map[placement]bool{}
	for _, ofProxy := range c.established {
		for _, at := range ofProxy {
			c.window.Open++
			places[at] = true
		}
	}
	c.window.Placements = len(places)
}

// countEvent counts one event.
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
		return // restored at its host from before the start, which is no placement
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

func (c *counter) hostUpdated(e Event) {
	c.window.HostUpdates++
	h := c.host(e.Fields["host"])
	h.Zone = e.Fields["zone"]
	h.Weight, _ = strconv.ParseFloat(e.Fields["weight"], 64)
	if ms, err := strconv.ParseInt(e.Fields["since_ms"], 10, 64); err == nil && ms > 0 {
		h.StartedAt = time.UnixMilli(ms).UTC()
	}
}

// finishHosts takes in what is established at the end, and the peaks.
func (c *counter) finishHosts() {
	for _, ofProxy := range c.established {
		for _, at := range ofProxy {
			c.host(at.host).Open++
		}
	}
	for name, h := range c.hosts {
		h.WarmUpPeak = maxWithin(c.warmUpAttempts[name], c.peakWindow)
		c.fleet.Hosts = append(c.fleet.Hosts, h)
	}
	sort.Slice(c.fleet.Hosts, func(i, j int) bool { return c.fleet.Hosts[i].Name < c.fleet.Hosts[j].Name })
}

// maxWithin is the most of some times, in order, within any stretch of the given length.
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

// reportedDelay is the message delay that an event reports, in milliseconds; false: it reports something else.
func reportedDelay(e Event) (ms float64, ok bool) {
	ms, err := strconv.ParseFloat(e.Fields["value"], 64)
	return ms, err == nil && e.Fields["delay"] == "true"
}
