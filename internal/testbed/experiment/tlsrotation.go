package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

// rotation is a proxy under load while its TLS files and those of its servers are replaced.
type rotation struct {
	upstreams  *upstreams
	proxy      *Process
	persistent *persistentClients
	shortLived *answerCounts
	trust      string // path of the proxy's bundle of authorities
}

const (
	rotationPersistent   = 400
	rotationRate         = 200 // new connections a second
	rotationDuration     = 30 * time.Second
	rotationTimeout      = 2 * time.Second
	rotationStepInterval = 4500 * time.Millisecond
	reloadLimit          = 2 * time.Second // until the proxy uses new files
	rotationTable        = "replacements"
)

// tlsRotation replaces all TLS files, one after the other, with 400 persistent connections and 200 new ones a second.
func tlsRotation(e *Env, r *Report) error {
	upstreams, err := newUpstreams(e, 4, true)
	if err != nil {
		return err
	}
	defer upstreams.close()
	settings, err := upstreams.settings("(handshakes (cpu 80%) (host-rate 300))")
	if err != nil {
		return err
	}
	p, err := e.Proxy(Setup{Name: "rotation", Discovery: upstreams.discovery.Addr(), InitialList: upstreams.discovery.List(), Settings: settings,
		ConnectTimeout: 800 * time.Millisecond, Deadline: rotationTimeout})
	if err != nil {
		return err
	}
	t := &rotation{upstreams: upstreams, proxy: p, persistent: &persistentClients{answers: newAnswerCounts(), interval: time.Second}, shortLived: newAnswerCounts(),
		trust: filepath.Join(upstreams.dir, "trust.pem")}
	defer t.persistent.stop()
	if err := t.persistent.connect(p.Addr, rotationPersistent, "", rotationTimeout); err != nil {
		return err
	}
	late, err := t.underLoad(r)
	if err != nil {
		return err
	}
	t.report(r, late)
	return nil
}

// underLoad makes the replacements under load, and returns how many the proxy used too late.
func (t *rotation) underLoad(r *Report) (late int, err error) {
	r.StartTable(rotationTable, "at", "what", "taken after", "epoch")
	finished := make(chan error, 1)
	go func() {
		var err error
		late, err = t.replaceAll(r)
		finished <- err
	}()
	openLoop(rotationRate, rotationDuration, func(int) { t.openShortLived() })
	err = <-finished
	return late, err
}

// openShortLived opens a new connection, sends one line and closes it.
func (t *rotation) openShortLived() {
	client, a, _ := fake.Open(t.proxy.Addr, requestClass, "", rotationTimeout)
	t.shortLived.add(a, rotationTimeout)
	if client == nil {
		return
	}
	if _, _, err := client.Exchange("M", 5*time.Second); err != nil {
		t.persistent.recordLoss("new connection: %v", err)
	}
	client.Close()
}

// replacement is one replacement of files.
type replacement struct {
	description string
	ofProxy     bool // the proxy's files, which it reloads; else the servers', which show at the next handshakes
	replace     func() error
}

// replacements are the steps, in order: add a second authority, then remove the first.
func (t *rotation) replacements() []replacement {
	first, second := t.upstreams.pki.Trusted, t.upstreams.pki.Other
	return []replacement{
		{"a new client certificate, by renaming", true, func() error { return t.renewClient(first) }},
		{"a second authority in the bundle, written in place, first a part of it", true, t.addAuthority},
		{"the servers' certificates, by the second authority, and their ticket keys", false, func() error { return t.renewServers(second) }},
		{"a client certificate by the second authority, by renaming", true, func() error { return t.renewClient(second) }},
		{"the bundle without the first authority, by renaming", true, func() error { return certs.ReplaceFile(t.trust, certs.EncodeBundle(second.Root.Cert), 0o644) }},
		{"the servers' certificates once more", false, func() error { return t.renewServers(second) }},
	}
}

