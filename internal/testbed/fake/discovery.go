// Package fake holds stand-ins of what a proxy talks to, for tests and for croftlock-experiment: discovery, upstream hosts, hosts with
// faults in their TLS, clients, and the network between proxies. They are written from the platform's protocol and the public
// specifications, and run on loopback only, never in a proxy.
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
	Endpoint string  `json:"endpoint"` // address
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"` // up, draining or removed
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"` // its start, Unix milliseconds; 0: unknown
}

// List is an endpoint list, or the changes of one, as discovery answers.
type List struct {
	Rev      int64   `json:"rev"`
	Complete bool    `json:"all"` // the complete list; else changes
	Targets  []Entry `json:"targets"`
}

// Discovery is a discovery service. Its methods may be called from any goroutine.
type Discovery struct {
	server *http.Server
	addr   string

	mu         sync.Mutex // protects what follows
	rev        int64
	hosts      []Entry          // in the order in which they were added
	changedAt  map[string]int64 // revision of the last change, by the host's ID
	nextChange chan struct{}    // closed at the next change
	down       bool
	silenceEnd chan struct{} // not nil: calls wait for its close, and then fail without an answer
	delay      time.Duration // of every answer
	calls      int           // received so far
	onWritten  func(List)
}

// OnWritten calls f, on any goroutine, with each list that was written: from then on the proxy counts as notified.
func (d *Discovery) OnWritten(f func(List)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onWritten = f
}

// NewDiscovery serves a list on a loopback address.
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

// Addr is the address that it listens on.
func (d *Discovery) Addr() string { return d.addr }

// Close ends the service.
func (d *Discovery) Close() { d.server.Close() }

// Set adds or changes entries; the state removed removes one. Watches are answered at once.
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

// SetState changes one host's state.
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

// SetDown makes every call fail with 503, or ends that.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.nextChange)
	d.nextChange = make(chan struct{})
}

// SetSilent stops answers, as an agent does while discovery is down: calls wait, also those that watch already, and fail without an
// answer when the silence ends.
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

// silenceEndChan is closed when the silence ends; nil: there is none.
func (d *Discovery) silenceEndChan() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silenceEnd
}

// SetDelay delays every answer.
func (d *Discovery) SetDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = by
}

// Calls is the number of calls received.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// List is the complete list as it is now.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listSince(completeList)
}

// completeList stands, like any number under 0, for the revision in a query for the complete list.
const completeList = -1

// listSince is what has changed since a revision, or the complete list. mu is held.
func (d *Discovery) listSince(rev int64) List {
	list := List{Rev: d.rev, Complete: rev < 0, Targets: []Entry{}}
	for _, e := range d.hosts {
		if list.Complete && e.State != "removed" || !list.Complete && d.changedAt[e.UID] > rev {
			list.Targets = append(list.Targets, e)
		}
	}
	return list
}
