package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

// rotation is a proxy under load whose TLS files are replaced, together with those of its servers.
type rotation struct {
	upstreams  *upstreams
	proxy      *Process
	persistent *persistentClients
	shortLived *answerCounts // answers to the short-lived clients
	trust      string        // path of the proxy's CA bundle
}

const (
	rotationPersistent   = 400 // persistent connections
	rotationRate         = 200 // new connections per second
	rotationDuration     = 30 * time.Second
	rotationTimeout      = 2 * time.Second         // deadline of a request, and how long its client waits
	rotationStepInterval = 4500 * time.Millisecond // between the starts of two replacements
	reloadLimit          = 2 * time.Second         // time until the proxy must use new files
	rotationTable        = "replacements"
)

// tlsRotation replaces all TLS files one after the other under 400 persistent connections and 200
// new connections per second.
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
	proxy, err := e.Proxy(Setup{Name: "rotation", Discovery: upstreams.discovery.Addr(), InitialList: upstreams.discovery.List(), Settings: settings,
		ConnectTimeout: 800 * time.Millisecond, Deadline: rotationTimeout})
	if err != nil {
		return err
	}
	t := &rotation{upstreams: upstreams, proxy: proxy, persistent: &persistentClients{answers: newAnswerCounts(), interval: time.Second}, shortLived: newAnswerCounts(),
		trust: filepath.Join(upstreams.dir, "trust.pem")}
	defer t.persistent.stop()
	if err := t.persistent.connect(proxy.Addr, rotationPersistent, "", rotationTimeout); err != nil {
		return err
	}
	late, err := t.underLoad(r)
	if err != nil {
		return err
	}
	t.report(r, late)
	return nil
}

// underLoad replaces the files while new connections are opened. It returns the number of
// replacements that the proxy applied too late.
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

// openShortLived opens a connection, sends one line and closes it.
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
	ofProxy     bool // the proxy reloads these files; otherwise servers use them from the next handshake on
	replace     func() error
}

// replacements returns the replacements in order: they add a second authority and then remove the
// first.
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

// renewClient replaces the proxy's certificate by one of the given authority.
func (t *rotation) renewClient(by *fake.Authority) error {
	_, err := by.SaveClientCertificate(t.upstreams.dir, certs.Spec{Name: "proxy"})
	return err
}

// renewServers replaces the certificate and the ticket keys of each server.
func (t *rotation) renewServers(by *fake.Authority) error {
	for i := range t.upstreams.servers {
		if err := t.upstreams.renew(i, by); err != nil {
			return err
		}
		t.upstreams.servers[i].SetTLS(t.upstreams.config(i))
	}
	return nil
}

// addAuthority writes a CA bundle with both authorities in place. Before that, it writes an
// incomplete bundle that cannot be parsed.
func (t *rotation) addAuthority() error {
	both := append(certs.EncodeBundle(t.upstreams.pki.Trusted.Root.Cert), certs.EncodeBundle(t.upstreams.pki.Other.Root.Cert)...)
	if err := os.WriteFile(t.trust, both[:len(both)-200], 0o644); err != nil {
		return err
	}
	time.Sleep(1200 * time.Millisecond)
	return os.WriteFile(t.trust, both, 0o644)
}

// replaceAll makes the replacements at their times and adds a table row for each. It returns the
// number of replacements that the proxy applied too late.
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

// reloadCount returns how often the proxy has reloaded its TLS files.
func (t *rotation) reloadCount() int { return len(t.proxy.LogLines("event=tls_files_taken")) }

// awaitReload waits until reloadCount differs from before, at most reloadLimit and one second, and
// returns the elapsed time.
func (t *rotation) awaitReload(before int) time.Duration {
	written := time.Now()
	for t.reloadCount() == before && time.Since(written) < reloadLimit+time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(written)
}

// report stops the proxy, checks the bounds and adds the values. late is the number of replacements
// that the proxy applied too late.
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
	persistent, shortLived := t.persistent, t.shortLived
	r.StartTable("new connections", "UP", "BUSY", "ERR", "NONE", "late", "p50 ms", "p99 ms")
	r.AddRow("new connections", shortLived.count("UP"), shortLived.count("BUSY"), shortLived.count("ERR"), shortLived.count("NONE"), shortLived.late, shortLived.milliseconds.median(), shortLived.milliseconds.quantile(0.99))
	persistent.stopping.Store(true)
	ended := t.proxy.Stop()
	total := int(rotationRate * rotationDuration.Seconds())
	r.Check(shortLived.count("UP") == total && shortLived.late == 0, "every new connection is served", fmt.Sprintf("%d of %d", shortLived.count("UP"), total))
	r.Check(len(persistent.lost) == 0 && persistent.migrations == 0 && established >= rotationPersistent, "no persistent connection is lost or migrated",
		fmt.Sprintf("%d established, %d lost, %d migrated %s", established, len(persistent.lost), persistent.migrations, firstLosses(persistent.lost)))
	r.Check(len(serials) == 3, "the servers saw the three client certificates", len(serials))
	r.Check(late == 0 && rejected >= 1, "files are used within 2 s; an incomplete bundle is logged and not used", fmt.Sprintf("%d late, %d logged", late, rejected))
	failed := len(t.proxy.LogLines("event=tls_failed"))
	r.Check(failed == 0, "no handshake failed", failed)
	r.Check(ended == nil, "the proxy shut down without an error", fmt.Sprint(ended))
	r.AddValue("opened", total)
	r.AddValue("failed", total-shortLived.count("UP"))
	r.AddValue("lost", len(persistent.lost))
	r.AddValue("full", full)
	r.AddValue("resumed", resumed)
	r.AddValue("p99_ms", shortLived.milliseconds.quantile(0.99))
}
