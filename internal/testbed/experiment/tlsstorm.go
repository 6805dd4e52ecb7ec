package experiment

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

const (
	calmClients, stormClients = 300, 500
	stormWait                 = 4 * time.Second
	hostRate                  = 200 // full handshakes a second with one host
	stormBurst                = 50 * time.Millisecond
	placedWithin              = 8 * time.Second
)

// tlsStorm: 500 clients of one server are sent away at once, while 300 others stand on two servers, all through one proxy
// on one core. No session is resumed: each of the 500 needs a full handshake. They come again after 50 to 1,700 ms, as the
// operators say that clients do. Beside it, without bounds: all in one moment, resumed, and the same without any TLS,
// which shows what the wave costs by itself.
func tlsStorm(e *Env, r *Report) error {
	soon := [2]time.Duration{50 * time.Millisecond, 1700 * time.Millisecond}
	for _, v := range []struct {
		name, more string
		away       [2]time.Duration
		held       bool
	}{
		{"full", "", soon, true},
		{"full, in one moment", "", [2]time.Duration{}, false},
		{"resumed", "(reuse on)", soon, false},
		{"plain TCP", "plain", soon, false},
		{"plain TCP, in one moment", "plain", [2]time.Duration{}, false},
	} {
		if err := storm(e, r, v.name, v.more, v.away, v.held); err != nil {
			return fmt.Errorf("%s: %w", v.name, err)
		}
	}
	return nil
}

