package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a catalogue server in a list of discovery.
type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// list is an answer of discovery: the whole list, or changes.
type list struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

// discovery answers GET /discovery/hosts, whole lists and watches, as the protocol page says.
type discovery struct {
	addr string

	mu      sync.Mutex
	rev     int64
	entries []entry
	changed map[string]int64 // revision of the last change, by uid
	next    chan struct{}    // closed at the next change
	rec     *record
}

// newDiscovery starts discovery with the entries on a free loopback port.
func newDiscovery(rec *record, entries []entry) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: l.Addr().String(), rev: 41, entries: entries, changed: map[string]int64{}, next: make(chan struct{}), rec: rec}
	go http.Serve(l, d)
	return d, nil
}

// since returns the changes after a revision, or the whole list if it is negative. mu must be held.
func (d *discovery) since(rev int64) list {
	l := list{Rev: d.rev, All: rev < 0, Targets: []entry{}}
	for _, e := range d.entries {
		if l.All && e.State != "removed" || !l.All && d.changed[e.UID] > rev {
			l.Targets = append(l.Targets, e)
		}
	}
	return l
}

// whole returns the whole list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(-1)
}

// ServeHTTP answers one call.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	q := r.URL.Query()
	from, hold := int64(-1), 0
	if q.Has("from") {
		from, _ = strconv.ParseInt(q.Get("from"), 10, 64)
		hold, _ = strconv.Atoi(q.Get("hold_ms"))
	}
	end := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for waiting := hold > 0 && from >= 0; ; {
		d.mu.Lock()
		l, next := d.since(from), d.next
		d.mu.Unlock()
		if from < 0 || l.Rev > from || !waiting {
			data, _ := json.Marshal(l)
			w.Header().Set("Content-Type", "application/json")
			w.Write(data)
			d.rec.add("discovery wrote rev=%d all=%t targets=%d", l.Rev, l.All, len(l.Targets))
			return
		}
		select {
		case <-next:
		case <-r.Context().Done():
			return
		case <-end:
			waiting = false
		}
	}
}
