package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

// rotation is a proxy under load while everything that TLS needs is replaced.
type rotation struct {
	upstreams *upstreams
	proxy     *Process
	standing  *standingClients
	fresh     *answerCounts
	trust     string // path of the proxy's bundle of authorities
}

const (
	rotationStanding  = 400
	rotationRate      = 200 // new connections a second
	rotationSpan      = 30 * time.Second
	rotationWait      = 2 * time.Second
	rotationStepEvery = 4500 * time.Millisecond
	takenWithin       = 2 * time.Second // until the proxy has to have taken new files
	rotationTable     = "replacements"
)

// tlsRotation replaces everything that can be replaced, while 200 connections a second are opened and 400 stand.
func tlsRotation(e *Env, r *Report) error {
	f, err := newUpstreams(e, 4, true)
	if err != nil {
		return err
	}
	defer f.close()
	settings, err := f.settings("(handshakes (cpu 80%) (host-rate 300))")
	if err != nil {
		return err
	}
	p, err := e.Proxy(Setup{Name: "rotation", Discovery: f.discovery.Addr(), Known: f.discovery.List(), Settings: settings,
		Connect: 800 * time.Millisecond, Deadline: rotationWait})
	if err != nil {
		return err
	}
	t := &rotation{upstreams: f, proxy: p, standing: &standingClients{answers: newAnswerCounts(), interval: time.Second}, fresh: newAnswerCounts(),
		trust: filepath.Join(f.dir, "trust.pem")}
	defer t.standing.end()
	if err := t.standing.connect(p.Addr, rotationStanding, "", rotationWait); err != nil {
		return err
	}
	late, err := t.underLoad(r)
	if err != nil {
		return err
	}
	t.report(r, late)
	return nil
}

// underLoad makes the replacements while new connections come, and gives how many the proxy took too late.
func (t *rotation) underLoad(r *Report) (late int, err error) {
	r.Columns(rotationTable, "at", "what", "taken after", "epoch")
	finished := make(chan error, 1)
	go func() {
		var err error
		late, err = t.replaceAll(r)
		finished <- err
	}()
	openLoop(rotationRate, rotationSpan, func(int) { t.openFresh() })
	err = <-finished
	return late, err
}

// openFresh opens a new connection, sends one line and closes it.
func (t *rotation) openFresh() {
	client, a, _ := fake.Open(t.proxy.Addr, requestClass, "", rotationWait)
	t.fresh.add(a, rotationWait)
	if client == nil {
		return
	}
	if _, _, err := client.Exchange("M", 5*time.Second); err != nil {
		t.standing.recordLoss("new connection: %v", err)
	}
	client.Close()
}

// replacement is one thing that is replaced.
type replacement struct {
	what    string
	files   bool // the proxy's files, which it takes at once; else the servers' side, which shows at their handshakes
	replace func() error
}

// replacements are the steps, in order: to a second authority and away from the first.
func (t *rotation) replacements() []replacement {
	first, second := t.upstreams.pki.Trusted, t.upstreams.pki.Other
	return []replacement{
		{"a new client certificate, by renaming", true, func() error { return t.renewClient(first) }},
		{"a second authority in the bundle, written in place and first by half", true, t.widenTrust},
		{"the servers' certificates, by the second authority, and their ticket keys", false, func() error { return t.renewServers(second) }},
		{"a client certificate by the second authority, by renaming", true, func() error { return t.renewClient(second) }},
		{"the first authority out of the bundle, by renaming", true, func() error { return certs.ReplaceFile(t.trust, certs.Bundle(second.Root.Cert), 0o644) }},
		{"the servers' certificates once more", false, func() error { return t.renewServers(second) }},
	}
}

func (t *rotation) renewClient(by *fake.Authority) error {
	_, err := by.SaveClient(t.upstreams.dir, certs.Spec{Name: "proxy"})
	return err
}

