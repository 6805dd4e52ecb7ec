// Package fake holds what a proxy meets outside, for tests and for croftlock-experiment: discovery, catalogue servers, clients, and
// servers with faults in their TLS. All is scriptable, made from the platform's protocol and the public specifications,
// and on loopback only. Nothing of it runs in a proxy.
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
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"` // the whole list; else what has changed
	Targets []Entry `json:"targets"`
}

// Discovery is a discovery service. Its methods may be called from any goroutine.
type Discovery struct {
	server *http.Server
	addr   string

	mu         sync.Mutex // protects what follows
	rev        int64
	hosts      []Entry          // in the order they came
	changedAt  map[string]int64 // the version in which each last changed, by its id
	nextChange chan struct{}    // closed at the next change
	down       bool
	silenceEnd chan struct{} // not nil: calls wait for its close, and then get no answer
	delay      time.Duration // of every answer
	calls      int
	onWritten  func(List)
}

// OnWritten has f called, on any goroutine, with each list once it is written: from then on the caller counts as notified.
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

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.addr }

// Close ends it.
func (d *Discovery) Close() { d.server.Close() }

// Set adds or changes entries; state removed takes one out. Watches hear of it at once.
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

// SetState changes one entry's state.
func (d *Discovery) SetState(uid, state string) {
	d.mu.Lock()
	var e Entry
	for _, x := range d.hosts {
		if x.UID == uid {
			e = x
		}
	}
	d.mu.Unlock()
	e.State = state
	d.Set(e)
}

// SetDown makes every call fail, or not.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.nextChange)
	d.nextChange = make(chan struct{})
}

// SetSilent makes it say nothing, as an agent does while discovery is down: calls wait, those under way too, and when it speaks
// again it ends them without an answer.
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

// currentSilence is the end of the silence, nil where there is none.
func (d *Discovery) currentSilence() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silenceEnd
}

// SetDelay makes every answer late.
func (d *Discovery) SetDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = by
}

// Calls is how many calls there were.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// List is the whole list as it stands.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

// since gives what is newer than a version; the whole list for one under 0. mu is held.
func (d *Discovery) since(rev int64) List {
	l := List{Rev: d.rev, All: rev < 0, Targets: []Entry{}}
	for _, e := range d.hosts {
		if rev < 0 && e.State != "removed" || rev >= 0 && d.changedAt[e.UID] > rev {
			l.Targets = append(l.Targets, e)
		}
	}
	return l
}
