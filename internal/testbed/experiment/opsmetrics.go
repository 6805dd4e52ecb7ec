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

// opsMetrics compares the metrics with the counts of clients and hosts. It also measures operators' calls
// under load while other callers never finish their requests, and the CPU time of a placement and of a
// line. If CROFTLOCK_BEFORE is set, it is the path of a program whose CPU time is measured as well.
func opsMetrics(e *Env, r *Report) error {
	s, err := newProxySite(e, 200)
	if err != nil {
		return err
	}
	defer s.close()
	took, failed := s.callUnderLoad()
	close(s.stop)
	s.load.Wait()
	s.persistent.stop()
	time.Sleep(600 * time.Millisecond)
	_, body, _, err := CallAdmin(s.admin, "GET", "/v1/metrics")
	if err != nil {
		return err
	}
	deviation := s.compareMetrics(r, parseMetrics(body))
	r.Check(deviation == 0, "largest deviation of a metric", deviation)
	r.Check(failed == 0, "calls that failed beside 200 callers with unfinished requests", failed)
	r.Check(took.quantile(1) < 1000, "longest call under load, ms, at most 1,000", took.quantile(1))
	r.AddValue("deviation", deviation)
	r.AddValue("call_p99_ms", took.quantile(0.99))
	r.AddValue("call_max_ms", took.quantile(1))
	return s.reportCosts(r)
}

// callUnderLoad reads the metrics 200 times. Each time one more caller that never finishes its request
// connects, and two of the hosts fail or reject requests part of the time. It returns the milliseconds
// of each call and the number of failed calls.
func (s *proxySite) callUnderLoad() (took samples, failed int) {
	var unfinished []net.Conn
	for i := range 200 {
		if c, err := net.Dial("tcp", s.admin); err == nil {
			fmt.Fprint(c, "GET /v1/metrics HT")
			unfinished = append(unfinished, c)
		}
		s.upstreams.servers[1].Failing.Store(i%50 < 10)
		s.upstreams.servers[2].Busy.Store(i%40 < 20)
		status, _, t, err := CallAdmin(s.admin, "GET", "/v1/metrics")
		if err != nil || status != 200 {
			failed++
		}
		took = append(took, t.Seconds()*1e3)
		time.Sleep(40 * time.Millisecond)
	}
	for _, c := range unfinished {
		c.Close()
	}
	return took, failed
}

// parseMetrics parses lines of the form name=number and ignores lines without an equals sign.
func parseMetrics(body string) map[string]int {
	metrics := map[string]int{}
	for _, line := range strings.Split(body, "\n") {
		if name, value, ok := strings.Cut(line, "="); ok {
			metrics[name], _ = strconv.Atoi(value)
		}
	}
	return metrics
}

// compareMetrics compares the metrics with the counts of clients and hosts, and returns the largest
// difference. A missing metric counts as -1.
func (s *proxySite) compareMetrics(r *Report, metrics map[string]int) (deviation int) {
	requests := 0
	for _, server := range s.upstreams.servers {
		n, _ := server.Requests()
		requests += n
	}
	answers := func(kind string) int { return s.shortLived.count(kind) + s.persistent.answers.count(kind) }
	const title = "metrics against the counts of clients and hosts"
	r.StartTable(title, "metric", "value", "counted", "deviation")
	for _, expected := range []struct {
		name    string
		counted int
	}{{"replies." + requestClass + ".success", answers("UP")}, {"replies." + requestClass + ".overload", answers("BUSY")},
		{"replies." + requestClass + ".error", answers("ERR")}, {"dispatches", requests}, {"concurrent", 0}, {"targets", 3}} {
		value, found := metrics[expected.name]
		if !found {
			value = -1
		}
		difference := max(value-expected.counted, expected.counted-value)
		deviation = max(deviation, difference)
		r.AddRow(title, expected.name, value, expected.counted, difference)
	}
	return deviation
}

// reportCosts reports the CPU time of a placement, and of a line and its answer. It alternates between
// the program and the one named by CROFTLOCK_BEFORE, if any.
func (s *proxySite) reportCosts(r *Report) error {
	const title, rounds = "CPU, microseconds", 5
	programs := []string{s.Croftlock}
	if before := os.Getenv("CROFTLOCK_BEFORE"); before != "" {
		programs = append(programs, before)
	}
	r.StartTable(title, "program", "a placement", "a line and its answer")
	placementCPU, lineCPU := make([]samples, len(programs)), make([]samples, len(programs))
	for range rounds {
		for i, program := range programs {
			placement, line, err := s.measureCPU(program)
			if err != nil {
				return err
			}
			placementCPU[i], lineCPU[i] = append(placementCPU[i], placement), append(lineCPU[i], line)
		}
	}
	for i, name := range []string{"this one", "before"}[:len(programs)] {
		r.AddRow(title, name, placementCPU[i], lineCPU[i])
	}
	return nil
}

// measureCPU returns the CPU time of a program in microseconds, for a placement, and for a line and its
// answer.
func (s *proxySite) measureCPU(program string) (placement, line float64, err error) {
	const placements, lines = 400, 2000
	setup := s.setup
	setup.Listen, setup.TmpDir, setup.Program = "", "", program
	p, err := s.Proxy(setup)
	if err != nil {
		return 0, 0, err
	}
	defer p.Kill()
	before := p.CPUTime()
	for range placements {
		c, _, err := fake.Open(p.Addr, requestClass, "", opsTimeout)
		if err != nil || c == nil {
			return 0, 0, fmt.Errorf("placement without a connection: %v", err)
		}
		c.Close()
	}
	placement = float64(p.CPUTime()-before) / 1e3 / placements
	c, _, err := fake.Open(p.Addr, requestClass, "", opsTimeout)
	if err != nil || c == nil {
		return 0, 0, fmt.Errorf("no connection for the lines: %v", err)
	}
	defer c.Close()
	before = p.CPUTime()
	for range lines {
		if _, _, err := c.Exchange("x", opsTimeout); err != nil {
			return 0, 0, err
		}
	}
	return placement, float64(p.CPUTime()-before) / 1e3 / lines, nil
}
