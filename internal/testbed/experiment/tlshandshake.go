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

// handshakeParts measures each side of a handshake apart, without a network: what a side computes between two waits.
func handshakeParts(r *Report) error {
	pki, err := fake.NewPki("s1.lab")
	if err != nil {
		return err
	}
	server, err := pki.Trusted.ForServer("s1.lab")
	if err != nil {
		return err
	}
	const title = "one handshake, microseconds that each side computes, median (10% to 90%) of 300"
	r.Columns(title, "key exchange", "kind", "client", "server")
	for _, x := range []struct {
		name string
		id   tls.CurveID
	}{{"x25519mlkem768", tls.X25519MLKEM768}, {"x25519", tls.X25519}, {"p256", tls.CurveP256}} {
		for _, resumed := range []bool{false, true} {
			client := &tls.Config{ServerName: "s1.lab", RootCAs: pki.Trusted.Pool(), CurvePreferences: []tls.CurveID{x.id}}
			if resumed {
				client.ClientSessionCache = tls.NewLRUClientSessionCache(1)
			}
			var c, s samples
			for i := range 330 {
				cu, su, did, err := oneHandshake(client, server)
				if err != nil {
					return err
				}
				if i >= 30 {
					if did != resumed {
						return fmt.Errorf("handshake %d: resumed %t, want %t", i, did, resumed)
					}
					c, s = append(c, cu), append(s, su)
				}
			}
			kind := "full"
			if resumed {
				kind = "resumed"
			}
			spread := func(x samples) string {
				return fmt.Sprintf("%.0f (%.0f to %.0f)", x.median(), x.quantile(0.1), x.quantile(0.9))
			}
			r.Row(title, x.name, kind, spread(c), spread(s))
		}
	}
	return verification(r, pki)
}

// verification is what looking at a chain takes by itself: Go's, and again once this proxy remembers it.
func verification(r *Report, pki *fake.Pki) error {
	leaf, err := pki.Trusted.Issue(certs.Spec{Hosts: []string{"s1.lab"}})
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "verify")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	trust, err := fake.SaveTrust(dir, pki.Trusted)
	if err != nil {
		return err
	}
	const title = "verification of one chain, microseconds, median (10% to 90%) of 300"
	r.Columns(title, "how", "time")
	var first, again samples
	for range 300 {
		m, err := upstreamtls.Load(upstreamtls.Options{Trust: []string{trust}}, 1)
		if err != nil {
			return err
		}
		for _, s := range []*samples{&first, &again} {
			began := time.Now()
			if _, err := m.Verify([]*x509.Certificate{leaf.Cert}, upstreamtls.Name{Text: "s1.lab"}, began); err != nil {
				return err
			}
			*s = append(*s, float64(time.Since(began))/1e3)
		}
	}
	r.Row(title, "first in its epoch", fmt.Sprintf("%.1f (%.1f to %.1f)", first.median(), first.quantile(0.1), first.quantile(0.9)))
	r.Row(title, "remembered", fmt.Sprintf("%.1f (%.1f to %.1f)", again.median(), again.quantile(0.1), again.quantile(0.9)))
	return nil
}

// stopwatch counts what its owner computes between waits.
type stopwatch struct {
	net.Conn
	mark  time.Time
	spent time.Duration
}

func (w *stopwatch) Read(p []byte) (int, error) {
	w.spent += time.Since(w.mark)
	n, err := w.Conn.Read(p)
	w.mark = time.Now()
	return n, err
}

func (w *stopwatch) Write(p []byte) (int, error) {
	w.spent += time.Since(w.mark)
	n, err := w.Conn.Write(p)
	w.mark = time.Now()
	return n, err
}

// oneHandshake gives the microseconds of the client and of the server. They never compute at the same time.
func oneHandshake(client, server *tls.Config) (c, s float64, resumed bool, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, false, err
	}
	defer l.Close()
	type side struct {
		us  float64
		err error
	}
	done := make(chan side, 1)
	go func() {
		raw, err := l.Accept()
		if err != nil {
			done <- side{0, err}
			return
		}
		defer raw.Close()
		w := &stopwatch{Conn: raw, mark: time.Now()}
		t := tls.Server(w, server)
		err = t.Handshake()
		w.spent += time.Since(w.mark)
		io.WriteString(t, "x") // with it the client reads the ticket
		io.Copy(io.Discard, t)
		done <- side{float64(w.spent) / 1e3, err}
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return 0, 0, false, err
	}
	w := &stopwatch{Conn: raw, mark: time.Now()}
	t := tls.Client(w, client)
	if err := t.Handshake(); err != nil {
		return 0, 0, false, err
	}
	w.spent += time.Since(w.mark)
	us := float64(w.spent) / 1e3
	if _, err := io.ReadFull(t, make([]byte, 1)); err != nil {
		return 0, 0, false, err
	}
	resumed = t.ConnectionState().DidResume
	t.Close()
	raw.Close()
	x := <-done
	return us, x.us, resumed, x.err
}
