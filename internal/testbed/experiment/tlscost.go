package experiment

import (
	"crypto/tls"
	"fmt"
	"os/exec"
	"path/filepath"
	"time"

	"croftlock/internal/testbed/fake"
)

// costVariant is one way of connecting to a server.
type costVariant struct {
	name          string
	secure        bool     // with TLS
	extraSettings []string // additional settings in the tls section
	relay         bool     // through the relay with goroutines instead of the proxy
}

// Indexes of costVariants.
const (
	costPlain = iota
	costFull
	costFullClassic
	costResumed
	costResumedClassic
	costRelayTLS
	costRelayPlain
)

// costVariants lists the variants that tlsCost measures.
var costVariants = []costVariant{
	costPlain:          {name: "plain"},
	costFull:           {name: "full, x25519mlkem768", secure: true, extraSettings: []string{"(reuse off)", "(key-exchange x25519mlkem768)"}},
	costFullClassic:    {name: "full, x25519", secure: true, extraSettings: []string{"(reuse off)", "(key-exchange x25519)"}},
	costResumed:        {name: "resumed, x25519mlkem768", secure: true, extraSettings: []string{"(key-exchange x25519mlkem768)"}},
	costResumedClassic: {name: "resumed, x25519", secure: true, extraSettings: []string{"(key-exchange x25519)"}},
	costRelayTLS:       {name: "tls.Conn and goroutines", secure: true, relay: true},
	costRelayPlain:     {name: "plain, goroutines", relay: true},
}

// costSeries holds the measurements of one variant, one sample per round, in the units of cost.
type costSeries struct{ openCPU, openTime, lineCPU, memoryKiB, descriptors samples }

// add appends the measurements of one round.
func (s *costSeries) add(c cost) {
	s.openCPU = append(s.openCPU, c.openCPU)
	s.openTime = append(s.openTime, c.openTime)
	s.lineCPU = append(s.lineCPU, c.lineCPU)
	s.memoryKiB = append(s.memoryKiB, c.memoryKiB)
	s.descriptors = append(s.descriptors, c.descriptors)
}

// tlsCost measures the cost of TLS to servers: new connections, lines and idle connections.
func tlsCost(e *Env, r *Report) error {
	if err := measureHandshakeTimes(r); err != nil {
		return err
	}
	const rounds = 3
	results := make([]costSeries, len(costVariants))
	for round := range rounds {
		for i, v := range costVariants {
			e.Logf("round %d of %d: %s", round+1, rounds, v.name)
			c, err := v.measure(e)
			if err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
			results[i].add(c)
		}
	}
	reportCosts(r, results)
	return nil
}

// reportCosts adds the table, the bounds and the values to the report. results are indexed like
// costVariants.
func reportCosts(r *Report, results []costSeries) {
	const title = "on the proxy, median (least to most) of three interleaved rounds"
	r.StartTable(title, "variant", "CPU ms to open and close", "ms to UP, median", "CPU us a line and its answer", "KiB an idle connection", "descriptors")
	for i, series := range results {
		r.AddRow(title, costVariants[i].name, series.openCPU, series.openTime, series.lineCPU, series.memoryKiB, series.descriptors)
	}
	plain, full, resumed, relay := results[costPlain], results[costFull], results[costResumed], results[costRelayTLS]
	r.Check(resumed.memoryKiB.median() <= 40, "at most 40 KiB an idle TLS connection", resumed.memoryKiB)
	r.Check(resumed.lineCPU.median() <= relay.lineCPU.median(), "no more CPU a line than a tls.Conn with goroutines",
		fmt.Sprintf("%v against %v us", resumed.lineCPU, relay.lineCPU))
	r.Check(resumed.openCPU.median() < full.openCPU.median(), "a resumed handshake costs less than a full one",
		fmt.Sprintf("%v against %v ms", resumed.openCPU, full.openCPU))
	r.AddValue("open_plain_ms", plain.openCPU.median())
	r.AddValue("open_full_ms", full.openCPU.median())
	r.AddValue("open_resumed_ms", resumed.openCPU.median())
	r.AddValue("line_plain_us", plain.lineCPU.median())
	r.AddValue("line_tls_us", resumed.lineCPU.median())
	r.AddValue("line_goroutines_us", relay.lineCPU.median())
	r.AddValue("idle_kib", resumed.memoryKiB.median())
}

// cost is the cost of one variant.
type cost struct {
	openCPU     float64 // milliseconds of CPU time to open and close a connection
	openTime    float64 // median of the milliseconds until a client is served
	lineCPU     float64 // microseconds of CPU time per line and its answer
	memoryKiB   float64 // KiB per idle connection
	descriptors float64 // file descriptors per idle connection
}

