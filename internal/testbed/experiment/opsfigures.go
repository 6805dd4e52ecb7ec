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

// opsFigures compares the figures with what clients and servers counted, times operators' calls under load with half
// callers about, and the CPU of a placement and of a line; CROFTLOCK_BEFORE names a program to compare that with.
func opsFigures(e *Env, r *Report) error {
	s, err := newSite(e, 200)
	if err != nil {
		return err
	}
	defer s.close()
	var took series
	bad := 0
	var half []net.Conn
	for i := range 200 {
		if c, err := net.Dial("tcp", s.admin); err == nil {
			fmt.Fprint(c, "GET /v1/metrics HT")
			half = append(half, c)
		}
		s.fleet.servers[1].Fault.Store(i%50 < 10)
		s.fleet.servers[2].Busy.Store(i%40 < 20)
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
	close(s.stop)
	s.loads.Wait()
	s.crowd.leave()
	time.Sleep(600 * time.Millisecond)
	_, body, _, err := Call(s.admin, "GET", "/v1/metrics")
	if err != nil {
		return err
	}
	opened := 0
	for _, x := range s.fleet.servers {
		n, _ := x.Opened()
		opened += n
	}
	all := func(kind string) int { return s.fresh.count(kind) + s.crowd.answers.count(kind) }
	const title = "figures against peers"
	r.Head(title, "figure", "told", "counted by peers", "off by")
	worst := 0
	for _, x := range []struct {
		name string
		want int
	}{{"replies." + class + ".success", all("UP")}, {"replies." + class + ".overload", all("BUSY")},
		{"replies." + class + ".error", all("ERR")}, {"dispatches", opened}, {"concurrent", 0}, {"targets", 3}} {
		got := -1
		for _, l := range strings.Split(body, "\n") {
			if v, ok := strings.CutPrefix(l, x.name+"="); ok {
				got, _ = strconv.Atoi(v)
			}
		}
		off := max(got-x.want, x.want-got)
		worst = max(worst, off)
		r.Row(title, x.name, got, x.want, off)
	}
	r.Hold(worst == 0, "largest deviation of a figure", worst)
	r.Hold(bad == 0, "calls late or wrong beside 200 half callers", bad)
	r.Hold(took.quantile(1) < 1000, "longest call under load, ms, at most 1,000", took.quantile(1))
	r.Set("deviation", worst)
	r.Set("call_p99_ms", took.quantile(0.99))
	r.Set("call_max_ms", took.quantile(1))
	return s.costs(r)
}

// costs is the CPU of a placement and of a line, with the figures and, in turn, by the program before them.
func (s *site) costs(r *Report) error {
	const title = "CPU, microseconds"
	programs := []string{s.Croftlock}
	if before := os.Getenv("CROFTLOCK_BEFORE"); before != "" {
		programs = append(programs, before)
	}
	r.Head(title, "program", "a placement", "a line there and back")
	placing, passing := make([]series, len(programs)), make([]series, len(programs))
	for range 5 {
		for i, program := range programs {
			with := s.setup
			with.Listen, with.Tmp, with.Program = "", "", program
			p, err := s.Proxy(with)
			if err != nil {
				return err
			}
			const n = 400
			began := p.CPU()
			for range n {
				c, _, err := fake.Open(p.Addr, class, "", opsWait)
				if err != nil || c == nil {
					return fmt.Errorf("a placement: %v", err)
				}
				c.Close()
			}
			placing[i] = append(placing[i], float64(p.CPU()-began)/1e3/n)
			c, _, err := fake.Open(p.Addr, class, "", opsWait)
			if err != nil || c == nil {
				return fmt.Errorf("a connection: %v", err)
			}
			began = p.CPU()
			for range 5 * n {
				if _, _, err := c.Ask("x", opsWait); err != nil {
					return err
				}
			}
			passing[i] = append(passing[i], float64(p.CPU()-began)/1e3/(5*n))
			c.Close()
			p.Kill()
		}
	}
	for i, name := range []string{"this one", "before"}[:len(programs)] {
		r.Row(title, name, placing[i], passing[i])
	}
	return nil
}
