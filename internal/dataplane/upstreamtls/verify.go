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

// OwnFault returns the failure of every handshake because of the proxy's own files: no trusted authority, or
// an expired revocation list or certificate. It returns nil if the files can be used at time now.
func (m *Material) OwnFault(now time.Time) *Failure {
	if m.authorities == 0 {
		return &Failure{Reason: OwnTrustUnusable, Step: "queue", Err: errors.New("no authority is trusted")}
	}
	for _, l := range m.revocations {
		if now.After(l.nextUpdate) {
			return &Failure{Reason: OwnTrustUnusable, Step: "queue", Err: fmt.Errorf("the revocation list %s expired at %s", l.file, l.nextUpdate.UTC().Format(time.RFC3339))}
		}
	}
	if m.certificate != nil && now.After(m.certificateNotAfter) {
		return &Failure{Reason: OwnCertificateExpired, Step: "queue", Err: fmt.Errorf("%s expired at %s", m.options.Certificate, m.certificateNotAfter.UTC().Format(time.RFC3339))}
	}
	return nil
}

// Verify verifies the chain that a host presented, leaf first, for a name, and returns until when it is
// valid. The signatures of a chain are verified once for each Material and name; its period of validity is
// checked every time. Verify may be called from any goroutine.
func (m *Material) Verify(presented []*x509.Certificate, name Name, now time.Time) (time.Time, error) {
	if len(presented) == 0 {
		return time.Time{}, newCertificateFailure(NoCertificate, "the host presented no certificate")
	}
	key := verifiedChain{name: name}
	sum := sha256.New()
	for _, c := range presented {
		sum.Write(c.Raw)
	}
	sum.Sum(key.chainDigest[:0])
	m.mu.Lock()
	valid, ok := m.verified[key]
	m.mu.Unlock()
	if ok && !now.Before(valid.from) && !now.After(valid.until) {
		return valid.until, nil
	}
	valid, err := m.verify(presented, name, now)
	if err != nil {
		return time.Time{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.verified) >= maxVerifiedChains {
		clear(m.verified) // they are verified again when needed
	}
	m.verified[key] = valid
	return valid.until, nil
}

// verify verifies a chain without using the cache.
func (m *Material) verify(presented []*x509.Certificate, name Name, now time.Time) (validity, error) {
	leaf := presented[0]
	if w := certs.Weakness(leaf); w != "" {
		return validity{}, newCertificateFailure(WeakKey, "%s: %s", leaf.Subject, w)
	}
	intermediates := x509.NewCertPool()
	for _, c := range presented[1:] {
		intermediates.AddCert(c)
	}
	chains, err := leaf.Verify(x509.VerifyOptions{Roots: m.roots, Intermediates: intermediates, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}})
	if err != nil {
		notYetValid := false
		for _, c := range presented {
			notYetValid = notYetValid || now.Before(c.NotBefore)
		}
		return validity{}, classifyVerifyError(err, leaf, notYetValid)
	}
	if leaf.KeyUsage != 0 && leaf.KeyUsage&x509.KeyUsageDigitalSignature == 0 {
		return validity{}, newCertificateFailure(WrongUsage, "%s may not sign handshakes", leaf.Subject)
	}
	if err := verifyName(leaf, name); err != nil {
		return validity{}, err
	}
	// One valid chain is enough. If there is none, the error is that of the last.
	for _, chain := range chains {
		var valid validity
		if valid, err = m.checkChain(chain); err == nil {
			return valid, nil
		}
	}
	return validity{}, err
}

// verifyName returns an error if leaf is not issued for name. A URI must match exactly.
func verifyName(leaf *x509.Certificate, name Name) error {
	if !name.IsURI {
		if err := leaf.VerifyHostname(name.Text); err != nil {
			return classifyVerifyError(err, leaf, false)
		}
		return nil
	}
	for _, u := range leaf.URIs {
		if u.String() == name.Text {
			return nil
		}
	}
	return newCertificateFailure(WrongName, "certificate for the URIs %v, expected %s", leaf.URIs, name.Text)
}

// checkChain checks the keys and revocations of a chain whose signatures are valid, and returns the
// period in which all its certificates are valid.
func (m *Material) checkChain(chain []*x509.Certificate) (validity, error) {
	valid := validity{chain[0].NotBefore, chain[0].NotAfter}
	for i, c := range chain {
		if c.NotBefore.After(valid.from) {
			valid.from = c.NotBefore
		}
		valid.until = earlier(valid.until, c.NotAfter)
		if w := certs.Weakness(c); w != "" {
			return valid, newCertificateFailure(WeakKey, "%s: %s", c.Subject, w)
		}
		if i+1 == len(chain) {
			break // the root is trusted; revocation lists are checked only for certificates issued in the chain
		}
		for _, l := range m.revocations {
			if bytes.Equal(l.issuer, c.RawIssuer) && (len(l.keyID) == 0 || bytes.Equal(l.keyID, chain[i+1].SubjectKeyId)) &&
				l.revoked[c.SerialNumber.String()] {
				return valid, newCertificateFailure(Revoked, "%s, serial %x, by %s", c.Subject, c.SerialNumber, l.file)
			}
		}
	}
	return valid, nil
}