func (t *rotation) renewClient(by *fake.Authority) error {
	_, err := by.SaveClientCertificate(t.upstreams.dir, certs.Spec{Name: "proxy"})
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

// addAuthority writes both authorities in place, and before that a part, which cannot be parsed.
func (t *rotation) addAuthority() error {
	both := append(certs.EncodeBundle(t.upstreams.pki.Trusted.Root.Cert), certs.EncodeBundle(t.upstreams.pki.Other.Root.Cert)...)
	if err := os.WriteFile(t.trust, both[:len(both)-200], 0o644); err != nil {
		return err
	}
	time.Sleep(1200 * time.Millisecond)
	return os.WriteFile(t.trust, both, 0o644)
}

// replaceAll makes the replacements at their times, and adds a row for each.
func (t *rotation) replaceAll(r *Report) (late int, err error) {
	startedAt := time.Now()
	for i, step := range t.replacements() {
		time.Sleep(time.Until(startedAt.Add(time.Duration(i)*rotationStepInterval + 2*time.Second)))
		epoch := t.reloadCount()
		at := time.Now()
		if err := step.replace(); err != nil {
			return late, err
		}
		taken := "-"
		if step.ofProxy {
			took := t.awaitReload(epoch)
			taken = took.Round(10 * time.Millisecond).String()
			if took > reloadLimit {
				taken += " LATE"
				late++
			}
		}
		r.AddRow(rotationTable, at.Sub(startedAt), step.description, taken, t.reloadCount()+1)
	}
	return late, nil
}

// reloadCount is how often the proxy has reloaded files.
func (t *rotation) reloadCount() int { return len(t.proxy.LogLines("event=tls_files_taken")) }

// awaitReload waits until the proxy has reloaded files once more, up to a second beyond the limit, and returns how long that took.
func (t *rotation) awaitReload(before int) time.Duration {
	written := time.Now()
	for t.reloadCount() == before && time.Since(written) < reloadLimit+time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(written)
}

// report shuts the proxy down and checks the bounds; late is the number of replacements that it used too late.
func (t *rotation) report(r *Report, late int) {
	established, serials := 0, map[string]int{}
	for _, s := range t.upstreams.servers {
		established += s.Established()
		for serial, n := range s.ClientCertificates() {
			serials[serial] += n
		}
	}
	full, resumed := t.upstreams.handshakes()
	rejected := len(t.proxy.LogLines("event=tls_files_kept"))
	c, a := t.persistent, t.shortLived
	r.StartTable("new connections", "UP", "BUSY", "ERR", "NONE", "late", "p50 ms", "p99 ms")
	r.AddRow("new connections", a.count("UP"), a.count("BUSY"), a.count("ERR"), a.count("NONE"), a.late, a.milliseconds.median(), a.milliseconds.quantile(0.99))
	c.stopping.Store(true)
	ended := t.proxy.Stop()
	total := int(rotationRate * rotationDuration.Seconds())
	r.Check(a.count("UP") == total && a.late == 0, "every new connection is served", fmt.Sprintf("%d of %d", a.count("UP"), total))
	r.Check(len(c.lost) == 0 && c.migrations == 0 && established >= rotationPersistent, "no persistent connection is lost or migrated",
		fmt.Sprintf("%d established, %d lost, %d migrated %s", established, len(c.lost), c.migrations, firstLosses(c.lost)))
	r.Check(len(serials) == 3, "the servers saw the three client certificates", len(serials))
	r.Check(late == 0 && rejected >= 1, "files are used within 2 s; an incomplete bundle is logged and not used", fmt.Sprintf("%d late, %d logged", late, rejected))
	failed := len(t.proxy.LogLines("event=tls_failed"))
	r.Check(failed == 0, "no handshake failed", failed)
	r.Check(ended == nil, "the proxy shut down without an error", fmt.Sprint(ended))
	r.AddValue("opened", total)
	r.AddValue("failed", total-a.count("UP"))
	r.AddValue("lost", len(c.lost))
	r.AddValue("full", full)
	r.AddValue("resumed", resumed)
	r.AddValue("p99_ms", a.milliseconds.quantile(0.99))
}
