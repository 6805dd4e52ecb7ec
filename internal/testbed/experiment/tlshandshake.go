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

// measureHandshakeTimes measures each side of a handshake by itself: the time that it computes, without its waits for the other side.
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
	for _, x := range []struct {
		name string
		id   tls.CurveID
	}{{"x25519mlkem768", tls.X25519MLKEM768}, {"x25519", tls.X25519}, {"p256", tls.CurveP256}} {
		for _, resumed := range []bool{false, true} {
			client := &tls.Config{ServerName: "s1.lab", RootCAs: pki.Trusted.Pool(), CurvePreferences: []tls.CurveID{x.id}}
			client.ClientSessionCache = sessionCache(resumed)
			clients, servers, err := repeatHandshake(client, server, resumed)
			if err != nil {
				return err
			}
			kind := "full"
			if resumed {
				kind = "resumed"
			}
			r.AddRow(title, x.name, kind, clients.formatQuantiles(0), servers.formatQuantiles(0))
		}
	}
	return measureVerification(r, pki)
}

// sessionCache is a client's cache of sessions; none: it never resumes.
func sessionCache(resumed bool) tls.ClientSessionCache {
	if !resumed {
		return nil
	}
	return tls.NewLRUClientSessionCache(1)
}

// repeatHandshake are the microseconds of each side of 300 handshakes, after some that fill caches.
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

// measureVerification measures the measureVerification of a chain: the first time, and from the cache.
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

// stopwatch is a connection that measures for how long its owner computes between reads and writes.
type stopwatch struct {
	net.Conn
	computingSince time.Time     // since when the owner computes
	computed       time.Duration // so far
}

func newStopwatch(c net.Conn) *stopwatch { return &stopwatch{Conn: c, computingSince: time.Now()} }

// stop returns the computing time so far, in microseconds.
func (w *stopwatch) stop() float64 {
	w.computed += time.Since(w.computingSince)
	return float64(w.computed) / 1e3
}

// Read reads, and does not count the time of that.
func (w *stopwatch) Read(p []byte) (int, error) {
	w.computed += time.Since(w.computingSince)
	n, err := w.Conn.Read(p)
	w.computingSince = time.Now()
	return n, err
}

// Write writes, and does not count the time of that.
func (w *stopwatch) Write(p []byte) (int, error) {
	w.computed += time.Since(w.computingSince)
	n, err := w.Conn.Write(p)
	w.computingSince = time.Now()
	return n, err
}

// handshakeTime is the computing time of each side of one handshake, in microseconds.
type handshakeTime struct {
	client, server float64
	resumed        bool
}

// serverResult is the result of the server's side.
type serverResult struct {
	microseconds float64
	err          error
}

// serveHandshake completes one handshake, and waits for the client to close the connection.
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
	io.WriteString(t, "x") // has the client read, and thereby process the ticket
	io.Copy(io.Discard, t)
	return serverResult{spent, err}
}

// measureHandshake measures one handshake. The sides compute in turn, never at the same time.
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
