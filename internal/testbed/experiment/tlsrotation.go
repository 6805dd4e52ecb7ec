package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

// tlsRotation replaces everything that can be replaced, while 200 connections a second are opened and 400 stand.
func tlsRotation(e *Env, r *Report) error {
	const standing, rate, length, wait = 400, 200, 30 * time.Second, 2 * time.Second
	f, err := newFleet(e, 4, true)
	if err != nil {
		return err
	}
	defer f.close()
	settings, err := f.settings("(handshakes (cpu 80%) (host-rate 300))")
	if err != nil {
		return err
	}
	p, err := e.Proxy(Setup{Name: "rotation", Discovery: f.discovery.Addr(), Known: f.discovery.List(), Settings: settings,
		Connect: 800 * time.Millisecond, Deadline: wait})
	if err != nil {
		return err
	}
	c := &crowd{answers: newTally(), every: time.Second}
	defer c.leave()
	if err := c.join(p.Addr, standing, "", wait); err != nil {
		return err
	}
	old, other := f.pki.Trusted, f.pki.Other
	trust := filepath.Join(f.dir, "trust.pem")
	both := append(certs.Bundle(old.Root.Cert), certs.Bundle(other.Root.Cert)...)
	client := func(by *fake.Authority) func() error {
		return func() error {
			_, err := by.SaveClient(f.dir, certs.Spec{Name: "proxy"})
			return err
		}
	}
	servers := func(by *fake.Authority) func() error {
		return func() error {
			for i := range f.servers {
				if err := f.renew(i, by); err != nil {
					return err
				}
				f.servers[i].Secure(f.config(i)) // with ticket keys of its own
			}
			return nil
		}
	}
	steps := []struct {
		what string
		do   func() error
	}{
		{"a new client certificate, by renaming", client(old)},
		{"a second authority in the bundle, written in place and first by half", func() error {
			if err := os.WriteFile(trust, both[:len(both)-200], 0o644); err != nil {
				return err
			}
			time.Sleep(1200 * time.Millisecond)
			return os.WriteFile(trust, both, 0o644)
		}},
		{"the servers' certificates, by the second authority, and their ticket keys", servers(other)},
		{"a client certificate by the second authority, by renaming", client(other)},
		{"the first authority out of the bundle, by renaming", func() error { return certs.ReplaceFile(trust, certs.Bundle(other.Root.Cert), 0o644) }},
		{"the servers' certificates once more", servers(other)},
	}
	const title = "replacements"
	r.Head(title, "at", "what", "taken after", "epoch")
	began := time.Now()
	failed := make(chan error, 1)
	go func() {
		for i, s := range steps {
			time.Sleep(time.Until(began.Add(time.Duration(i)*4500*time.Millisecond + 2*time.Second)))
			seen := len(p.Log("event=tls_files_taken"))
			at := time.Now()
			if err := s.do(); err != nil {
				failed <- err
				return
			}
			done := time.Now()
			taken := "-"
			if !strings.HasPrefix(s.what, "the servers'") {
				for len(p.Log("event=tls_files_taken")) == seen && time.Since(done) < 3*time.Second {
					time.Sleep(5 * time.Millisecond)
				}
				taken = time.Since(done).Round(10 * time.Millisecond).String()
				if time.Since(done) > 2*time.Second {
					taken += " LATE"
				}
			}
			r.Row(title, at.Sub(began), s.what, taken, len(p.Log("event=tls_files_taken"))+1)
		}
		failed <- nil
	}()
	t := newTally()
	arrivals(rate, length, func(int) {
		client, a, _ := fake.Open(p.Addr, class, "", wait)
		t.add(a, wait)
		if client != nil {
			if _, _, err := client.Ask("M", 5*time.Second); err != nil {
				c.note("new connection: %v", err)
			}
			client.Close()
		}
	})
	if err := <-failed; err != nil {
		return err
	}
	stood := 0
	for _, s := range f.servers {
		stood += s.Standing()
	}
	serials := map[string]int{}
	for _, s := range f.servers {
		for k, n := range s.Clients() {
			serials[k] += n
		}
	}
	full, resumed := f.handshakes()
	late := 0
	for _, row := range r.Tables[0].Rows {
		if strings.Contains(row[2], "LATE") {
			late++
		}
	}
	kept := len(p.Log("event=tls_files_kept"))
	r.Head("new connections", "UP", "BUSY", "ERR", "NONE", "late", "p50 ms", "p99 ms")
	r.Row("new connections", t.count("UP"), t.count("BUSY"), t.count("ERR"), t.count("NONE"), t.late, t.took.median(), t.took.quantile(0.99))
	c.stop.Store(true)
	ended := p.Stop()
	total := int(rate * length.Seconds())
	r.Hold(t.count("UP") == total && t.late == 0, "every new connection is served", fmt.Sprintf("%d of %d", t.count("UP"), total))
	r.Hold(len(c.lost) == 0 && c.moved == 0 && stood >= standing, "no standing connection is lost or moved", fmt.Sprintf("%d stand, %d lost, %d moved %s", stood, len(c.lost), c.moved, strings.Join(c.lost[:min(3, len(c.lost))], "; ")))
	r.Hold(len(serials) == 3, "the servers saw the three client certificates", len(serials))
	r.Hold(late == 0 && kept >= 1, "files are taken within 2 s; half a bundle is told and kept out", fmt.Sprintf("%d late, %d told", late, kept))
	r.Hold(len(p.Log("event=tls_failed")) == 0, "no handshake failed", len(p.Log("event=tls_failed")))
	r.Hold(ended == nil, "the proxy ended in order", fmt.Sprint(ended))
	r.Set("opened", total)
	r.Set("failed", total-t.count("UP"))
	r.Set("lost", len(c.lost))
	r.Set("full", full)
	r.Set("resumed", resumed)
	r.Set("p99_ms", t.took.quantile(0.99))
	return nil
}
