package experiment

import (
	"crypto/tls"
	"fmt"
	"os/exec"
	"path/filepath"
	"time"

	"croftlock/internal/testbed/fake"
)

// tlsCost measures what TLS to servers costs the proxy: to open a connection, to carry a line, to hold it.
func tlsCost(e *Env, r *Report) error {
	if err := handshakeParts(r); err != nil {
		return err
	}
	const repeats = 3
	type variant struct {
		name   string
		secure bool
		more   []string
		relay  bool
	}
	variants := []variant{
		{"plain", false, nil, false},
		{"full, x25519mlkem768", true, []string{"(reuse off)", "(key-exchange x25519mlkem768)"}, false},
		{"full, x25519", true, []string{"(reuse off)", "(key-exchange x25519)"}, false},
		{"resumed, x25519mlkem768", true, []string{"(key-exchange x25519mlkem768)"}, false},
		{"resumed, x25519", true, []string{"(key-exchange x25519)"}, false},
		{"tls.Conn and goroutines", true, nil, true},
		{"plain, goroutines", false, nil, true},
	}
	type result struct{ open, took, line, memory, descriptors series }
	results := make([]result, len(variants))
	for round := range repeats {
		for i, v := range variants {
			e.Say("round %d of %d: %s", round+1, repeats, v.name)
			m, err := costOf(e, v.secure, v.relay, v.more)
			if err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
			x := &results[i]
			x.open = append(x.open, m.open)
			x.took = append(x.took, m.took)
			x.line = append(x.line, m.line)
			x.memory = append(x.memory, m.memory)
			x.descriptors = append(x.descriptors, m.descriptors)
		}
	}
	const title = "on the proxy, median (least to most) of three interleaved rounds"
	r.Head(title, "variant", "CPU ms to open and close", "ms to UP, median", "CPU us a line there and back", "KiB an idle connection", "descriptors")
	for i, v := range variants {
		x := results[i]
		r.Row(title, v.name, x.open, x.took, x.line, x.memory, x.descriptors)
	}
	plain, standard, relay := results[0], results[3], results[5]
	r.Hold(standard.memory.median() <= 40, "at most 40 KiB an idle TLS connection", standard.memory)
	r.Hold(standard.line.median() <= relay.line.median(), "no more CPU a line than a tls.Conn with goroutines",
		fmt.Sprintf("%v against %v us", standard.line, relay.line))
	r.Hold(results[3].open.median() < results[1].open.median(), "a resumed handshake costs less than a full one",
		fmt.Sprintf("%v against %v ms", results[3].open, results[1].open))
	r.Set("open_plain_ms", plain.open.median())
	r.Set("open_full_ms", results[1].open.median())
	r.Set("open_resumed_ms", results[3].open.median())
	r.Set("line_plain_us", plain.line.median())
	r.Set("line_tls_us", standard.line.median())
	r.Set("line_goroutines_us", relay.line.median())
	r.Set("idle_kib", standard.memory.median())
	return nil
}

type cost struct{ open, took, line, memory, descriptors float64 }

// costOf measures one variant on a fresh process.
func costOf(e *Env, secure, relay bool, more []string) (m cost, err error) {
	f, err := newFleet(e, 1, secure)
	if err != nil {
		return m, err
	}
	defer f.close()
	var p *Process
	if relay {
		args := []string{"relay", "--to", f.servers[0].Addr(), "--name", "s1.lab"}
		if secure {
			config := f.config(0)
			config.ClientAuth = tls.NoClientCert // the relay has no certificate
			f.servers[0].Secure(config)
			args = append(args, "--trust", filepath.Join(f.dir, "trust.pem"))
		}
		p, err = start(f.dir, exec.Command(e.Self, args...), nil, "event=ready", "listen=")
	} else {
		settings := ""
		if secure {
			if settings, err = f.settings(append(more, "(handshakes (cpu 100%) (rate 5000) (host-rate 5000) (burst 1s))")...); err != nil {
				return m, err
			}
		}
		p, err = e.Proxy(Setup{Name: "cost", Discovery: f.discovery.Addr(), Known: f.discovery.List(), Settings: settings})
	}
	if err != nil {
		return m, err
	}
	defer p.Kill()
	once := func() (time.Duration, error) {
		c, a, err := fake.Open(p.Addr, class, "", 2*time.Second)
		if c == nil {
			return 0, fmt.Errorf("no connection: %s %v", a.Text, err)
		}
		c.Close()
		return a.Took, nil
	}
	for range 50 { // caches, sessions, the runtime's own
		if _, err := once(); err != nil {
			return m, err
		}
	}
	const opens = 400
	var took series
	time.Sleep(100 * time.Millisecond)
	cpu := p.CPU()
	for range opens {
		d, err := once()
		if err != nil {
			return m, err
		}
		took = append(took, float64(d)/1e6)
	}
	time.Sleep(50 * time.Millisecond)
	m.open, m.took = float64(p.CPU()-cpu)/1e6/opens, took.median()

	// Memory of idle connections.
	const idle = 300
	time.Sleep(200 * time.Millisecond)
	before, fds := p.Memory(), p.Descriptors()
	var clients []*fake.Client
	for range idle {
		c, a, err := fake.Open(p.Addr, class, "", 2*time.Second)
		if c == nil {
			return m, fmt.Errorf("no connection: %s %v", a.Text, err)
		}
		clients = append(clients, c)
	}
	time.Sleep(300 * time.Millisecond)
	m.memory = float64(p.Memory()-before) / 1024 / idle
	m.descriptors = float64(p.Descriptors()-fds) / idle

	// Lines, one after the other on 20 connections at once.
	const lines, at = 500, 20
	errs := make(chan error, at)
	cpu = p.CPU()
	for _, c := range clients[:at] {
		go func() {
			for range lines {
				if _, moved, err := c.Ask("MSG 0123456789abcdef 0123456789abcdef", 5*time.Second); err != nil || moved {
					errs <- fmt.Errorf("line: %v", err)
					return
				}
			}
			errs <- nil
		}()
	}
	for range at {
		if err := <-errs; err != nil {
			return m, err
		}
	}
	m.line = float64(p.CPU()-cpu) / 1e3 / (lines * at)
	for _, c := range clients {
		c.Close()
	}
	return m, nil
}