// measure measures the variant with a process of its own.
func (v costVariant) measure(e *Env) (c cost, err error) {
	upstreams, err := newUpstreams(e, 1, v.secure)
	if err != nil {
		return c, err
	}
	defer upstreams.close()
	p, err := v.start(e, upstreams)
	if err != nil {
		return c, err
	}
	defer p.Kill()
	if c.openCPU, c.openTime, err = openingCost(p); err != nil {
		return c, err
	}
	const idle = 300
	time.Sleep(200 * time.Millisecond)
	memory, descriptors := p.Memory(), p.Descriptors()
	var clients []*fake.Client
	defer func() {
		for _, client := range clients {
			client.Close()
		}
	}()
	for range idle {
		client, _, err := openOne(p)
		if err != nil {
			return c, err
		}
		clients = append(clients, client)
	}
	time.Sleep(300 * time.Millisecond)
	c.memoryKiB = float64(p.Memory()-memory) / 1024 / idle
	c.descriptors = float64(p.Descriptors()-descriptors) / idle
	c.lineCPU, err = lineCost(p, clients[:20])
	return c, err
}

// start starts the proxy or the relay with the variant's settings in front of the only server.
func (v costVariant) start(e *Env, u *upstreams) (*Process, error) {
	if v.relay {
		return v.startRelay(e, u)
	}
	settings := ""
	if v.secure {
		var err error
		if settings, err = u.settings(append(v.extraSettings, "(handshakes (cpu 100%) (rate 5000) (host-rate 5000) (burst 1s))")...); err != nil {
			return nil, err
		}
	}
	return e.Proxy(Setup{Name: "cost", Discovery: u.discovery.Addr(), InitialList: u.discovery.List(), Settings: settings})
}

// startRelay starts the relay as a process of its own.
func (v costVariant) startRelay(e *Env, u *upstreams) (*Process, error) {
	args := []string{"relay", "--to", u.servers[0].Addr(), "--name", "s1.lab"}
	if v.secure {
		config := u.config(0)
		config.ClientAuth = tls.NoClientCert // the relay has no certificate
		u.servers[0].SetTLS(config)
		args = append(args, "--trust", filepath.Join(u.dir, "trust.pem"))
	}
	return startCommand(u.dir, exec.Command(e.Self, args...), nil, readyLine)
}

// openOne opens one connection. It returns an error if the request is not served.
func openOne(p *Process) (*fake.Client, fake.Answer, error) {
	c, a, err := fake.Open(p.Addr, requestClass, "", 2*time.Second)
	if c == nil {
		return nil, a, fmt.Errorf("no connection: answer %q, error %v", a.Text, err)
	}
	return c, a, nil
}

// openingCost opens and closes connections one after the other. It returns the milliseconds of CPU
// time per connection, and the median of the milliseconds until a client is served.
func openingCost(p *Process) (cpu, took float64, err error) {
	const warmUp, opens = 50, 400 // the warm-up fills caches, sessions and the runtime's pools
	var times samples
	var before time.Duration
	for i := range warmUp + opens {
		if i == warmUp {
			time.Sleep(100 * time.Millisecond)
			before = p.CPUTime()
		}
		client, a, err := openOne(p)
		if err != nil {
			return 0, 0, err
		}
		client.Close()
		if i >= warmUp {
			times = append(times, float64(a.Latency)/1e6)
		}
	}
	time.Sleep(50 * time.Millisecond)
	return float64(p.CPUTime()-before) / 1e6 / opens, times.median(), nil
}

// lineCost sends lines from all clients in parallel, one at a time per client, and returns the
// microseconds of CPU time per line and its answer.
func lineCost(p *Process, clients []*fake.Client) (float64, error) {
	const lines = 500
	errs := make(chan error, len(clients))
	before := p.CPUTime()
	for _, c := range clients {
		go func() { errs <- sendLines(c, lines) }()
	}
	for range clients {
		if err := <-errs; err != nil {
			return 0, err
		}
	}
	return float64(p.CPUTime()-before) / 1e3 / float64(lines*len(clients)), nil
}

// sendLines sends n lines, one after the other, and waits for the answer to each.
func sendLines(c *fake.Client, n int) error {
	for range n {
		if _, migrated, err := c.Exchange("MSG 0123456789abcdef 0123456789abcdef", 5*time.Second); err != nil || migrated {
			return fmt.Errorf("line: migrated %t, error %v", migrated, err)
		}
	}
	return nil
}
