package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// roster is discovery's list, with its versions.
type roster struct {
	s       *stage
	mu      sync.Mutex
	rev     int64
	hosts   map[string]*host
	changed map[string]int64 // the version of each entry's last change
	news    chan struct{}    // closed at each change
}

func newRoster(s *stage, rev int64) *roster {
	return &roster{s: s, rev: rev, hosts: map[string]*host{}, changed: map[string]int64{}, news: make(chan struct{})}
}

// set changes an entry, as a new version.
func (r *roster) set(h host) {
	r.mu.Lock()
	r.rev++
	r.hosts[h.UID], r.changed[h.UID] = &h, r.rev
	close(r.news)
	r.news = make(chan struct{})
	rev := r.rev
	r.mu.Unlock()
	r.s.say("roster rev=%d %s %s", rev, h.UID, h.State)
}

// list returns the whole list without removed entries, or what changed after version from.
func (r *roster) list(from int64, all bool) map[string]any {
	targets := []host{}
	for uid, h := range r.hosts {
		if all && h.State != "removed" || !all && r.changed[uid] > from {
			targets = append(targets, *h)
		}
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i].UID < targets[j].UID })
	return map[string]any{"rev": r.rev, "all": all, "targets": targets}
}

// whole returns the whole list as it is now.
func (r *roster) whole() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list(0, true)
}

// discovery serves a roster at one address.
type discovery struct {
	s      *stage
	name   string
	addr   string
	roster *roster

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	delay    time.Duration // before each answer to a call for the whole list
	down     chan struct{} // closed while calls fail; nil otherwise
}

func newDiscovery(s *stage, name string, r *roster) *discovery {
	d := &discovery{s: s, name: name, addr: s.freeAddr(), roster: r}
	s.onEnd(d.close)
	return d
}

// open starts to serve at the address.
func (d *discovery) open() {
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		d.s.cannotRun("discovery %s: %v", d.name, err)
	}
	d.mu.Lock()
	d.server, d.listener = &http.Server{Handler: d}, l
	server := d.server
	d.mu.Unlock()
	go server.Serve(l)
	d.s.note("discovery %s at %s", d.name, d.addr)
}

// leave does what the old address does after a new configuration: it takes no new connection and closes the open ones 1.5 s later.
func (d *discovery) leave() {
	d.mu.Lock()
	l := d.listener
	d.mu.Unlock()
	l.Close()
	d.s.say("discovery %s takes no new connection", d.name)
	time.AfterFunc(1500*time.Millisecond, d.close)
}

func (d *discovery) close() {
	d.mu.Lock()
	server := d.server
	d.server = nil
	d.mu.Unlock()
	if server != nil {
		server.Close()
		d.s.say("discovery %s closed", d.name)
	}
}

// setDown makes all calls fail with 503 from now on, or ends that.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if down && d.down == nil {
		d.down = make(chan struct{})
		close(d.down)
	}
	if !down {
		d.down = nil
	}
	d.s.note("discovery %s down=%t", d.name, down)
}

func (d *discovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

func (d *discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down != nil
}

// ServeHTTP answers a call for the whole list or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method != "GET" || q.URL.Path != "/discovery/hosts" {
		http.NotFound(w, q)
		return
	}
	if d.isDown() {
		d.s.note("discovery %s 503 to %s for %s", d.name, q.RemoteAddr, q.URL.RawQuery)
		w.WriteHeader(503)
		return
	}
	from, isWatch := int64(0), q.URL.Query().Has("from")
	if isWatch {
		from, _ = strconv.ParseInt(q.URL.Query().Get("from"), 10, 64)
		hold, _ := strconv.ParseInt(q.URL.Query().Get("hold_ms"), 10, 64)
		d.hold(from, time.Duration(min(hold, 60000))*time.Millisecond)
	} else {
		d.mu.Lock()
		delay := d.delay
		d.mu.Unlock()
		time.Sleep(delay)
	}
	if d.isDown() {
		d.s.note("discovery %s 503 to %s for %s", d.name, q.RemoteAddr, q.URL.RawQuery)
		w.WriteHeader(503)
		return
	}
	d.roster.mu.Lock()
	list := d.roster.list(from, !isWatch)
	d.roster.mu.Unlock()
	body, _ := json.Marshal(list)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body)
	if err == nil && (!isWatch || len(list["targets"].([]host)) > 0) {
		d.s.note("discovery %s answered %s, %q: rev=%v all=%v targets=%d", d.name, q.RemoteAddr, q.URL.RawQuery, list["rev"], list["all"], len(list["targets"].([]host)))
	}
}

// hold waits until there is something newer than a version, or the time is over, or discovery is down.
func (d *discovery) hold(from int64, wait time.Duration) {
	deadline := time.After(wait)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		d.roster.mu.Lock()
		rev, news := d.roster.rev, d.roster.news
		d.roster.mu.Unlock()
		if rev > from {
			return
		}
		select {
		case <-news:
		case <-deadline:
			return
		case <-tick.C:
			if d.isDown() {
				return
			}
		}
	}
}
