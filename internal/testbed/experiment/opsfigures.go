package experiment

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"croftlock/internal/testbed/fake"
)

// opsFigures compares the metrics with what clients and servers counted, times operators' calls under load with half
// callers about, and the CPU of a placement and of a line; CROFTLOCK_BEFORE names a program to compare that with.
func opsFigures(e *Env, r *Report) error {
	s, err := newProxySite(e, 200)
	if err != nil {
		return err
	}
	defer s.close()
	took, bad := s.callUnderLoad()
	close(s.stop)
	s.load.Wait()
	s.standing.end()
	time.Sleep(600 * time.Millisecond)
	_, body, _, err := Call(s.admin, "GET", "/v1/metrics")
	if err != nil {
		return err
	}
	worst := s.compareMetrics(r, parseMetrics(body))
	r.Check(worst == 0, "largest deviation of a figure", worst)
	r.Check(bad == 0, "calls late or wrong beside 200 half callers", bad)
	r.Check(took.quantile(1) < 1000, "longest call under load, ms, at most 1,000", took.quantile(1))
	r.Set("deviation", worst)
	r.Set("call_p99_ms", took.quantile(0.99))
	r.Set("call_max_ms", took.quantile(1))
	return s.reportCosts(r)
}

// callUnderLoad asks for the metrics 200 times while callers that never finish their request add up and servers fail and are busy in
// turn. It gives the milliseconds of each call, and how many were answered wrongly.
func (s *proxySite) callUnderLoad() (took samples, bad int) {
	var half []net.Conn
	for i := range 200 {
		if c, err := net.Dial("tcp", s.admin); err == nil {
			fmt.Fprint(c, "GET /v1/metrics HT")
			half = append(half, c)
		}
		s.upstreams.servers[1].Failing.Store(i%50 < 10)
		s.upstreams.servers[2].Busy.Store(i%40 < 20)
		status, _, t, err := Call(s.admin, "GET", "/v1/metrics")
		if err != nil || status != 200 {
			bad++
		}
		took = append(took, t.Seconds()*1e3)
		time.Sleep(40 * time.Millisecond)
	}
	for _, c := range half {
		c.Close()
	}
	return took, bad
}

// parseMetrics reads name=number lines; others are left out.
func parseMetrics(body string) map[string]int {
	metrics := map[string]int{}
	for _, line := range strings.Split(body, "\n") {
		if name, value, ok := strings.Cut(line, "="); ok {
			metrics[name], _ = strconv.Atoi(value)
		}
	}
	return metrics
}

// compareMetrics holds the metrics against what the peers counted, and gives the largest deviation.
func (s *proxySite) compareMetrics(r *Report, metrics map[string]int) (worst int) {
	opened := 0
	for _, server := range s.upstreams.servers {
		n, _ := server.Requests()
		opened += n
	}
	all := func(kind string) int { return s.fresh.count(kind) + s.standing.answers.count(kind) }
	const title = "figures against peers"
	r.Columns(title, "figure", "told", "counted by peers", "off by")
	for _, x := range []struct {
		name    string
		counted int
	}{{"replies." + requestClass + ".success", all("UP")}, {"replies." + requestClass + ".overload", all("BUSY")},
		{"replies." + requestClass + ".error", all("ERR")}, {"dispatches", opened}, {"concurrent", 0}, {"targets", 3}} {
		got, named := metrics[x.name]
		if !named {
			got = -1
		}
		off := max(got-x.counted, x.counted-got)
		worst = max(worst, off)
		r.Row(title, x.name, got, x.counted, off)
	}
	return worst
}

// reportCosts is the CPU of a placement and of a line there and back, by the program and, in turn, by the one before it.
func (s *proxySite) reportCosts(r *Report) error {
	const title, rounds = "CPU, microseconds", 5
	programs := []string{s.Croftlock}
	if before := os.Getenv("CROFTLOCK_BEFORE"); before != "" {
		programs = append(programs, before)
	}
	r.Columns(title, "program", "a placement", "a line there and back")
	placing, passing := make([]samples, len(programs)), make([]samples, len(programs))
	for range rounds {
		for i, program := range programs {
			placement, line, err := s.costs(program)
			if err != nil {
				return err
			}
			placing[i], passing[i] = append(placing[i], placement), append(passing[i], line)
		}
	}
	for i, name := range []string{"this one", "before"}[:len(programs)] {
		r.Row(title, name, placing[i], passing[i])
	}
	return nil
}

// costs measures a program: the microseconds of CPU of a placement, and of a line there and back.
func (s *proxySite) costs(program string) (placement, line float64, err error) {
	const placements, lines = 400, 2000
	with := s.setup
	with.Listen, with.Tmp, with.Program = "", "", program
	p, err := s.Proxy(with)
	if err != nil {
		return 0, 0, err
	}
	defer p.Kill()
	before := p.CPU()
	for range placements {
		c, _, err := fake.Open(p.Addr, requestClass, "", opsTimeout)
		if err != nil || c == nil {
			return 0, 0, fmt.Errorf("a placement: %v", err)
		}
		c.Close()
	}
	placement = float64(p.CPU()-before) / 1e3 / placements
	c, _, err := fake.Open(p.Addr, requestClass, "", opsTimeout)
	if err != nil || c == nil {
		return 0, 0, fmt.Errorf("a connection: %v", err)
	}
	defer c.Close()
	before = p.CPU()
	for range lines {
		if _, _, err := c.Exchange("x", opsTimeout); err != nil {
			return 0, 0, err
		}
	}
	return placement, float64(p.CPU()-before) / 1e3 / lines, nil
}
