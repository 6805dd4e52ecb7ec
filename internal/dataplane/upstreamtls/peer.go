package upstreamtls

import (
	"crypto/tls"
	"sync/atomic"
	"time"
)

// tlsPeer is the TLS configuration for one host with one Material, the loaded files of one epoch. All
// handshakes with the host share it.
type tlsPeer struct {
	key             sessionKey
	material        *Material
	config          *tls.Config
	cache           *sessionCache
	wallClock       func() time.Time
	chainValidUntil atomic.Int64 // end of the last verified chain, in Unix nanoseconds
}

// newTLSPeer returns the configuration for the host with the ID uid, whose certificate must contain name.
func newTLSPeer(m *Material, uid string, name Name, cache *sessionCache, wallClock func() time.Time) *tlsPeer {
	p := &tlsPeer{key: sessionKey{uid, name, m.Epoch}, material: m, cache: cache, wallClock: wallClock}
	p.config = &tls.Config{
		Time:       wallClock,
		MinVersion: tls.VersionTLS13,
		// This package verifies certificates itself, in verify, on every handshake, including resumed ones.
		// crypto/tls checks neither URI names nor revocation lists, and would look for a host name in the
		// chain of a resumed session that was verified for a URI.
		InsecureSkipVerify: true,
		VerifyConnection:   p.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if m.certificate == nil {
				return &tls.Certificate{}, nil // the host decides whether it needs one
			}
			return m.certificate, nil
		},
		// Lines are short and fit one record each. With dynamic sizing crypto/tls would split a longer
		// line into several records.
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

// verify verifies the host's certificates. crypto/tls calls it in every handshake, including resumed ones.
func (p *tlsPeer) verify(cs tls.ConnectionState) error {
	until, err := p.material.Verify(cs.PeerCertificates, p.key.name, p.wallClock())
	if err == nil {
		p.chainValidUntil.Store(until.UnixNano())
	}
	return err
}

// Get returns the cached session for this peer. With Put it implements tls.ClientSessionCache. The key of
// crypto/tls is ignored: it is a name or an address, which two hosts or two epochs can share.
func (p *tlsPeer) Get(string) (*tls.ClientSessionState, bool) {
	s := p.cache.get(p.key, p.wallClock())
	return s, s != nil
}

// Put caches a session that the host has offered. A nil session removes the cached one.
func (p *tlsPeer) Put(_ string, s *tls.ClientSessionState) {
	p.cache.put(p.key, s, time.Unix(0, p.chainValidUntil.Load()))
}

// resumable reports whether the next handshake can resume a cached session.
func (p *tlsPeer) resumable() bool {
	return p.config.ClientSessionCache != nil && p.cache.get(p.key, p.wallClock()) != nil
}

// notAfter returns the earliest end of validity among the certificates of both sides of a new connection.
func (p *tlsPeer) notAfter() time.Time {
	t := time.Unix(0, p.chainValidUntil.Load())
	if p.material.certificate != nil {
		t = earlier(t, p.material.certificateNotAfter)
	}
	return t
}