func storm(e *Env, r *Report, name, more string, away [2]time.Duration, held bool) error {
	f, err := newFleet(e, 3, more != "plain")
	if err != nil {
		return err
	}
	defer f.close()
	if more != "plain" && !strings.Contains(more, "reuse") {
		more += " (reuse off)"
	}
	handshakes := fmt.Sprintf("(cpu 35%%) (rate 600) (host-rate %d) (burst %dms)", hostRate, stormBurst.Milliseconds())
	settings, err := f.settings("(handshakes "+handshakes+")", more)
	if err != nil {
		return err
	}
	if strings.HasPrefix(more, "plain") {
		settings = ""
	}
	p, err := e.Proxy(Setup{Name: "storm", Discovery: f.discovery.Addr(), Known: f.discovery.List(), Settings: settings,
		Connect: 3500 * time.Millisecond, Deadline: stormWait})
	if err != nil {
		return err
	}
	defer p.Kill()
	alone := p.apart()
	calm := &crowd{answers: newTally(), every: 250 * time.Millisecond}
	gone := &crowd{answers: newTally(), every: 2 * time.Second, listen: true, away: away}
	defer calm.leave()
	defer gone.leave()
	e.Say("%s: %d clients settle on two servers, %d on the third", name, calmClients, stormClients)
	for _, x := range []struct {
		c     *crowd
		n     int
		extra string
	}{{calm, calmClients / 2, "at=s2"}, {calm, calmClients / 2, "at=s3"}, {gone, stormClients, "at=s1"}} {
		if err := x.c.join(p.Addr, x.n, x.extra, 20*time.Second); err != nil {
			return fmt.Errorf("before the storm: %v", err)
		}
	}
	gone.answers.reset()
	time.Sleep(2 * time.Second)
	calmFrom := time.Now()
	time.Sleep(5 * time.Second)
	calmTo := time.Now()
	shakes := map[string]int{}
	for _, s := range f.servers {
		shakes[s.UID] = len(s.Handshakes())
	}
	cpu := p.CPU()
	e.Say("server s1 drains")
	f.discovery.State("s1", "draining")
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	f.servers[0].Drain()
	taken := len(p.Log("event=tls_files_taken"))
	if held {
		// In the midst of it the bundle grows and the proxy's certificate is replaced.
		time.Sleep(300 * time.Millisecond)
		if _, err := fake.SaveTrust(f.dir, f.pki.Trusted, f.pki.Other); err != nil {
			return err
		}
		if _, err := f.pki.Trusted.SaveClient(f.dir, certs.Spec{Name: "proxy"}); err != nil {
			return err
		}
	}
	placed := time.Duration(0)
	for placed == 0 && time.Since(began) < 2*placedWithin {
		time.Sleep(10 * time.Millisecond)
		if f.servers[1].Standing()+f.servers[2].Standing() >= calmClients+stormClients {
			placed = time.Since(began)
		}
	}
	stormTo := time.Now()
	cpu = p.CPU() - cpu
	time.Sleep(time.Second)

	calmLines, stormLines := calm.between(calmFrom, calmTo), calm.between(began, stormTo)
	const lines = "lines of the 300 that stand, milliseconds there and back"
	r.Head(lines, "handshakes", "when", "lines", "p50", "p90", "p99", "most")
	r.Row(lines, name, "calm", len(calmLines), calmLines.median(), calmLines.quantile(0.9), calmLines.quantile(0.99), calmLines.quantile(1))
	r.Row(lines, name, "storm", len(stormLines), stormLines.median(), stormLines.quantile(0.9), stormLines.quantile(0.99), stormLines.quantile(1))
	const title = "handshakes in the storm"
	r.Head(title, "handshakes", "server", "full", "resumed", "most counted in a second", "budget")
	within := true
	for _, s := range f.servers[1:] {
		list := s.Handshakes()[shakes[s.UID]:]
		full := 0
		for _, h := range list {
			if !h.Resumed {
				full++
			}
		}
		most := inASecond(list)
		budget := float64(hostRate) * (1 + stormBurst.Seconds())
		within = within && most <= budget+1
		r.Row(title, name, s.UID, full, len(list)-full, most, budget)
	}
	a := gone.answers
	const answers = "answers to the 500"
	r.Head(answers, "handshakes", "UP", "BUSY", "ERR", "NONE", "late", "p50 ms", "p99", "all placed after", "proxy CPU s")
	r.Row(answers, name, a.count("UP"), a.count("BUSY"), a.count("ERR"), a.count("NONE"), a.late, a.took.median(), a.took.quantile(0.99), placed, cpu.Seconds())
	lost := append(append([]string{}, calm.lost...), gone.lost...)
	_, twice := f.servers[1].Opened()
	_, twice2 := f.servers[2].Opened()
	up, none, late := a.count("UP"), a.count("NONE"), a.late
	calm.stop.Store(true)
	gone.stop.Store(true)
	ended := p.Stop()
	if !held {
		return nil
	}
	if !alone {
		r.Remarks = append(r.Remarks, "fewer than three cores: the stand-ins share the proxy's, and its delays include theirs")
	}
	r.Hold(placed > 0 && placed <= placedWithin, "all 500 are placed within "+placedWithin.String(), placed)
	r.Hold(up >= stormClients && none == 0 && late == 0, "every request has its answer in time", fmt.Sprintf("%d served, %d without, %d late", up, none, late))
	r.Hold(len(lost) == 0 && gone.moved >= stormClients, "no connection lost, each of the 500 moved", fmt.Sprintf("%d lost, %d moves %s", len(lost), gone.moved, strings.Join(lost[:min(3, len(lost))], "; ")))
	r.Hold(len(p.Log("event=tls_files_taken")) > taken, "trust and certificate replaced in the midst of it", len(p.Log("event=tls_files_taken"))-taken)
	r.Hold(twice+twice2 == 0, "no request ran twice", twice+twice2)
	r.Hold(within, "no host got more handshakes than its budget", within)
	r.Hold(stormLines.quantile(0.99) <= 2*calmLines.quantile(0.99), "p99 of standing lines within twice the calm one",
		fmt.Sprintf("%.2f ms, calm %.2f ms", stormLines.quantile(0.99), calmLines.quantile(0.99)))
	r.Hold(ended == nil, "the proxy ended in order", fmt.Sprint(ended))
	r.Set("placed_s", placed.Seconds())
	r.Set("calm_p99_ms", calmLines.quantile(0.99))
	r.Set("storm_p99_ms", stormLines.quantile(0.99))
	r.Set("proxy_cpu_s", cpu.Seconds())
	r.Set("memory_mb", float64(p.peak)/(1<<20))
	return nil
}

// inASecond is the most handshakes that any second held, a resumed one counted as half, as the budget does.
func inASecond(list []fake.Shake) float64 {
	sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
	weight := func(h fake.Shake) float64 {
		if h.Resumed {
			return 0.5
		}
		return 1
	}
	most, sum, from := 0.0, 0.0, 0
	for _, h := range list {
		sum += weight(h)
		for h.At.Sub(list[from].At) > time.Second {
			sum -= weight(list[from])
			from++
		}
		most = max(most, sum)
	}
	return most
}
