package fleetlog

import (
	"sort"
	"strconv"
	"time"
)

// Loss is what became of the seconds that clients wanted to be connected, over all proxies, in seconds.
type Loss struct {
	Good float64
	// Standing on a host that made messages wait: one that held more than its share, and one that did not.
	Crowded, Slow float64
	// Not standing: before the answer, after a connection was broken, after a refusal, after being sent away; each until the client came again,
	// AwayMost at most.
	Waiting, Broken, Refused, Moved float64
	// Spread is the most that a host held over the mean, for its weight: the median over the seconds, and the worst.
	Spread, SpreadWorst float64
	Hosts               []HostLoss // those that lost most first
}

// HostLoss is a host's part.
type HostLoss struct {
	Name                   string
	Stood, Crowded, Slow   float64
	Broken, Share, ShareOf float64 // connections that broke; the mean and the most of its load over the fleet's mean
}

// All is every second.
func (l *Loss) All() float64 {
	return l.Good + l.Crowded + l.Slow + l.Waiting + l.Broken + l.Refused + l.Moved
}

const (
	// AwayMost bounds what a client that does not come again is counted for.
	AwayMost = 10 * time.Second
	// newsFor is how long a told delay counts.
	newsFor = 1500 * time.Millisecond
	// crowdedAt is how much over its share a host has to hold for its slowness to be its load's.
	crowdedAt = 1.25
)

// Lose goes through a log second by second. A host is slow while it has been told of late that messages took aim or longer.
func Lose(l *Log, aim time.Duration) *Loss {
	out := &Loss{}
	type state struct {
		is    string // waiting, up, broken, refused, moved; "": done
		host  string
		since time.Time
	}
	at := map[string]*state{}
	hosts, weight, slowTill := map[string]*HostLoss{}, map[string]float64{}, map[string]time.Time{}
	host := func(n string) *HostLoss {
		if hosts[n] == nil {
			hosts[n] = &HostLoss{Name: n}
		}
		return hosts[n]
	}
	be := func(id, is, host string, now time.Time) { at[id] = &state{is, host, now} }
	var spreads []float64
	const step = 250 * time.Millisecond
	sample := func(now time.Time) {
		d := step.Seconds()
		held := map[string]float64{}
		total, all := 0.0, 0.0
		for _, s := range at {
			if s.is == "up" {
				held[s.host]++
				total++
			}
		}
		for n := range hosts {
			all += max(weight[n], 0)
		}
		mean, top := 0.0, 0.0
		if all > 0 {
			mean = total / all
		}
		share := func(n string) float64 {
			if mean == 0 || weight[n] <= 0 {
				return 0
			}
			return held[n] / weight[n] / mean
		}
		for n, h := range hosts {
			x := share(n)
			h.Share += x
			h.ShareOf = max(h.ShareOf, x)
			top = max(top, x)
		}
		if total > 20 {
			spreads = append(spreads, top)
		}
		for id, s := range at {
			if s.is != "up" && now.Sub(s.since) > AwayMost {
				delete(at, id)
				continue
			}
			switch s.is {
			case "waiting":
				out.Waiting += d
			case "broken":
				out.Broken += d
			case "refused":
				out.Refused += d
			case "moved":
				out.Moved += d
			case "up":
				h := host(s.host)
				h.Stood += d
				switch {
				case !now.Before(slowTill[s.host]):
					out.Good += d
				case share(s.host) > crowdedAt:
					out.Crowded += d
					h.Crowded += d
				default:
					out.Slow += d
					h.Slow += d
				}
			}
		}
	}
	next := l.Events[0].At.Add(step)
	for _, e := range l.Events {
		for ; e.At.After(next); next = next.Add(step) {
			sample(next)
		}
		id, v := e.Field["request"], e.Field
		switch e.Name {
		case "host_updated":
			host(v["host"])
			if w, err := strconv.ParseFloat(v["weight"], 64); err == nil && v["state"] == "0" {
				weight[v["host"]] = w
			} else {
				weight[v["host"]] = 0 // it takes nothing new, and what it held is to go elsewhere
			}
		case "request_received":
			be(id, "waiting", "", e.At)
		case "request_established":
			host(v["host"])
			be(id, "up", v["host"], e.At)
		case "request_rejected":
			be(id, "refused", "", e.At)
		case "attempt_ended":
			if v["up"] != "true" {
				continue
			}
			switch v["status"] {
			case "ok":
				delete(at, id)
			case "reset":
				host(v["host"]).Broken++
				be(id, "broken", "", e.At)
			default:
				be(id, "moved", "", e.At)
			}
		case "load_reported":
			if x, err := strconv.ParseFloat(v["value"], 64); err == nil && v["delay"] == "true" && x >= float64(aim.Milliseconds()) {
				slowTill[v["host"]] = e.At.Add(newsFor)
			}
		}
	}
	n := max(1, l.Events[len(l.Events)-1].At.Sub(l.Events[0].At)/step)
	for _, h := range hosts {
		h.Share /= float64(n)
		out.Hosts = append(out.Hosts, *h)
	}
	sort.Slice(out.Hosts, func(i, j int) bool {
		a, b := out.Hosts[i], out.Hosts[j]
		if x, y := a.Crowded+a.Slow, b.Crowded+b.Slow; x != y {
			return x > y
		}
		return a.Name < b.Name
	})
	if len(spreads) > 0 {
		sort.Float64s(spreads)
		out.Spread, out.SpreadWorst = spreads[len(spreads)/2], spreads[len(spreads)-1]
	}
	return out
}
