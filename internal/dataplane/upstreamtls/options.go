// Package upstreamtls opens TLS connections from the proxy to its upstream hosts. It loads and reloads
// the files (trust bundles, revocation lists, the proxy's certificate and key), verifies the hosts'
// certificates, caches sessions, runs the handshakes, and implements the record layer that netio drives
// on the loop. Package handshake decides when a handshake may start.
//
// Handshakes run on a fixed set of worker goroutines, on blocking sockets. An established connection is
// driven on the loop and has no goroutine. There is no fallback to plain text: a failed handshake ends
// as a connection that was never established, before a byte of any request was written.
package upstreamtls

import (
	"crypto/tls"
	"strings"
	"time"

	"croftlock/internal/dataplane/certexpiry"
	"croftlock/internal/dataplane/handshake"
	"croftlock/internal/operations/settings"
)

// Options are the settings of the section "tls". Files are specified by their paths; an empty path means
// that there is none.
type Options struct {
	Enabled                           bool
	Trust, CRLs                       []string
	Certificate, Key, KeyPasswordFile string
	MinVersion                        string            // oldest accepted version of TLS: "1.2" or "1.3"
	Pattern, URI                      string            // pattern of the name in a host's certificate; at most one is set
	Names                             map[string]string // names by the host's ID (uid); take precedence over the pattern
	KeyExchange                       []string          // keys of keyExchanges, the preferred first
	ResumeSessions                    bool
	MaxSessions                       int               // cached sessions of all hosts together
	Expiry                            certexpiry.Policy // migrations before a certificate expires
	OnExpiry                          string            // "keep", or "move" to migrate connections before a certificate expires
	Handshakes                        handshake.Limits
}

// Defaults returns the options without a settings file. TLS is off, and each other option has its safer
// value if it has one.
func Defaults() Options {
	o := Options{MinVersion: "1.3", KeyExchange: []string{"x25519mlkem768", "x25519"}, ResumeSessions: true, MaxSessions: 256,
		OnExpiry: "keep", Expiry: certexpiry.Policy{Before: 10 * time.Minute, MaxSharePerMinute: 0.1}, Handshakes: handshake.Defaults()}
	o.Handshakes.MaxInFlight = 8
	return o
}

// keyExchanges maps the words of the settings file to key exchanges.
var keyExchanges = map[string]tls.CurveID{"x25519mlkem768": tls.X25519MLKEM768, "x25519": tls.X25519, "p256": tls.CurveP256,
	"p384": tls.CurveP384}

