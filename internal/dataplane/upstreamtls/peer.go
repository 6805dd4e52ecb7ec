package upstreamtls

import (
	"crypto/tls"
	"sync/atomic"
	"time"
)

// tlsPeer is how to connect to one host in one epoch. It is made once and shared by all handshakes with the host.
type tlsPeer struct {
	key             sessionKey
	material        *Material
	config          *tls.Config
	cache           *sessionCache
	wallClock       func() time.Time
	chainValidUntil atomic.Int64 // of the chain that was last verified, Unix nanoseconds
}

func newTLSPeer(m *Material, uid string, name Name, cache *sessionCache, wallClock func() time.Time) *tlsPeer {
	p := &tlsPeer{key: sessionKey{uid, name, m.Epoch}, material: m, cache: cache, wallClock: wallClock}
	p.config = &tls.Config{
		Time:       wallClock,
		MinVersion: tls.VersionTLS13,
		// Verification is this package's own: see verify, which runs on every handshake, resumed ones included. Go's would
		// know neither URI names nor revocation lists, and would look for a host name in a resumed session's chain that
		// was verified for a URI.
		InsecureSkipVerify: true,
		VerifyConnection:   p.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if m.certificate == nil {
				return &tls.Certificate{}, nil // the host decides whether it needs one
			}
			return m.certificate, nil
		},
		// Lines are short: a record each, not several for the longer ones.
		DynamicRecordSizingDisabled: true,
		Renegotiation:               tls.RenegotiateNever,
	}
	if !name.IsURI {
		p.config.ServerName = name.Text
	}
	if m.options.MinVersion == "1.2" {
		p.config.MinVersion = tls.VersionTLS12
	}
	for _, x := range m.options.KeyExchange {
		p.config.CurvePreferences = append(p.config.CurvePreferences, keyExchanges[x])
	}
	if m.options.ResumeSessions {
		p.config.ClientSessionCache = p
	} else {
		p.config.SessionTicketsDisabled = true
	}
	return p
}

// verify judges the host's certificates, in every handshake.
func (p *tlsPeer) verify(cs tls.ConnectionState) error {
	until, err := p.material.Verify(cs.PeerCertificates, p.key.name, p.wallClock())
	if err == nil {
		p.chainValidUntil.Store(until.UnixNano())
	}
	return err
}

// Get and Put make it the cache of its own sessions: what crypto/tls would take for the key is a name or an address,
// which two hosts or two epochs can share.
func (p *tlsPeer) Get(string) (*tls.ClientSessionState, bool) {
	s := p.cache.get(p.key, p.wallClock())
	return s, s != nil
}

// Put caches a session that the host has offered.
func (p *tlsPeer) Put(_ string, s *tls.ClientSessionState) {
	p.cache.put(p.key, s, time.Unix(0, p.chainValidUntil.Load()))
}

// resumable reports whether there is a session to resume.
func (p *tlsPeer) resumable() bool {
	return p.config.ClientSessionCache != nil && p.cache.get(p.key, p.wallClock()) != nil
}

// notAfter is when the first certificate of either side of a new connection notAfter.
func (p *tlsPeer) notAfter() time.Time {
	t := time.Unix(0, p.chainValidUntil.Load())
	if p.material.certificate != nil {
		t = earlier(t, p.material.certificateNotAfter)
	}
	return t
}
