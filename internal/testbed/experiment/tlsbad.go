package experiment

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

// tlsBad has a proxy meet every bad server, each in a process of its own, and then faults of its own.
func tlsBad(e *Env, r *Report) error {
	type row struct {
		kind, answer, reason, want string
		came, bytes                int64
		took                       time.Duration
		ok                         bool
		err                        error
	}
	faults := fake.Faults()
	own := []string{"own-certificate-expired", "own-revocation-list-ran-out"}
	rows := make([]row, len(faults)+len(own))
	turns := make(chan struct{}, 3)
	var all sync.WaitGroup
	for i := range rows {
		all.Add(1)
		go func() {
			defer all.Done()
			turns <- struct{}{}
			defer func() { <-turns }()
			x := &rows[i]
			if i < len(faults) {
				x.kind, x.want = faults[i].Kind, faults[i].Reason
				x.answer, x.reason, x.came, x.bytes, x.took, x.err = meet(e, faults[i], "", x.want)
				x.ok = x.err == nil && x.bytes == 0 && x.answer != "UP" && x.answer != "NONE" && x.came > 0 && x.reason == x.want
				return
			}
			x.kind = own[i-len(faults)]
			x.want = []string{"own_certificate_expired", "own_trust_unusable"}[i-len(faults)]
			sound := fake.Fault{Kind: x.kind, Raw: func(net.Conn, *tls.Config) {}} // nobody is to come
			x.answer, x.reason, x.came, x.bytes, x.took, x.err = meet(e, sound, x.kind, x.want)
			x.ok = x.err == nil && x.bytes == 0 && x.came == 0 && x.answer != "UP" && x.answer != "NONE" && x.reason == x.want
		}()
	}
	all.Wait()
	bytes, bad := int64(0), 0
	const title = "bad servers; the client waits 2 s, connects may take 0.25 s"
	r.Head(title, "server", "client's answer", "after", "reason in the log", "connections", "request bytes seen", "as stated")
	for _, x := range rows {
		reason := x.reason
		if reason == "" {
			reason = "(stood, then broke)"
		}
		if x.err != nil {
			reason = x.err.Error()
		}
		r.Row(title, x.kind, x.answer, x.took, reason, x.came, x.bytes, x.ok)
		bytes += x.bytes
		if !x.ok {
			bad++
		}
	}
	r.Hold(bad == 0, "every bad server ends in the stated outcome and reason", fmt.Sprintf("%d of %d do not", bad, len(rows)))
	r.Hold(bytes == 0, "no byte of a request was seen by any", bytes)
	r.Set("servers", len(rows))
	r.Set("request_bytes_seen", bytes)
	return nil
}

// meet has a proxy of its own meet one bad server.
func meet(e *Env, f fake.Fault, own, want string) (answer, reason string, came, bytes int64, took time.Duration, err error) {
	dir, err := os.MkdirTemp(e.Dir, "bad")
	if err != nil {
		return
	}
	pki, err := fake.NewPki("s1.lab")
	if err != nil {
		return
	}
	if _, err = fake.SaveTrust(dir, pki.Trusted); err != nil {
		return
	}
	until := time.Now().Add(time.Hour)
	more := ""
	switch own {
	case "own-certificate-expired":
		if _, err = pki.Trusted.SaveClient(dir, certs.Spec{Name: "proxy", NotAfter: time.Now().Add(-time.Minute)}); err != nil {
			return
		}
		more = ` (certificate "client.pem") (key "client.key")`
	case "own-revocation-list-ran-out":
		until = time.Now().Add(-time.Minute)
	}
	crl, err := pki.CRL(until)
	if err != nil {
		return
	}
	if err = os.WriteFile(filepath.Join(dir, "crl.pem"), crl, 0o644); err != nil {
		return
	}
	if f.Old {
		more += " (min-version 1.2)"
	}
	path := filepath.Join(dir, "croftlock.sexp")
	text := `(tls (servers on) (trust "trust.pem") (crl "crl.pem") (name (pattern "{uid}.lab"))` + more + ")\n"
	if err = os.WriteFile(path, []byte(text), 0o644); err != nil {
		return
	}
	bad, err := fake.NewBad(f, pki)
	if err != nil {
		return
	}
	defer bad.Close()
	d, err := fake.NewDiscovery(fake.Entry{UID: "s1", Endpoint: bad.Addr(), Zone: "a", Model: "type-a"})
	if err != nil {
		return
	}
	defer d.Close()
	p, err := e.Proxy(Setup{Name: f.Kind, Discovery: d.Addr(), Known: d.List(), Settings: path})
	if err != nil {
		return
	}
	defer p.Stop()
	c, a, e2 := fake.Open(p.Addr, class, "", 2*time.Second)
	if c != nil {
		c.Close()
	}
	if e2 != nil {
		err = e2
	}
	if want != "" {
		p.Await(" reason=", 2*time.Second) // the log comes by another way than the answer
	}
	if lines := append(p.Log("event=tls_failed"), p.Log("event=tls_own_fault")...); len(lines) > 0 {
		_, rest, _ := strings.Cut(lines[0], "reason=")
		reason, _, _ = strings.Cut(rest, " ")
	}
	return a.Kind, reason, bad.Came.Load(), bad.Requests.Load(), a.Took, err
}
