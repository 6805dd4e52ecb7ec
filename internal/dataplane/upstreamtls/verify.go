package upstreamtls

import (
	"bytes"
	"crypto/sha256"
	"crypto/x509"
	"errors"
	"fmt"
	"time"

	"croftlock/internal/operations/certs"
)

// OwnFault is what is wrong with the proxy's own files now; nil: nothing.
func (m *Material) OwnFault(now time.Time) *Failure {
	if m.authorities == 0 {
		return &Failure{Reason: OwnTrustUnusable, Step: "queue", Err: errors.New("no authority is trusted")}
	}
	for _, l := range m.revocations {
		if now.After(l.until) {
			return &Failure{Reason: OwnTrustUnusable, Step: "queue", Err: fmt.Errorf("the revocation list %s ran out %s", l.file, l.until.UTC().Format(time.RFC3339))}
		}
	}
	if m.certificate != nil && now.After(m.certificateEnd) {
		return &Failure{Reason: OwnCertificateExpired, Step: "queue", Err: fmt.Errorf("%s ended %s", m.options.Certificate, m.certificateEnd.UTC().Format(time.RFC3339))}
	}
	return nil
}

// Verify gives until when a host that shows these certificates counts as the one of that name; an error: it does not. A chain's signatures are
// verified once for each epoch and name; its times every time.
func (m *Material) Verify(shown []*x509.Certificate, name Name, now time.Time) (time.Time, error) {
	if len(shown) == 0 {
		return time.Time{}, newFailure(NoCertificate, "the host showed none")
	}
	key := verifiedChain{name: name}
	sum := sha256.New()
	for _, c := range shown {
		sum.Write(c.Raw)
	}
	sum.Sum(key.chain[:0])
	m.mu.Lock()
	s, ok := m.verified[key]
	m.mu.Unlock()
	if ok && !now.Before(s.from) && !now.After(s.until) {
		return s.until, nil
	}
	s, err := m.verify(shown, name, now)
	if err != nil {
		return time.Time{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.verified) >= maxVerified {
		clear(m.verified) // they are verified again
	}
	m.verified[key] = s
	return s.until, nil
}

// verify verifies a chain without the cache.
func (m *Material) verify(shown []*x509.Certificate, name Name, now time.Time) (validity, error) {
	leaf := shown[0]
	if w := certs.Weakness(leaf); w != "" {
		return validity{}, newFailure(WeakKey, "%s: %s", leaf.Subject, w)
	}
	intermediates := x509.NewCertPool()
	for _, c := range shown[1:] {
		intermediates.AddCert(c)
	}
	chains, err := leaf.Verify(x509.VerifyOptions{Roots: m.roots, Intermediates: intermediates, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	if err != nil {
		early := false
		for _, c := range shown {
			early = early || now.Before(c.NotBefore)
		}
		return validity{}, certificateFault(err, leaf, early)
	}
	if leaf.KeyUsage != 0 && leaf.KeyUsage&x509.KeyUsageDigitalSignature == 0 {
		return validity{}, newFailure(WrongUsage, "%s may not sign handshakes", leaf.Subject)
	}
	if err := hasName(leaf, name); err != nil {
		return validity{}, err
	}
	// One valid chain is enough; without one the reason is that of the last.
	for _, chain := range chains {
		var s validity
		if s, err = m.judge(chain); err == nil {
			return s, nil
		}
	}
	return validity{}, err
}

// hasName gives an error where a certificate is not for a name.
func hasName(leaf *x509.Certificate, name Name) error {
	if !name.IsURI {
		if err := leaf.VerifyHostname(name.Text); err != nil {
			return certificateFault(err, leaf, false)
		}
		return nil
	}
	for _, u := range leaf.URIs {
		if u.String() == name.Text {
			return nil
		}
	}
	return newFailure(WrongName, "certificate for the URIs %v, expected %s", leaf.URIs, name.Text)
}

// judge looks at a chain whose signatures are valid: its times, keys and revocations.
func (m *Material) judge(chain []*x509.Certificate) (validity, error) {
	s := validity{chain[0].NotBefore, chain[0].NotAfter}
	for i, c := range chain {
		if c.NotBefore.After(s.from) {
			s.from = c.NotBefore
		}
		s.until = earlier(s.until, c.NotAfter)
		if w := certs.Weakness(c); w != "" {
			return s, newFailure(WeakKey, "%s: %s", c.Subject, w)
		}
		if i+1 == len(chain) {
			break
		}
		for _, l := range m.revocations {
			if bytes.Equal(l.issuer, c.RawIssuer) && (len(l.keyID) == 0 || bytes.Equal(l.keyID, chain[i+1].SubjectKeyId)) &&
				l.revoked[c.SerialNumber.String()] {
				return s, newFailure(Revoked, "%s, serial %x, by %s", c.Subject, c.SerialNumber, l.file)
			}
		}
	}
	return s, nil
}
