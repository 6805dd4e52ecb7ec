package fleetlog

import (
	"sort"
	"strconv"
	"time"
)

// Loss divides the time in which clients wanted to be connected, summed over all proxies, by the state
// of their connection. All times are in seconds.
type Loss struct {
	Good float64 // connected to a host that was not slow
	// Time connected to a slow host whose share of connections was above overloadShare (Overloaded), or not
	// (Slow).
	Overloaded, Slow float64
	// Time not connected: before the request was answered, after a broken connection, after a rejection and
	// after a migration. Each lasts until the client returns, for MaxDisconnected at most.
	Waiting, Broken, Rejected, Migrated float64
	// MedianSpread and MaxSpread are the median and the maximum, over the samples, of the largest share of
	// a host: its connections over the fleet's mean, by weight. They are 0 without a sample that had more
	// than minSpreadConnections.
	MedianSpread, MaxSpread float64
	Hosts                   []HostLoss // sorted by time lost on overloaded and slow hosts, largest first
}

// HostLoss holds the losses of one host.
type HostLoss struct {
	Name                        string
	Connected, Overloaded, Slow float64 // connection time, in seconds
	Broken                      float64 // number of connections that were reset
	MeanShare, MaxShare         float64 // mean and maximum of its connections over the fleet's mean, by weight
}

// Total returns the sum of all times, in seconds.
func (l *Loss) Total() float64 {
	return l.Good + l.Overloaded + l.Slow + l.Waiting + l.Broken + l.Rejected + l.Migrated
}

const (
	// MaxDisconnected is the longest time that a client without a connection is counted, in case it does not
	// return.
	MaxDisconnected = 10 * time.Second
	// delayReportLifetime is how long a host counts as slow after a report of a long delay.
	delayReportLifetime = 1500 * time.Millisecond
	// overloadShare is the share of connections, over the fleet's mean by weight, above which a slow host
	// counts as overloaded.
	overloadShare = 1.25
	// sampleInterval is the time between samples. Each sample adds it to the time of each client's state.
	sampleInterval = 250 * time.Millisecond
	// minSpreadConnections is the number of connections that a sample must exceed for its spread to be
	// meaningful.
	minSpreadConnections = 20
)

// clientState is the state of a client that wants a connection.
type clientState int

const (
	clientWaiting clientState = iota // no answer to the request yet
	clientConnected
	clientBroken   // connection was reset
	clientRejected // request was rejected; the client may retry
	clientMigrated // connection ended with a status other than ok and reset; the client is expected to return
)

// client is the client of one request and its current state.
type client struct {
	state clientState
	host  string    // empty unless connected
	since time.Time // time of the last change of state
}

// lossCounter samples the clients of all proxies.
type lossCounter struct {
	loss      *Loss
	objective time.Duration        // a host with reported message delays of this or longer is slow
	clients   map[string]*client   // by request
	hosts     map[string]*HostLoss // by name
	weights   map[string]float64   // usable weight by host
	slowUntil map[string]time.Time // by host
	spreads   []float64            // largest share of a host in each sample
}

// CountLoss samples the clients of a log at a fixed interval. A host is slow for delayReportLifetime after
// a report that messages took objective or longer. The log must have an event.
func CountLoss(l *Log, objective time.Duration) *Loss {
	c := &lossCounter{loss: &Loss{}, objective: objective, clients: map[string]*client{}, hosts: map[string]*HostLoss{}, weights: map[string]float64{},
		slowUntil: map[string]time.Time{}}
	next := l.Events[0].Time.Add(sampleInterval)
	for _, e := range l.Events {
		for ; e.Time.After(next); next = next.Add(sampleInterval) {
			c.sample(next)
		}
		c.applyEvent(e)
	}
	samples := max(1, l.Events[len(l.Events)-1].Time.Sub(l.Events[0].Time)/sampleInterval)
	c.finish(float64(samples))
	return c.loss
}

// host returns the losses of a host, and adds the host if it is new.
func (c *lossCounter) host(name string) *HostLoss {
	if c.hosts[name] == nil {
		c.hosts[name] = &HostLoss{Name: name}
	}
	return c.hosts[name]
}

