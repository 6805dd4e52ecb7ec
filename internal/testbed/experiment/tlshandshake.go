package experiment

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"croftlock/internal/dataplane/upstreamtls"
	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

// measureHandshakeTimes measures the computing time of each side of a handshake, without the time
// that it waits for the other side.
func measureHandshakeTimes(r *Report) error {
	pki, err := fake.NewPKI("s1.lab")
	if err != nil {
		return err
	}
	server, err := pki.Trusted.NewServerTLSConfig("s1.lab")
	if err != nil {
		return err
	}
	const title = "one handshake, microseconds that each side computes, median (10% to 90%) of 300"
	r.StartTable(title, "key exchange", "kind", "client", "server")
	for _, exchange := range []struct {
		name string
		id   tls.CurveID
	}{{"x25519mlkem768", tls.X25519MLKEM768}, {"x25519", tls.X25519}, {"p256", tls.CurveP256}} {
		for _, resumed := range []bool{false, true} {
			client := &tls.Config{ServerName: "s1.lab", RootCAs: pki.Trusted.Pool(), CurvePreferences: []tls.CurveID{exchange.id}}
			client.ClientSessionCache = sessionCache(resumed)
			clients, servers, err := repeatHandshake(client, server, resumed)
			if err != nil {
				return err
			}
			kind := "full"
			if resumed {
				kind = "resumed"
			}
			r.AddRow(title, exchange.name, kind, clients.formatQuantiles(0), servers.formatQuantiles(0))
		}
	}
	return measureVerification(r, pki)
}

// sessionCache returns the session cache of a client, or nil if the client must not resume
// sessions.
func sessionCache(resumed bool) tls.ClientSessionCache {
	if !resumed {
		return nil
	}
	return tls.NewLRUClientSessionCache(1)
}

// repeatHandshake performs 300 handshakes, after 30 that fill caches, and returns the computing
// times of each side in microseconds.
func repeatHandshake(client, server *tls.Config, resumed bool) (clients, servers samples, err error) {
	const warmUp, handshakes = 30, 300
	for i := range warmUp + handshakes {
		h, err := measureHandshake(client, server)
		if err != nil {
			return nil, nil, err
		}
		if i < warmUp {
			continue
		}
		if h.resumed != resumed {
			return nil, nil, fmt.Errorf("handshake %d: resumed %t, want %t", i, h.resumed, resumed)
		}
		clients, servers = append(clients, h.client), append(servers, h.server)
	}
	return clients, servers, nil
}

// measureVerification measures the time to verify a certificate chain for the first time and from
// the cache.
func measureVerification(r *Report, pki *fake.PKI) error {
	leaf, err := pki.Trusted.Issue(certs.Spec{Hosts: []string{"s1.lab"}})
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "verify")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	trust, err := fake.SaveTrustBundle(dir, pki.Trusted)
	if err != nil {
		return err
	}
	const title = "verification of one chain, microseconds, median (10% to 90%) of 300"
	r.StartTable(title, "how", "time")
	var first, again samples
	for range 300 {
		m, err := upstreamtls.Load(upstreamtls.Options{Trust: []string{trust}}, 1)
		if err != nil {
			return err
		}
		for _, s := range []*samples{&first, &again} {
			startedAt := time.Now()
			if _, err := m.Verify([]*x509.Certificate{leaf.Cert}, upstreamtls.Name{Text: "s1.lab"}, startedAt); err != nil {
				return err
			}
			*s = append(*s, float64(time.Since(startedAt))/1e3)
		}
	}
	r.AddRow(title, "first in its epoch", first.formatQuantiles(1))
	r.AddRow(title, "cached", again.formatQuantiles(1))
	return nil
}

// stopwatch is a connection that measures the computing time of its user, which is the time outside
// of reads and writes.
type stopwatch struct {
	net.Conn
	computingSince time.Time     // end of the last read or write
	computed       time.Duration // computing time so far
}

// newStopwatch returns a running stopwatch for c.
func newStopwatch(c net.Conn) *stopwatch { return &stopwatch{Conn: c, computingSince: time.Now()} }

// stop returns the computing time so far in microseconds. It must be called only once.
func (w *stopwatch) stop() float64 {
	w.computed += time.Since(w.computingSince)
	return float64(w.computed) / 1e3
}

// Read reads from the connection. The time of the read does not count as computing time.
func (w *stopwatch) Read(p []byte) (int, error) {
	w.computed += time.Since(w.computingSince)
	n, err := w.Conn.Read(p)
	w.computingSince = time.Now()
	return n, err
}

// Write writes to the connection. The time of the write does not count as computing time.
func (w *stopwatch) Write(p []byte) (int, error) {
	w.computed += time.Since(w.computingSince)
	n, err := w.Conn.Write(p)
	w.computingSince = time.Now()
	return n, err
}

// handshakeTime holds the computing times of both sides of one handshake, in microseconds.
type handshakeTime struct {
	client, server float64
	resumed        bool
}

// serverResult is the server's computing time of a handshake, in microseconds, and its error.
type serverResult struct {
	microseconds float64
	err          error
}

// serveHandshake accepts one connection, completes its handshake and waits until the client closes
// it.
func serveHandshake(l net.Listener, config *tls.Config) serverResult {
	raw, err := l.Accept()
	if err != nil {
		return serverResult{0, err}
	}
	defer raw.Close()
	w := newStopwatch(raw)
	t := tls.Server(w, config)
	err = t.Handshake()
	spent := w.stop()
	io.WriteString(t, "x") // makes the client read, and so process the session ticket
	io.Copy(io.Discard, t)
	return serverResult{spent, err}
}

// measureHandshake performs one handshake. The two sides compute alternately, never at the same
// time.
func measureHandshake(client, server *tls.Config) (h handshakeTime, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return h, err
	}
	defer l.Close()
	served := make(chan serverResult, 1)
	go func() { served <- serveHandshake(l, server) }()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return h, err
	}
	defer raw.Close()
	w := newStopwatch(raw)
	t := tls.Client(w, client)
	if err := t.Handshake(); err != nil {
		return h, err
	}
	h.client = w.stop()
	if _, err := io.ReadFull(t, make([]byte, 1)); err != nil {
		return h, err
	}
	h.resumed = t.ConnectionState().DidResume
	t.Close()
	raw.Close()
	s := <-served
	h.server = s.microseconds
	return h, s.err
}
