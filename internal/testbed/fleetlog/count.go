package fleetlog

import (
	"sort"
	"strconv"
	"time"
)

// Window is what all proxies did in one stretch of time.
type Window struct {
	From                                  time.Duration // since the first event
	Asked, Returned, Sent, Stood, Refused int
	Bad                                   map[string]int // attempts that did not stand, by outcome
	Lost                                  int            // standing connections that broke
	Open, Places                          int            // at its end; places are pairs of server and group
	Started, DiscoveryFailed, Listed      int
}

// Host is what all proxies together did with one server.
type Host struct {
	Name, Zone string
	Weight     float64
	Since      time.Time // its latest start; zero: long ago
	Sent       int
	ColdSent   int // within the warm-up that the caller states
	ColdPeak   int // most of those in any window
	Open       int
	SlowestMS  float64
}

// Fleet is the whole count.
type Fleet struct {
	Began   time.Time
	Windows []*Window
	Hosts   []*Host
	Asked   int
	Sent    int
}

// Count goes through a log in windows of the given length. A server is cold for warm after its start, and its peak is
// taken over fall.
func Count(l *Log, window, warm, fall time.Duration) *Fleet {
	f := &Fleet{Began: l.Events[0].At}
	hosts, cold := map[string]*Host{}, map[string][]time.Time{}
	host := func(name string) *Host {
		h := hosts[name]
		if h == nil {
			h = &Host{Name: name}
			hosts[name] = h
		}
		return h
	}
	type open struct{ host, group string }
	standing, group := map[string]map[string]open{}, map[string]string{}
	places := func() (n, p int) {
		seen := map[open]bool{}
		for _, of := range standing {
			for _, o := range of {
				n++
				seen[o] = true
			}
		}
		return n, len(seen)
	}
	var w *Window
	for _, e := range l.Events {
		passed := e.At.Sub(f.Began)
		for w == nil || passed >= w.From+window {
			from := time.Duration(0)
			if w != nil {
				from = w.From + window
				w.Open, w.Places = places()
			}
			w = &Window{From: from, Bad: map[string]int{}}
			f.Windows = append(f.Windows, w)
		}
		request, v := e.Field["request"], e.Field
		switch e.Name {
		case "ready":
			w.Started++
			standing[e.Proxy] = map[string]open{} // a new process holds nothing
		case "request_received":
			w.Asked++
			f.Asked++
			group[request] = v["group"]
			if v["returned"] == "true" || v["repeat"] == "true" {
				w.Returned++
			}
		case "attempt_started":
			if _, placed := group[request]; !placed {
				continue // back to the server that held it before the start: nobody chose that
			}
			w.Sent++
			f.Sent++
			h := host(v["host"])
			h.Sent++
			if !h.Since.IsZero() && e.At.Sub(h.Since) < warm {
				h.ColdSent++
				cold[h.Name] = append(cold[h.Name], e.At)
			}
		case "request_established":
			w.Stood++
			if standing[e.Proxy] == nil {
				standing[e.Proxy] = map[string]open{}
			}
			standing[e.Proxy][request] = open{v["host"], group[request]}
		case "attempt_ended":
			delete(standing[e.Proxy], request)
			if v["up"] != "true" {
				w.Bad[v["status"]]++
			} else if v["status"] == "reset" {
				w.Lost++
			}
		case "request_rejected":
			w.Refused++
		case "discovery_failed":
			w.DiscoveryFailed++
		case "host_updated":
			w.Listed++
			h := host(v["host"])
			h.Zone = v["zone"]
			h.Weight, _ = strconv.ParseFloat(v["weight"], 64)
			if ms, err := strconv.ParseInt(v["since_ms"], 10, 64); err == nil && ms > 0 {
				h.Since = time.UnixMilli(ms).UTC()
			}
		case "load_reported":
			if x, err := strconv.ParseFloat(v["value"], 64); err == nil && v["delay"] == "true" {
				h := host(v["host"])
				h.SlowestMS = max(h.SlowestMS, x)
			}
		}
	}
	w.Open, w.Places = places()
	for _, of := range standing {
		for _, o := range of {
			host(o.host).Open++
		}
	}
	for name, h := range hosts {
		for i, from := range cold[name] {
			n := 0
			for _, x := range cold[name][i:] {
				if x.Sub(from) < fall {
					n++
				}
			}
			h.ColdPeak = max(h.ColdPeak, n)
		}
		f.Hosts = append(f.Hosts, h)
	}
	sort.Slice(f.Hosts, func(i, j int) bool { return f.Hosts[i].Name < f.Hosts[j].Name })
	return f
}
