package experiment

import (
	"fmt"
	"sort"
	"time"

	"croftlock/internal/testbed/fake"
)

// count reads the counts of clients and servers. It must be called before the proxy shuts down,
// which adds to them.
func (s *storm) count(result *stormResult) {
	migrated := s.migrating.answers
	result.served, result.unanswered, result.late = migrated.count("UP"), migrated.count("NONE"), migrated.late
	result.lost = append(append([]string{}, s.staying.lost...), s.migrating.lost...)
	for _, server := range s.upstreams.servers[1:] {
		_, twice := server.Requests()
		result.repeatedRequests += twice
	}
	result.withinBudget = true
	for _, server := range s.upstreams.servers[1:] {
		result.withinBudget = result.withinBudget && maxHandshakesPerSecond(result.handshakesDuring(server)) <= handshakeBudget+1
	}
}

// handshakesDuring returns the server's handshakes since the storm began.
func (result *stormResult) handshakesDuring(server *fake.Server) []fake.Handshake {
	return server.Handshakes()[result.handshakesBefore[server.UID]:]
}

// handshakeBudget is the maximum number of full handshakes that one server may get in a second.
var handshakeBudget = float64(hostRate) * (1 + stormBurst.Seconds())

// writeTables adds the rows of this case to the tables.
func (s *storm) writeTables(r *Report, result *stormResult) {
	const lines = "lines of the 300 staying clients, milliseconds to the answer"
	r.StartTable(lines, "handshakes", "when", "lines", "p50", "p90", "p99", "max")
	for _, span := range []struct {
		name  string
		lines samples
	}{{"before", result.latenciesBefore}, {"during the storm", result.latenciesDuring}} {
		r.AddRow(lines, s.name, span.name, len(span.lines), span.lines.median(), span.lines.quantile(0.9), span.lines.quantile(0.99), span.lines.quantile(1))
	}
	const title = "handshakes in the storm"
	r.StartTable(title, "handshakes", "server", "full", "resumed", "max counted in a second", "budget")
	for _, server := range s.upstreams.servers[1:] {
		list := result.handshakesDuring(server)
		full := 0
		for _, h := range list {
			if !h.Resumed {
				full++
			}
		}
		r.AddRow(title, s.name, server.UID, full, len(list)-full, maxHandshakesPerSecond(list), handshakeBudget)
	}
	migrated := s.migrating.answers
	const answers = "answers to the 500 migrated clients"
	r.StartTable(answers, "handshakes", "UP", "BUSY", "ERR", "NONE", "late", "p50 ms", "p99", "all reconnected after", "proxy CPU s")
	r.AddRow(answers, s.name, migrated.count("UP"), migrated.count("BUSY"), migrated.count("ERR"), migrated.count("NONE"), migrated.late,
		migrated.milliseconds.median(), migrated.milliseconds.quantile(0.99), result.reconnectedAfter, result.cpu.Seconds())
}

// checkBounds checks the bounds and adds the values. ended is the error with which the proxy shut
// down, or nil.
func (s *storm) checkBounds(r *Report, result *stormResult, ended error) {
	if !s.ownCore {
		r.Remarks = append(r.Remarks, "fewer than three cores: the stand-ins run on the proxy's core, and its delays include theirs")
	}
	filesTaken := len(s.proxy.LogLines("event=tls_files_taken"))
	p99Before, p99During := result.latenciesBefore.quantile(0.99), result.latenciesDuring.quantile(0.99)
	r.Check(result.reconnectedAfter > 0 && result.reconnectedAfter <= reconnectLimit, "all 500 are connected again within "+reconnectLimit.String(), result.reconnectedAfter)
	r.Check(result.served >= migratingClients && result.unanswered == 0 && result.late == 0, "every request has its answer in time",
		fmt.Sprintf("%d served, %d without, %d late", result.served, result.unanswered, result.late))
	r.Check(len(result.lost) == 0 && s.migrating.migrations >= migratingClients, "no connection lost, each of the 500 migrated",
		fmt.Sprintf("%d lost, %d migrations %s", len(result.lost), s.migrating.migrations, firstLosses(result.lost)))
	r.Check(filesTaken > result.reloadsBefore, "trust and certificate replaced during the storm", filesTaken-result.reloadsBefore)
	r.Check(result.repeatedRequests == 0, "no request ran twice", result.repeatedRequests)
	r.Check(result.withinBudget, "no server got more handshakes than its budget", result.withinBudget)
	r.Check(p99During <= 2*p99Before, "p99 of the staying clients' lines within twice that before", fmt.Sprintf("%.2f ms, before %.2f ms", p99During, p99Before))
	r.Check(ended == nil, "the proxy shut down without an error", fmt.Sprint(ended))
	r.AddValue("reconnected_s", result.reconnectedAfter.Seconds())
	r.AddValue("before_p99_ms", p99Before)
	r.AddValue("storm_p99_ms", p99During)
	r.AddValue("proxy_cpu_s", result.cpu.Seconds())
	r.AddValue("memory_mb", float64(s.proxy.peakMemory)/(1<<20))
}

// maxHandshakesPerSecond returns the largest number of handshakes within any second. As in the
// budget, a resumed handshake counts as half. It sorts list by completion time.
func maxHandshakesPerSecond(list []fake.Handshake) float64 {
	sort.Slice(list, func(i, j int) bool { return list[i].CompletedAt.Before(list[j].CompletedAt) })
	weight := func(h fake.Handshake) float64 {
		if h.Resumed {
			return 0.5
		}
		return 1
	}
	largest, sum, from := 0.0, 0.0, 0
	for _, h := range list {
		sum += weight(h)
		for h.CompletedAt.Sub(list[from].CompletedAt) > time.Second {
			sum -= weight(list[from])
			from++
		}
		largest = max(largest, sum)
	}
	return largest
}
