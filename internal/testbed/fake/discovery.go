// Package fake provides fakes of what a proxy talks to, for tests and for croftlock-experiment:
// discovery, upstream hosts, hosts with TLS faults, clients, and the network between proxies. They
// follow the platform's protocol and the public specifications, run on loopback only, and are never
// part of a proxy.
package fake

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Entry is an upstream host in an endpoint list.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // network address
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"` // up, draining or removed
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"` // start time, Unix milliseconds; zero if unknown
}

// List is an answer of discovery: a complete endpoint list or the changes to one.
type List struct {
	Rev      int64   `json:"rev"`
	Complete bool    `json:"all"` // whether Targets is the complete list and not only changes
	Targets  []Entry `json:"targets"`
}

// Discovery is a discovery service. Its methods are safe for concurrent use.
type Discovery struct {
	server *http.Server
	addr   string

	mu         sync.Mutex       // protects the fields below
	rev        int64            // current revision
	hosts      []Entry          // in the order in which they were added
	changedAt  map[string]int64 // revision of the last change, by host ID
	nextChange chan struct{}    // closed at the next change
	down       bool             // whether every call fails with status 503
	silenceEnd chan struct{}    // while not nil, calls wait until it is closed and then fail without an answer
	delay      time.Duration    // before every answer
	calls      int              // number of calls received so far
	onWritten  func(List)       // see OnWritten
}

// OnWritten makes the service call f with each list that it has written to a caller, after which
// the proxy counts as notified. f is called from several goroutines.
func (d *Discovery) OnWritten(f func(List)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onWritten = f
}

// NewDiscovery returns a service that lists the entries and listens on a loopback address.
func NewDiscovery(entries ...Entry) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{nextChange: make(chan struct{}), changedAt: map[string]int64{}, addr: l.Addr().String()}
	d.Set(entries...)
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return d, nil
}

// Addr returns the address that the service listens on.
func (d *Discovery) Addr() string { return d.addr }

// Close stops the service and closes its connections.
func (d *Discovery) Close() { d.server.Close() }

// Set adds or replaces entries and answers waiting watches at once. An empty state means up, and a
// zero weight means 1. An entry in the state removed is no longer in the complete list.
func (d *Discovery) Set(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, e := range entries {
		if e.State == "" {
			e.State = "up"
		}
		if e.Weight == 0 {
			e.Weight = 1
		}
		found := false
		for i := range d.hosts {
			if d.hosts[i].UID == e.UID {
				d.hosts[i], found = e, true
			}
		}
		if !found {
			d.hosts = append(d.hosts, e)
		}
		d.changedAt[e.UID] = d.rev
	}
	close(d.nextChange)
	d.nextChange = make(chan struct{})
}

// SetState changes the state of the host with this ID.
func (d *Discovery) SetState(uid, state string) {
	d.mu.Lock()
	var entry Entry
	for _, e := range d.hosts {
		if e.UID == uid {
			entry = e
		}
	}
	d.mu.Unlock()
	entry.State = state
	d.Set(entry)
}

// SetDown sets whether every call, including waiting watches, fails with status 503.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.nextChange)
	d.nextChange = make(chan struct{})
}

// SetSilent sets whether the service withholds all answers, as an agent does while discovery is
// down. Calls, including watches that have not yet been answered, wait and fail without an answer
// when the silence ends.
func (d *Discovery) SetSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on && d.silenceEnd == nil {
		d.silenceEnd = make(chan struct{})
	} else if !on && d.silenceEnd != nil {
		close(d.silenceEnd)
		d.silenceEnd = nil
	}
}

// silenceEndChan returns a channel that is closed when the silence ends, or nil if the service is
// not silent.
func (d *Discovery) silenceEndChan() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silenceEnd
}

// SetDelay sets the delay of every answer; zero means none.
func (d *Discovery) SetDelay(answerDelay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = answerDelay
}

// Calls returns the number of calls received.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// List returns the current complete list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listSince(completeList)
}

// completeList is the revision that requests the complete list in a query. Any negative revision
// does so.
const completeList = -1

// listSince returns the changes since a revision, or the complete list if rev is negative. The
// caller must hold mu.
func (d *Discovery) listSince(rev int64) List {
	list := List{Rev: d.rev, Complete: rev < 0, Targets: []Entry{}}
	for _, e := range d.hosts {
		if list.Complete && e.State != "removed" || !list.Complete && d.changedAt[e.UID] > rev {
			list.Targets = append(list.Targets, e)
		}
	}
	return list
}
