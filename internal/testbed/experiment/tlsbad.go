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

// faultCase is one fault of the server or of the proxy's own files, with the reason that the proxy
// must log.
type faultCase struct {
	server fake.Fault // fault of the server; if own is set, it only names the case
	own    ownFault   // fault of the proxy's own files; noOwnFault if there is none
	reason string     // reason that the proxy must log; empty if it must log none
}

// ownFault is a fault of the proxy's own files.
type ownFault string

const (
	noOwnFault         ownFault = ""
	ownExpired         ownFault = "own-certificate-expired"
	ownRevocationStale ownFault = "own-revocation-list-ran-out"
)

// faultCases returns all faults of servers, followed by those of the proxy's own files. With the
// latter, the proxy must not connect to any server.
func faultCases() (cases []faultCase) {
	for _, f := range fake.Faults() {
		cases = append(cases, faultCase{f, noOwnFault, f.Reason})
	}
	unused := func(net.Conn, *tls.Config) {}
	return append(cases,
		faultCase{fake.Fault{Kind: string(ownExpired), Serve: unused}, ownExpired, "own_certificate_expired"},
		faultCase{fake.Fault{Kind: string(ownRevocationStale), Serve: unused}, ownRevocationStale, "own_trust_unusable"})
}

// faultOutcome is the outcome of one case.
type faultOutcome struct {
	answer, reason string // kind of the client's answer, and the logged reason
	connections    int64  // connections that the server accepted
	requestBytes   int64  // bytes of requests that the server could read
	took           time.Duration
	err            error
}

// asExpected reports whether the outcome of the case is the expected one: a failed request, no
// request bytes at the server, a connection only for a fault of the server, and the expected
// reason.
func (c *faultCase) asExpected(o faultOutcome) bool {
	connected := o.connections > 0
	return o.err == nil && o.requestBytes == 0 && o.answer != "UP" && o.answer != "NONE" && connected == (c.own == noOwnFault) && o.reason == c.reason
}

// maxParallelCases limits the cases that run at the same time.
const maxParallelCases = 3

// tlsBad runs each case with a proxy process of its own.
func tlsBad(e *Env, r *Report) error {
	cases := faultCases()
	outcomes := make([]faultOutcome, len(cases))
	slots := make(chan struct{}, maxParallelCases)
	var running sync.WaitGroup
	for i := range cases {
		running.Add(1)
		go func() {
			defer running.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			var err error
			outcomes[i], err = cases[i].run(e)
			outcomes[i].err = err
		}()
	}
	running.Wait()
	bytes, bad := int64(0), 0
	const title = "faulty servers; the client waits 2 s, connects may take 0.25 s"
	r.StartTable(title, "server", "client's answer", "after", "logged reason", "connections", "readable request bytes", "as expected")
	for i, o := range outcomes {
		ok := cases[i].asExpected(o)
		r.AddRow(title, cases[i].server.Kind, o.answer, o.took, o.reasonText(), o.connections, o.requestBytes, ok)
		bytes += o.requestBytes
		if !ok {
			bad++
		}
	}
	r.Check(bad == 0, "every case ends in the expected outcome and reason", fmt.Sprintf("%d of %d do not", bad, len(cases)))
	r.Check(bytes == 0, "no server could read a byte of a request", bytes)
	r.AddValue("servers", len(cases))
	r.AddValue("request_bytes_seen", bytes)
	return nil
}

// reasonText returns the reason, or the error of the case, for the table.
func (o *faultOutcome) reasonText() string {
	switch {
	case o.err != nil:
		return o.err.Error()
	case o.reason == "":
		return "(established, then broken)"
	}
	return o.reason
}

// run sends one request to the faulty server through a proxy.
func (c *faultCase) run(e *Env) (o faultOutcome, err error) {
	pki, err := fake.NewPKI("s1.lab")
	if err != nil {
		return o, err
	}
	settings, err := c.settings(e, pki)
	if err != nil {
		return o, err
	}
	bad, err := fake.NewBadServer(c.server, pki)
	if err != nil {
		return o, err
	}
	defer bad.Close()
	discovery, err := fake.NewDiscovery(fake.Entry{UID: "s1", Endpoint: bad.Addr(), Zone: "a", Model: "type-a"})
	if err != nil {
		return o, err
	}
	defer discovery.Close()
	proxy, err := e.Proxy(Setup{Name: c.server.Kind, Discovery: discovery.Addr(), InitialList: discovery.List(), Settings: settings})
	if err != nil {
		return o, err
	}
	defer proxy.Stop()
	client, answer, err := fake.Open(proxy.Addr, requestClass, "", 2*time.Second)
	if client != nil {
		client.Close()
	}
	if c.reason != "" {
		proxy.AwaitLog(" reason=", 2*time.Second) // the log line may arrive after the answer
	}
	return faultOutcome{answer: answer.Kind, reason: firstReason(proxy), connections: bad.Connections.Load(), requestBytes: bad.RequestBytes.Load(), took: answer.Latency}, err
}

// firstReason returns the reason of the first failed handshake in the proxy's log or, if there is
// none, of the first fault of its own files. It returns "" if neither is logged.
func firstReason(p *Process) string {
	lines := append(p.LogLines("event=tls_failed"), p.LogLines("event=tls_own_fault")...)
	if len(lines) == 0 {
		return ""
	}
	_, rest, _ := strings.Cut(lines[0], "reason=")
	reason, _, _ := strings.Cut(rest, " ")
	return reason
}

// settings writes the proxy's files, including the case's own fault, and returns the path of the
// settings file.
func (c *faultCase) settings(e *Env, pki *fake.PKI) (string, error) {
	dir, err := os.MkdirTemp(e.Dir, "bad")
	if err != nil {
		return "", err
	}
	if _, err = fake.SaveTrustBundle(dir, pki.Trusted); err != nil {
		return "", err
	}
	listUntil, more := time.Now().Add(time.Hour), ""
	switch c.own {
	case ownExpired:
		if _, err = pki.Trusted.SaveClientCertificate(dir, certs.Spec{Name: "proxy", NotAfter: time.Now().Add(-time.Minute)}); err != nil {
			return "", err
		}
		more = ` (certificate "client.pem") (key "client.key")`
	case ownRevocationStale:
		listUntil = time.Now().Add(-time.Minute)
	}
	revoked, err := pki.CRL(listUntil)
	if err != nil {
		return "", err
	}
	if err = os.WriteFile(filepath.Join(dir, "crl.pem"), revoked, 0o644); err != nil {
		return "", err
	}
	if c.server.TLS12 {
		more += " (min-version 1.2)"
	}
	path := filepath.Join(dir, "croftlock.sexp")
	text := `(tls (servers on) (trust "trust.pem") (crl "crl.pem") (name (pattern "{uid}.lab"))` + more + ")\n"
	return path, os.WriteFile(path, []byte(text), 0o644)
}
