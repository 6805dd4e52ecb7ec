package balancer

import (
	"math"
	"sort"
)

// HostState says what a placement may do with a host: by discovery, by an operator's suspension, or by
// another proxy's watermark, which reads as Draining.
type HostState int

// The states of a host.
const (
	Ready HostState = iota
	Draining
	Removed
	Suspended // by an operator, whatever discovery says
)

// ListedHost is one host in an endpoint list.
type ListedHost struct {
	ID        string    `json:"ID"`
	State     HostState `json:"State"`
	Zone      string    `json:"Zone"`
	Kind      string    `json:"Kind"`
	Cell      int       `json:"Cell"`
	Weight    float64   `json:"Weight"` // capacity in relation to others; 0 counts as 1
	StartedAt Time      `json:"Since"`  // its latest start; 0: long past
}

// ListChange says how an endpoint list is to be read.
type ListChange int

// The kinds of list.
const (
	ListDelta  ListChange = iota // only what has changed
	ListFull                     // everything: what is absent is removed
	ListCached                   // everything, as this balancer last had it; may be old
	ListFailed                   // a poll of discovery failed or a watch broke; no entries
	ListLocal                    // made in this proxy, not by discovery: suspension, watermark or pool
)

// endpointList is the hosts that discovery has named since the start.
type endpointList struct {
	hosts        []*host // sorted by ID: the order of the rotation, the same at every balancer
	byID         map[string]*host
	zones        map[string]int // index by name
	ownZone      int            // own
	listReceived bool           // a list with hosts has come
}

func newEndpointList(cfg *Config) endpointList {
	l := endpointList{byID: map[string]*host{}, zones: map[string]int{}}
	for _, name := range cfg.Zones {
		l.zoneIndex(name)
	}
	l.ownZone = l.zoneIndex(cfg.Zone)
	return l
}

func (l *endpointList) zoneIndex(name string) int {
	z, ok := l.zones[name]
	if !ok {
		z = len(l.zones)
		l.zones[name] = z
	}
	return z
}

func (l *endpointList) add(h *host) {
	l.byID[h.hostID] = h
	l.hosts = append(l.hosts, h)
}

func (l *endpointList) sortByID() {
	sort.Slice(l.hosts, func(i, j int) bool { return l.hosts[i].hostID < l.hosts[j].hostID })
}

// hostByHash finds the host that a message names by 32 bits of its hash; 0 names none.
func (l *endpointList) hostByHash(hash uint32) *host {
	for _, h := range l.hosts {
		if uint32(h.hash) == hash && hash != 0 {
			return h
		}
	}
	return nil
}

// allHostsSuspended reports whether operators have suspended every host that could serve, so that no request
// should wait for one.
func (l *endpointList) allHostsSuspended() bool {
	suspended := false
	for _, h := range l.hosts {
		if h.state == Ready {
			return false
		}
		suspended = suspended || h.state == Suspended
	}
	return suspended
}

// ListReceived takes an endpoint list or a change of it. Lists come in the order of their versions.
func (b *Balancer) ListReceived(now Time, kind ListChange, entries []ListedHost) {
	b.beginEvent(now)
	if kind == ListFailed {
		b.discovery.failed()
		b.schedulePoll()
		return
	}
	if kind == ListDelta || kind == ListFull {
		b.discovery.succeeded()
	}
	b.updateHosts(kind, entries)
	clear(b.groups)
	if !b.listReceived && len(b.hosts) > 0 {
		b.listReceived = true
		b.spreadRotation()
	}
	if b.hostsReportLoad() {
		b.updateFleetLoad()
	}
	b.updateFleetWeight()
	b.drainQueue()
}

// updateHosts applies the entries of a list, and marks as removed the hosts that a full list does not name.
func (b *Balancer) updateHosts(kind ListChange, entries []ListedHost) {
	if kind == ListFull || kind == ListCached {
		for _, h := range b.hosts {
			h.listed = false
		}
	}
	added := false
	for i := range entries {
		added = b.updateHost(&entries[i]) || added
	}
	for _, h := range b.hosts {
		if !h.listed {
			h.state = Removed
		}
	}
	if added {
		b.sortByID()
	}
}

// updateHost applies what a list says of a host, and reports whether it is a new one.
func (b *Balancer) updateHost(e *ListedHost) (added bool) {
	h := b.byID[e.ID]
	if h == nil {
		h = &host{hostID: e.ID, hash: stableHash(e.ID), startedAt: e.StartedAt}
		h.slowStart = slowStartBudget{tokens: b.slowStartStagger(h), filledAt: b.now}
		// A place of its own in the rotation, no later than most.
		h.deficit = 0.5 - h.slowStart.tokens
		b.add(h)
		added = true
	} else if e.StartedAt > h.startedAt || h.state == Suspended && e.State == Ready {
		h.restarted(b.now, e.StartedAt, b.slowStartStagger(h))
	}
	h.zone, h.cell, h.weight, h.listed = b.zoneIndex(e.Zone), e.Cell, e.Weight, true
	if h.weight <= 0 {
		h.weight = 1
	}
	if h.state == Ready && e.State != Ready {
		b.traffic.hostDeparted(b.now, h.weight)
	}
	h.state = e.State
	return added
}

// spreadRotation starts the rotations of the balancers at places spread over the common order, so that many
// sparse rotations interleave into one even stream instead of all beginning with the same host.
func (b *Balancer) spreadRotation() {
	n := float64(len(b.hosts))
	start := float64(b.cfg.Instance%b.cfg.Instances) / float64(b.cfg.Instances)
	for i, h := range b.hosts {
		_, place := math.Modf(float64(i)/n - start + 1)
		h.deficit = 0.5 - place
	}
}