// renewServers gives each server a new certificate and ticket keys of its own.
func (t *rotation) renewServers(by *fake.Authority) error {
	for i := range t.upstreams.servers {
		if err := t.upstreams.renew(i, by); err != nil {
			return err
		}
		t.upstreams.servers[i].SetTLS(t.upstreams.config(i))
	}
	return nil
}

// widenTrust writes both authorities in place, and first a part of them that is no sound file.
func (t *rotation) widenTrust() error {
	both := append(certs.Bundle(t.upstreams.pki.Trusted.Root.Cert), certs.Bundle(t.upstreams.pki.Other.Root.Cert)...)
	if err := os.WriteFile(t.trust, both[:len(both)-200], 0o644); err != nil {
		return err
	}
	time.Sleep(1200 * time.Millisecond)
	return os.WriteFile(t.trust, both, 0o644)
}

// replaceAll makes the replacements at their times, a row each.
func (t *rotation) replaceAll(r *Report) (late int, err error) {
	began := time.Now()
	for i, step := range t.replacements() {
		time.Sleep(time.Until(began.Add(time.Duration(i)*rotationStepEvery + 2*time.Second)))
		epoch := t.filesTaken()
		at := time.Now()
		if err := step.replace(); err != nil {
			return late, err
		}
		taken := "-"
		if step.files {
			took := t.awaitTaken(epoch)
			taken = took.Round(10 * time.Millisecond).String()
			if took > takenWithin {
				taken += " LATE"
				late++
			}
		}
		r.Row(rotationTable, at.Sub(began), step.what, taken, t.filesTaken()+1)
	}
	return late, nil
}

// filesTaken is how often the proxy has taken new files.
func (t *rotation) filesTaken() int { return len(t.proxy.Log("event=tls_files_taken")) }

// awaitTaken waits until the proxy has taken files once more, for a second over the bound at most, and gives how long that took.
func (t *rotation) awaitTaken(before int) time.Duration {
	written := time.Now()
	for t.filesTaken() == before && time.Since(written) < takenWithin+time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(written)
}

// report ends the proxy and states the bounds; late is how many replacements were taken too late.
func (t *rotation) report(r *Report, late int) {
	stood, serials := 0, map[string]int{}
	for _, s := range t.upstreams.servers {
		stood += s.Established()
		for serial, n := range s.ClientCertificates() {
			serials[serial] += n
		}
	}
	full, resumed := t.upstreams.handshakes()
	rejected := len(t.proxy.Log("event=tls_files_kept"))
	c, a := t.standing, t.fresh
	r.Columns("new connections", "UP", "BUSY", "ERR", "NONE", "late", "p50 ms", "p99 ms")
	r.Row("new connections", a.count("UP"), a.count("BUSY"), a.count("ERR"), a.count("NONE"), a.late, a.milliseconds.median(), a.milliseconds.quantile(0.99))
	c.stopping.Store(true)
	ended := t.proxy.Stop()
	total := int(rotationRate * rotationSpan.Seconds())
	r.Check(a.count("UP") == total && a.late == 0, "every new connection is served", fmt.Sprintf("%d of %d", a.count("UP"), total))
	r.Check(len(c.lost) == 0 && c.moved == 0 && stood >= rotationStanding, "no standing connection is lost or moved",
		fmt.Sprintf("%d stand, %d lost, %d moved %s", stood, len(c.lost), c.moved, firstLosses(c.lost)))
	r.Check(len(serials) == 3, "the servers saw the three client certificates", len(serials))
	r.Check(late == 0 && rejected >= 1, "files are taken within 2 s; half a bundle is told and kept out", fmt.Sprintf("%d late, %d told", late, rejected))
	failed := len(t.proxy.Log("event=tls_failed"))
	r.Check(failed == 0, "no handshake failed", failed)
	r.Check(ended == nil, "the proxy ended in order", fmt.Sprint(ended))
	r.Set("opened", total)
	r.Set("failed", total-a.count("UP"))
	r.Set("lost", len(c.lost))
	r.Set("full", full)
	r.Set("resumed", resumed)
	r.Set("p99_ms", a.milliseconds.quantile(0.99))
}
