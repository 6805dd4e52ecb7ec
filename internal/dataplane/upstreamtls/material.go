package upstreamtls

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"sync"
	"time"

	"croftlock/internal/operations/certs"
)

// Material is what was read from the files, whole and consistent. It never changes; a replacement is another one, of a
// higher epoch, and nothing verified or resumed under one epoch counts in another.
type Material struct {
	Epoch  uint64
	Ends   time.Time // when the first of it that all connections need runs out: the own certificate, a revocation list
	sum    [sha256.Size]byte
	opt    Options
	roots  *x509.CertPool
	count  int
	lists  []revocation
	own    *tls.Certificate
	ownEnd time.Time

	mu       sync.Mutex
	verified map[seenKey]span
}

// revocation is a revocation list, whose signature was verified.
type revocation struct {
	file    string
	issuer  []byte // raw subject
	keyID   []byte
	until   time.Time
	revoked map[string]bool // by serial
}

// seenKey is a chain as it was shown, with the name it was verified for.
type seenKey struct {
	name  Name
	chain [sha256.Size]byte
}

// span is the time within which a verification holds: the signatures do not change, the clock does.
type span struct{ from, until time.Time }

// maxVerified bounds what is remembered; a host shows one chain, or two in a rotation.
const maxVerified = 1024

// Load reads all files. It gives all that is wrong with them, in one error.
func Load(o Options, epoch uint64) (*Material, error) {
	m := &Material{Epoch: epoch, opt: o, roots: x509.NewCertPool(), verified: map[seenKey]span{}}
	var faults []error
	sum := sha256.New()
	read := func(path string) []byte {
		data, err := certs.ReadFile(path)
		if err != nil {
			faults = append(faults, err)
		}
		sum.Write(data)
		return data
	}
	var roots []*x509.Certificate
	for _, path := range o.Trust {
		data := read(path)
		if data == nil {
			continue
		}
		bundle, err := certs.ParseBundle(path, data)
		if err != nil {
			faults = append(faults, err)
		}
		for _, c := range bundle {
			if !c.IsCA {
				faults = append(faults, fmt.Errorf("%s: %s is no authority's certificate", path, c.Subject))
			} else if w := certs.Weakness(c); w != "" {
				faults = append(faults, fmt.Errorf("%s: %s: %s", path, c.Subject, w))
			}
			m.roots.AddCert(c)
			roots = append(roots, c)
		}
	}
	m.count = len(roots)
	for _, path := range o.CRLs {
		data := read(path)
		if data == nil {
			continue
		}
		lists, err := parseLists(path, data, roots)
		if err != nil {
			faults = append(faults, err)
		}
		m.lists = append(m.lists, lists...)
		for _, l := range lists {
			m.end(l.until)
		}
	}
	if o.Certificate != "" {
		read(o.Certificate)
		pair, err := certs.LoadPair(o.Certificate, o.Key, o.Password)
		if err != nil {
			faults = append(faults, err)
		} else if w := certs.Weakness(pair.Cert); w != "" {
			faults = append(faults, fmt.Errorf("%s: %s", o.Certificate, w))
		} else if !usable(pair.Cert, x509.ExtKeyUsageClientAuth) {
			faults = append(faults, fmt.Errorf("%s: not for clients, which the proxy is to its hosts", o.Certificate))
		} else {
			m.own = &tls.Certificate{PrivateKey: pair.Key, Leaf: pair.Cert, Certificate: [][]byte{pair.Cert.Raw}}
			m.ownEnd = pair.Cert.NotAfter
			for _, c := range pair.Chain {
				m.own.Certificate = append(m.own.Certificate, c.Raw)
				m.ownEnd = earlier(m.ownEnd, c.NotAfter)
			}
			m.end(m.ownEnd)
		}
	}
	sum.Sum(m.sum[:0])
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return m, nil
}

func (m *Material) end(t time.Time) {
	if m.Ends.IsZero() || t.Before(m.Ends) {
		m.Ends = t
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func usable(c *x509.Certificate, use x509.ExtKeyUsage) bool {
	if len(c.ExtKeyUsage) == 0 && len(c.UnknownExtKeyUsage) == 0 {
		return true
	}
	for _, u := range c.ExtKeyUsage {
		if u == use || u == x509.ExtKeyUsageAny {
			return true
		}
	}
	return false
}

// parseLists reads revocation lists, in PEM or DER. A list counts only under the signature of an authority in trust.
func parseLists(path string, data []byte, roots []*x509.Certificate) ([]revocation, error) {
	var out []revocation
	for len(bytes.TrimSpace(data)) > 0 {
		der := data
		if block, rest := pem.Decode(data); block != nil {
			der, data = block.Bytes, rest
		} else {
			data = nil
		}
		crl, err := x509.ParseRevocationList(der)
		if err != nil {
			return out, fmt.Errorf("%s: revocation list %d: %v", path, len(out)+1, err)
		}
		l := revocation{file: path, issuer: crl.RawIssuer, keyID: crl.AuthorityKeyId, until: crl.NextUpdate, revoked: map[string]bool{}}
		signed := false
		for _, c := range roots {
			signed = signed || bytes.Equal(c.RawSubject, crl.RawIssuer) && crl.CheckSignatureFrom(c) == nil
		}
		if !signed {
			return out, fmt.Errorf("%s: revocation list %d of %s is signed by none of the trusted authorities", path, len(out)+1, crl.Issuer)
		}
		if l.until.IsZero() {
			return out, fmt.Errorf("%s: revocation list %d does not say until when it holds", path, len(out)+1)
		}
		for _, e := range crl.RevokedCertificateEntries {
			l.revoked[e.SerialNumber.String()] = true
		}
		out = append(out, l)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no revocation list in it", path)
	}
	return out, nil
}
