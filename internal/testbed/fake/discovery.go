// Package fake holds what a proxy meets outside, for tests and for croftlock-experiment: discovery, catalogue servers, clients, and
// servers with faults in their TLS. All is scriptable, made from the platform's protocol and the public specifications,
// and on loopback only. Nothing of it runs in a proxy.
package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a catalogue server as discovery tells of it.
type Entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is what discovery answers.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// Discovery is a discovery service.
type Discovery struct {
	mu      sync.Mutex
	rev     int64
	entries []Entry          // in the order they came
	changed map[string]int64 // when each last changed
	news    chan struct{}    // closed at the next change
	down    bool
	silent  chan struct{} // not nil: calls wait for its close, and then get no answer
	delay   time.Duration
	calls   int
	server  *http.Server
	addr    string
	written func(List)
}

// OnWritten has f called, on any goroutine, with each list once it is written: from then on the caller has been told of it.
func (d *Discovery) OnWritten(f func(List)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.written = f
}

// NewDiscovery serves a list on a loopback address.
func NewDiscovery(entries ...Entry) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{news: make(chan struct{}), changed: map[string]int64{}, addr: l.Addr().String()}
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
		for i := range d.entries {
			if d.entries[i].UID == e.UID {
				d.entries[i], found = e, true
			}
		}
		if !found {
			d.entries = append(d.entries, e)
		}
		d.changed[e.UID] = d.rev
	}
	close(d.news)
	d.news = make(chan struct{})
}

// State changes one entry's state.
func (d *Discovery) State(uid, state string) {
	d.mu.Lock()
	var e Entry
	for _, x := range d.entries {
		if x.UID == uid {
			e = x
		}
	}
	d.mu.Unlock()
	e.State = state
	d.Set(e)
}

// Down makes every call fail, or not.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.news)
	d.news = make(chan struct{})
}

// Silent makes it say nothing, as an agent does while discovery is down: calls wait, those under way too, and when it speaks
// again it ends them without an answer.
func (d *Discovery) Silent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if on && d.silent == nil {
		d.silent = make(chan struct{})
	} else if !on && d.silent != nil {
		close(d.silent)
		d.silent = nil
	}
}

// mute is the end of the silence, nil where there is none.
func (d *Discovery) mute() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent
}

// Delay makes every answer late.
func (d *Discovery) Delay(by time.Duration) {
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
	for _, e := range d.entries {
		if rev < 0 && e.State != "removed" || rev >= 0 && d.changed[e.UID] > rev {
			l.Targets = append(l.Targets, e)
		}
	}
	return l
}

// ServeHTTP answers GET /discovery/hosts, and the watch on it.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	d.calls++
	down, delay := d.down, d.delay
	d.mu.Unlock()
	time.Sleep(delay)
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	from, hold := int64(-1), int64(0)
	if q := r.URL.Query(); q.Has("from") {
		var err, err2 error
		from, err = strconv.ParseInt(q.Get("from"), 10, 64)
		if q.Has("hold_ms") {
			hold, err2 = strconv.ParseInt(q.Get("hold_ms"), 10, 64)
		}
		if err != nil || err2 != nil || hold < 0 || hold > 60000 {
			http.Error(w, fmt.Sprint("what? ", r.URL.RawQuery), http.StatusBadRequest)
			return
		}
	}
	end := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer end.Stop()
	for {
		d.mu.Lock()
		l, news, down := d.since(from), d.news, d.down
		d.mu.Unlock()
		if quiet := d.mute(); quiet != nil {
			<-quiet
			panic(http.ErrAbortHandler)
		}
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if from < 0 || l.Rev > from || hold == 0 {
			w.Header().Set("Content-Type", "application/json")
			data, err := json.Marshal(l)
			if err != nil {
				panic(err) // it holds nothing that has no form
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(data)))
			w.Write(data)
			http.NewResponseController(w).Flush()
			d.mu.Lock()
			written := d.written
			d.mu.Unlock()
			if written != nil && r.Context().Err() == nil { // the caller is still there
				written(l)
			}
			return
		}
		select {
		case <-news:
		case <-r.Context().Done():
			return
		case <-end.C:
			hold = 0
		}
	}
}
