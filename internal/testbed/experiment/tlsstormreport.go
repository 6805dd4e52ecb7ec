package experiment

import (
	"fmt"
	"sort"
	"time"

	"croftlock/internal/testbed/fake"
)

// count takes what the crowds and the servers have counted, before the end of the proxy adds to it.
func (s *storm) count(f *stormFigures) {
	a := s.movedAway.answers
	f.served, f.unanswered, f.late = a.count("UP"), a.count("NONE"), a.late
	f.lost = append(append([]string{}, s.staying.lost...), s.movedAway.lost...)
	for _, server := range s.upstreams.servers[1:] {
		_, twice := server.Requests()
		f.ranTwice += twice
	}
	f.withinBudget = true
	for _, server := range s.upstreams.servers[1:] {
		f.withinBudget = f.withinBudget && inASecond(f.since(server)) <= handshakeBudget+1
	}
}

// since are the handshakes of a server since the storm began.
func (f *stormFigures) since(server *fake.Server) []fake.Handshake {
	return server.Handshakes()[f.earlier[server.UID]:]
}

// handshakeBudget is how many full handshakes one host may get in a second.
var handshakeBudget = float64(hostRate) * (1 + stormBurst.Seconds())

// tables writes the rows of this case.
func (s *storm) tables(r *Report, f *stormFigures) {
	const lines = "lines of the 300 that stand, milliseconds there and back"
	r.Columns(lines, "handshakes", "when", "lines", "p50", "p90", "p99", "most")
	for _, span := range []struct {
		name  string
		lines samples
	}{{"calm", f.calm}, {"storm", f.wave}} {
		r.Row(lines, s.name, span.name, len(span.lines), span.lines.median(), span.lines.quantile(0.9), span.lines.quantile(0.99), span.lines.quantile(1))
	}
	const title = "handshakes in the storm"
	r.Columns(title, "handshakes", "server", "full", "resumed", "most counted in a second", "budget")
	for _, server := range s.upstreams.servers[1:] {
		list := f.since(server)
		full := 0
		for _, h := range list {
			if !h.Resumed {
				full++
			}
		}
		r.Row(title, s.name, server.UID, full, len(list)-full, inASecond(list), handshakeBudget)
	}
	a := s.movedAway.answers
	const answers = "answers to the 500"
	r.Columns(answers, "handshakes", "UP", "BUSY", "ERR", "NONE", "late", "p50 ms", "p99", "all placed after", "proxy CPU s")
	r.Row(answers, s.name, a.count("UP"), a.count("BUSY"), a.count("ERR"), a.count("NONE"), a.late,
		a.milliseconds.median(), a.milliseconds.quantile(0.99), f.placed, f.cpu.Seconds())
}

// hold states the bounds; ended is how the proxy ended.
func (s *storm) hold(r *Report, f *stormFigures, ended error) {
	if !s.alone {
		r.Remarks = append(r.Remarks, "fewer than three cores: the stand-ins share the proxy's, and its delays include theirs")
	}
	taken := len(s.proxy.Log("event=tls_files_taken"))
	calmP99, waveP99 := f.calm.quantile(0.99), f.wave.quantile(0.99)
	r.Check(f.placed > 0 && f.placed <= placedWithin, "all 500 are placed within "+placedWithin.String(), f.placed)
	r.Check(f.served >= stormClients && f.unanswered == 0 && f.late == 0, "every request has its answer in time",
		fmt.Sprintf("%d served, %d without, %d late", f.served, f.unanswered, f.late))
	r.Check(len(f.lost) == 0 && s.movedAway.moved >= stormClients, "no connection lost, each of the 500 moved",
		fmt.Sprintf("%d lost, %d moves %s", len(f.lost), s.movedAway.moved, firstLosses(f.lost)))
	r.Check(taken > f.filesTaken, "trust and certificate replaced in the midst of it", taken-f.filesTaken)
	r.Check(f.ranTwice == 0, "no request ran twice", f.ranTwice)
	r.Check(f.withinBudget, "no host got more handshakes than its budget", f.withinBudget)
	r.Check(waveP99 <= 2*calmP99, "p99 of standing lines within twice the calm one", fmt.Sprintf("%.2f ms, calm %.2f ms", waveP99, calmP99))
	r.Check(ended == nil, "the proxy ended in order", fmt.Sprint(ended))
	r.Set("placed_s", f.placed.Seconds())
	r.Set("calm_p99_ms", calmP99)
	r.Set("storm_p99_ms", waveP99)
	r.Set("proxy_cpu_s", f.cpu.Seconds())
	r.Set("memory_mb", float64(s.proxy.peakMemory)/(1<<20))
}

// inASecond is the most handshakes that any second held, a resumed one counted as half, as the budget does.
func inASecond(list []fake.Handshake) float64 {
	sort.Slice(list, func(i, j int) bool { return list[i].CompletedAt.Before(list[j].CompletedAt) })
	weight := func(h fake.Handshake) float64 {
		if h.Resumed {
			return 0.5
		}
		return 1
	}
	most, sum, from := 0.0, 0.0, 0
	for _, h := range list {
		sum += weight(h)
		for h.CompletedAt.Sub(list[from].CompletedAt) > time.Second {
			sum -= weight(list[from])
			from++
		}
		most = max(most, sum)
	}
	return most
}
