package balancer

import (
	"math"
	"sort"
)

// HostState is the state of a host with regard to placement. It is set by discovery, by an
// operator's suspension, or by another proxy that has seen the host drain (a watermark, which counts
// as Draining).
type HostState int

// Values of HostState. Only Ready hosts get new connections.
const (
	Ready HostState = iota
	Draining
	Removed
	Suspended // by an operator, regardless of discovery
)

// ListedHost is one host in an endpoint list.
type ListedHost struct {
	ID        string    `json:"ID"`
	State     HostState `json:"State"`
	Zone      string    `json:"Zone"`
	Kind      string    `json:"Kind"`   // kind of host; package proxy assigns hosts to pools by it
	Cell      int       `json:"Cell"`   // number of its cell, for ScopeCell
	Weight    float64   `json:"Weight"` // capacity relative to other hosts; 0 means 1
	StartedAt Time      `json:"Since"`  // its latest start; 0 if it was long ago
}

// ListChange specifies how an endpoint list is applied.
type ListChange int

// Values of ListChange.
const (
	ListDelta  ListChange = iota // the list holds only hosts that have changed
	ListFull                     // the list holds all hosts; absent ones are removed
	ListCached                   // like ListFull, as this balancer last knew the hosts; may be outdated
	ListFailed                   // a poll of discovery failed or a watch broke; the list is empty
	ListLocal                    // like ListDelta, for changes by suspension, watermark or pool in this proxy
)

// endpointList holds the hosts that any endpoint list has named since the start.
type endpointList struct {
	hosts        []*host          // sorted by ID, the order of the rotation at every balancer
	byID         map[string]*host // by host ID
	zones        map[string]int   // index by zone name
	ownZone      int              // index of this balancer's zone
	listReceived bool             // whether a list with hosts has arrived
}

// newEndpointList returns a list without hosts that has the zones of the settings.
func newEndpointList(cfg *Config) endpointList {
	l := endpointList{byID: map[string]*host{}, zones: map[string]int{}}
	for _, name := range cfg.Zones {
		l.zoneIndex(name)
	}
	l.ownZone = l.zoneIndex(cfg.Zone)
	return l
}

// zoneIndex returns the index of a zone, and adds the zone if it is new.
func (l *endpointList) zoneIndex(name string) int {
	z, ok := l.zones[name]
	if !ok {
		z = len(l.zones)
		l.zones[name] = z
	}
	return z
}

// add adds a host. The caller calls sortByID after its last call of add.
func (l *endpointList) add(h *host) {
	l.byID[h.hostID] = h
	l.hosts = append(l.hosts, h)
}

// sortByID sorts the hosts by ID, the order of the rotation at every balancer.
func (l *endpointList) sortByID() {
	sort.Slice(l.hosts, func(i, j int) bool { return l.hosts[i].hostID < l.hosts[j].hostID })
}

// hostByHash returns the host that a message names by the lower 32 bits of its hash, or nil if the
// host is unknown or hash is 0.
func (l *endpointList) hostByHash(hash uint32) *host {
	for _, h := range l.hosts {
		if uint32(h.hash) == hash && hash != 0 {
			return h
		}
	}
	return nil
}

// allHostsSuspended reports whether no host is ready and operators have suspended at least one. In
// that case no request should wait for a host.
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

// ListReceived applies an endpoint list and then places the requests that wait for a host. If kind is
// ListFailed, it only records a failure of discovery and schedules the next poll. Lists have to
// arrive in the order of their versions.
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

// updateHosts applies the entries of a list, and marks the hosts that a complete list does not name
// as removed.
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

// updateHost applies an entry of a list, and reports whether its host is new. It resets the state of
// a host that has restarted or is no longer suspended.
func (b *Balancer) updateHost(entry *ListedHost) (added bool) {
	h := b.byID[entry.ID]
	if h == nil {
		h = &host{hostID: entry.ID, hash: stableHash(entry.ID), startedAt: entry.StartedAt}
		h.slowStart = slowStartBudget{tokens: b.slowStartStagger(h), filledAt: b.now}
		// deficit is the number of turns that the rotation owes the host, -0.5 to 0.5 here: the host
		// starts at a place that differs between balancers and is not behind most other hosts.
		h.deficit = 0.5 - h.slowStart.tokens
		b.add(h)
		added = true
	} else if entry.StartedAt > h.startedAt || h.state == Suspended && entry.State == Ready {
		h.restarted(b.now, entry.StartedAt, b.slowStartStagger(h))
	}
	h.zone, h.cell, h.weight, h.listed = b.zoneIndex(entry.Zone), entry.Cell, entry.Weight, true
	if h.weight <= 0 {
		h.weight = 1
	}
	if h.state == Ready && entry.State != Ready {
		b.traffic.hostDeparted(b.now, h.weight)
	}
	h.state = entry.State
	return added
}

// spreadRotation sets the deficits so that each balancer's rotation starts at a different place in
// the order by ID. The rotations of balancers with little traffic then interleave evenly instead of
// all beginning with the same host.
func (b *Balancer) spreadRotation() {
	n := float64(len(b.hosts))
	start := float64(b.cfg.Instance%b.cfg.Instances) / float64(b.cfg.Instances)
	for i, h := range b.hosts {
		_, place := math.Modf(float64(i)/n - start + 1)
		h.deficit = 0.5 - place
	}
}