// applyEvent updates the clients and hosts that an event concerns.
func (c *lossCounter) applyEvent(e Event) {
	request, host := e.Fields["request"], e.Fields["host"]
	setState := func(state clientState, host string) { c.clients[request] = &client{state, host, e.Time} }
	switch e.Name {
	case "host_updated":
		c.host(host)
		c.weights[host] = usableWeight(e)
	case "request_received":
		setState(clientWaiting, "")
	case "request_established":
		c.host(host)
		setState(clientConnected, host)
	case "request_rejected":
		setState(clientRejected, "")
	case "attempt_ended":
		switch {
		case e.Fields["established"] != "true":
		case e.Fields["status"] == "ok":
			delete(c.clients, request)
		case e.Fields["status"] == "reset":
			c.host(host).Broken++
			setState(clientBroken, "")
		default:
			setState(clientMigrated, "")
		}
	case "load_reported":
		if ms, ok := reportedDelay(e); ok && ms >= float64(c.objective.Milliseconds()) {
			c.slowUntil[host] = e.Time.Add(delayReportLifetime)
		}
	}
}

// usableWeight returns a listed host's weight. It returns 0 if the host is not ready: it accepts no new
// connections, and its connections are to move to other hosts.
func usableWeight(e Event) float64 {
	weight, err := strconv.ParseFloat(e.Fields["weight"], 64)
	if err != nil || e.Fields["state"] != "ready" {
		return 0
	}
	return weight
}

// sample adds one sampleInterval to the time of each client's state, and records the hosts' shares. It drops
// clients that have not been connected for longer than MaxDisconnected.
func (c *lossCounter) sample(now time.Time) {
	shares, connected := c.shares()
	maxShare := 0.0
	for name, h := range c.hosts {
		h.MeanShare += shares[name]
		h.MaxShare = max(h.MaxShare, shares[name])
		maxShare = max(maxShare, shares[name])
	}
	if connected > minSpreadConnections {
		c.spreads = append(c.spreads, maxShare)
	}
	for request, client := range c.clients {
		if client.state != clientConnected && now.Sub(client.since) > MaxDisconnected {
			delete(c.clients, request)
			continue
		}
		c.addSample(client, now, shares)
	}
}

// shares returns each host's connections over the fleet's mean, by weight, and the number of all
// connections. Hosts without weight have no share.
func (c *lossCounter) shares() (shares map[string]float64, connected float64) {
	connections := map[string]float64{}
	for _, client := range c.clients {
		if client.state == clientConnected {
			connections[client.host]++
			connected++
		}
	}
	totalWeight := 0.0
	for name := range c.hosts {
		totalWeight += max(c.weights[name], 0)
	}
	shares = map[string]float64{}
	if totalWeight == 0 || connected == 0 {
		return shares, connected
	}
	mean := connected / totalWeight
	for name := range c.hosts {
		if c.weights[name] > 0 {
			shares[name] = connections[name] / c.weights[name] / mean
		}
	}
	return shares, connected
}

// addSample adds one sampleInterval to the time of a client's state.
func (c *lossCounter) addSample(client *client, now time.Time, shares map[string]float64) {
	seconds := sampleInterval.Seconds()
	switch client.state {
	case clientWaiting:
		c.loss.Waiting += seconds
	case clientBroken:
		c.loss.Broken += seconds
	case clientRejected:
		c.loss.Rejected += seconds
	case clientMigrated:
		c.loss.Migrated += seconds
	case clientConnected:
		h := c.host(client.host)
		h.Connected += seconds
		switch {
		case !now.Before(c.slowUntil[client.host]):
			c.loss.Good += seconds
		case shares[client.host] > overloadShare:
			c.loss.Overloaded += seconds
			h.Overloaded += seconds
		default:
			c.loss.Slow += seconds
			h.Slow += seconds
		}
	}
}

// finish divides the sums of shares by the number of samples, sorts the hosts and sets the spreads.
func (c *lossCounter) finish(samples float64) {
	for _, h := range c.hosts {
		h.MeanShare /= samples
		c.loss.Hosts = append(c.loss.Hosts, *h)
	}
	sort.Slice(c.loss.Hosts, func(i, j int) bool {
		first, second := c.loss.Hosts[i], c.loss.Hosts[j]
		if firstSlow, secondSlow := first.Overloaded+first.Slow, second.Overloaded+second.Slow; firstSlow != secondSlow {
			return firstSlow > secondSlow
		}
		return first.Name < second.Name
	})
	if len(c.spreads) > 0 {
		sort.Float64s(c.spreads)
		c.loss.MedianSpread, c.loss.MaxSpread = c.spreads[len(c.spreads)/2], c.spreads[len(c.spreads)-1]
	}
}
