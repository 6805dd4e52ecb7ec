package fleetlog

import (
	"sort"
	"strconv"
	"time"
)

// Loss is what became of the seconds that clients wanted to be connected, over all proxies, in seconds.
type Loss struct {
	Good float64
	// Connected to a host where messages took long: one with more connections than its share, and one without.
	Overloaded, Slow float64
	// Not connected: before the answer, after a connection was broken, after a rejection, after a migration; each until the client came again,
	// MaxDisconnected at most.
	Waiting, Broken, Rejected, Migrated float64
	// MedianSpread is the most connections of a host over the mean, for its weight: the median over the samples, and the worst.
	MedianSpread, MaxSpread float64
	Hosts                   []HostLoss // those that lost most first
}

// HostLoss is a host's part.
type HostLoss struct {
	Name                        string
	Connected, Overloaded, Slow float64 // seconds of connections
	Broken                      float64 // connections that broke
	MeanShare, MaxShare         float64 // the mean and the most of its load over the fleet's mean, for its weight
}

// Total is every second.
func (l *Loss) Total() float64 {
	return l.Good + l.Overloaded + l.Slow + l.Waiting + l.Broken + l.Rejected + l.Migrated
}

const (
	// MaxDisconnected bounds what a client that does not come again is counted for.
	MaxDisconnected = 10 * time.Second
	// delayReportLifetime is how long a reported delay counts.
	delayReportLifetime = 1500 * time.Millisecond
	// overloadShare is how many times its share of connections a host has to have for its slowness to count as load.
	overloadShare = 1.25
	// sampleInterval is the time that one sample counts for.
	sampleInterval = 250 * time.Millisecond
	// minSpreadConnections is how many connections there have to be for their spread to say something.
	minSpreadConnections = 20
)

// clientState is what a client that wants a connection has.
type clientState int

const (
	clientWaiting clientState = iota // for its answer
	clientConnected
	clientBroken   // its connection broke
	clientRejected // it was rejected, and may retry
	clientMigrated // it was migrated, and is to come again
)

// client is one request's client since its last change.
type client struct {
	state clientState
	host  string // where it is connected
	since time.Time
}

// lossCounter samples the clients of all proxies.
type lossCounter struct {
	loss      *Loss
	objective time.Duration // for a message
	clients   map[string]*client
	hosts     map[string]*HostLoss
	weights   map[string]float64
	slowUntil map[string]time.Time
	spreads   []float64
}

// CountLoss goes through a log sample by sample. A host is slow while it was reported of late that messages took the objective or longer.
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

func (c *lossCounter) host(name string) *HostLoss {
	if c.hosts[name] == nil {
		c.hosts[name] = &HostLoss{Name: name}
	}
	return c.hosts[name]
}

// applyEvent notes what an event changes.
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

// usableWeight is a listed host's weight; 0 where it takes nothing new, since its connections are to go elsewhere.
func usableWeight(e Event) float64 {
	weight, err := strconv.ParseFloat(e.Fields["weight"], 64)
	if err != nil || e.Fields["state"] != "ready" {
		return 0
	}
	return weight
}

// sample counts every client for the time since the last sample.
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

// shares are the hosts' connections over the fleet's mean, for their weight, and how many connections there are.
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

// addSample adds one sample of a client to where its time went.
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

// finish makes means of sums, and puts the hosts in order.
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