// Section returns the section "tls" of the settings file. Its value is an Options.
func Section() settings.Section {
	return settings.Section{Name: "tls", Doc: "TLS to upstream hosts", Bind: func(f *settings.FieldSet) any {
		o := Defaults()
		f.Bool("servers", "whether upstream hosts are reached by TLS; there is no fallback", &o.Enabled)
		f.Paths("trust", "bundles of the authorities that sign hosts' certificates", &o.Trust)
		f.Paths("crl", "lists of certificates taken back; one that has run out counts as no list: nothing passes", &o.CRLs)
		f.Path("certificate", "the proxy's own certificate with its chain, shown to hosts", &o.Certificate)
		f.Path("key", "its key, readable by its owner alone", &o.Key)
		f.Path("key-password-file", "file with the key's password, readable by its owner alone", &o.KeyPasswordFile)
		f.Enum("min-version", "oldest version of TLS that is spoken", &o.MinVersion, "1.3", "1.2")
		f.Group("name", "the name that a host's certificate must bear", func(f *settings.FieldSet) {
			want := "a pattern of {uid}, {zone}, {host} and plain text, with {uid} or {host} in it"
			f.Text("pattern", "a DNS name or address", want, &o.Pattern, func(s string) bool { return isValidPattern(s) && !strings.Contains(s, "/") })
			f.Text("uri", "a URI name", want+", beginning with scheme://", &o.URI, func(s string) bool {
				return isValidPattern(s) && strings.Index(s, "://") > 0
			})
			f.Pairs("map", "names of single hosts by uid, before the pattern", `("uid" "name")`, &o.Names,
				func(k, v string) bool { return k != "" && v != "" && !strings.ContainsAny(v, "{} ") })
			if o.Pattern != "" && o.URI != "" {
				f.AddFault("uri", "both a pattern and a uri, expected one of them")
			}
		})
		f.Enums("key-exchange", "key exchanges, the preferred first", &o.KeyExchange, "x25519mlkem768", "x25519", "p256", "p384")
		f.Bool("reuse", "whether sessions are resumed", &o.ResumeSessions)
		f.Int("sessions", "sessions kept, of all hosts together", &o.MaxSessions, 1, 100000)
		f.Enum("on-expiry", "what becomes of standing connections when a certificate ends", &o.OnExpiry, "keep", "move")
		f.Duration("move-before", "how long before the end moving begins", &o.Expiry.Before, time.Second, 30*24*time.Hour)
		f.Percent("move-share", "connections moved in a minute at most", &o.Expiry.MaxSharePerMinute, 0.001, 1)
		o.Expiry.MigrationEnabled = o.OnExpiry == "move"
		f.Group("handshakes", "what handshakes may take", func(f *settings.FieldSet) {
			h := &o.Handshakes
			f.Percent("cpu", "part of one core", &h.CPUShare, 0.01, 1)
			rate, host := int(h.Rate), int(h.HostRate)
			f.Int("rate", "full handshakes a second", &rate, 1, 100000)
			f.Int("host-rate", "full handshakes a second with one host", &host, 1, 100000)
			h.Rate, h.HostRate = float64(rate), float64(host)
			f.Int("at-once", "handshakes out; each holds a worker and a descriptor", &h.MaxInFlight, 1, 128)
			f.Int("host-at-once", "handshakes out with one host", &h.MaxInFlightPerHost, 1, 128)
			f.Int("queue", "requests that wait", &h.MaxQueued, 1, 100000)
			f.Duration("burst", "how long unused budget is saved", &h.Burst, time.Millisecond, 10*time.Second)
		})
		if o.Enabled && len(o.Trust) == 0 {
			f.AddFault("servers", "tls to servers without trust, expected (trust \"bundle.pem\" ...)")
		}
		if o.Enabled && o.Pattern == "" && o.URI == "" && len(o.Names) == 0 {
			f.AddFault("servers", "tls to servers without a name to expect, expected (name (pattern \"...\"))")
		}
		if (o.Certificate == "") != (o.Key == "") {
			f.AddFault("key", "a certificate without its key or a key without its certificate, expected both")
		}
		if o.KeyPasswordFile != "" && o.Key == "" {
			f.AddFault("key-password-file", "a password for no key, expected (key ...) too")
		}
		return o
	}}
}

// isValidPattern reports whether s has only known placeholders, at least one that distinguishes hosts,
// and no space or tab.
func isValidPattern(s string) bool {
	distinct := strings.Contains(s, "{uid}") || strings.Contains(s, "{host}")
	rest := strings.NewReplacer("{uid}", "", "{zone}", "", "{host}", "").Replace(s)
	return distinct && !strings.ContainsAny(rest, "{} \t")
}

// Files returns the paths of all files that the options name.
func (o *Options) Files() []string {
	files := append(append([]string{}, o.Trust...), o.CRLs...)
	for _, f := range []string{o.Certificate, o.Key, o.KeyPasswordFile} {
		if f != "" {
			files = append(files, f)
		}
	}
	return files
}

// Name is the name that a host's certificate must contain.
type Name struct {
	Text  string // a DNS name, an IP address or a URI
	IsURI bool
}

// ExpectedName returns the name that the certificate of a host must contain. ok is false if the options
// specify none, or if the pattern has a placeholder whose value is empty; no certificate is accepted
// then.
func (o *Options) ExpectedName(uid, zone, host string) (name Name, ok bool) {
	if n := o.Names[uid]; n != "" {
		return Name{n, strings.Contains(n, "://")}, true
	}
	pattern := o.Pattern + o.URI
	if pattern == "" {
		return Name{}, false
	}
	for _, p := range [][2]string{{"{uid}", uid}, {"{zone}", zone}, {"{host}", host}} {
		if strings.Contains(pattern, p[0]) && p[1] == "" {
			return Name{}, false
		}
	}
	return Name{strings.NewReplacer("{uid}", uid, "{zone}", zone, "{host}", host).Replace(pattern), o.URI != ""}, true
}
