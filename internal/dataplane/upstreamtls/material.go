package upstreamtls

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"hash"
	"sync"
	"time"

	"croftlock/internal/operations/certs"
)

// Material is the content of the files, complete and consistent. It never changes; a replacement is another Material of a higher epoch, and what
// was verified or cached in one epoch does not count in another.
type Material struct {
	Epoch               uint64
	NotAfter            time.Time // when the first part that all connections need ends: the own certificate, a revocation list
	digest              [sha256.Size]byte
	options             Options
	roots               *x509.CertPool
	authorities         int
	revocations         []revocationList
	certificate         *tls.Certificate
	certificateNotAfter time.Time

	mu       sync.Mutex
	verified map[verifiedChain]validity
}

// revocationList is a revocation list, whose signature was verified.
type revocationList struct {
	file       string
	issuer     []byte // raw subject
	keyID      []byte
	nextUpdate time.Time
	revoked    map[string]bool // by serial
}

// verifiedChain is a chain as it was shown, with the name it was verified for.
type verifiedChain struct {
	name        Name
	chainDigest [sha256.Size]byte
}

// validity is the time within which a verification is valid.
type validity struct{ from, until time.Time }

// maxVerifiedChains bounds the verified chains that are cached; a host shows one, or two in a rotation.
const maxVerifiedChains = 1024

// Load reads all files. It gives all that is wrong with them, in one error.
func Load(o Options, epoch uint64) (*Material, error) {
	l := &loader{material: &Material{Epoch: epoch, options: o, roots: x509.NewCertPool(), verified: map[verifiedChain]validity{}}, digest: sha256.New()}
	for _, path := range o.Trust {
		l.loadBundle(path)
	}
	l.material.authorities = len(l.roots)
	for _, path := range o.CRLs {
		l.loadRevocations(path)
	}
	if o.Certificate != "" {
		l.loadCertificate(o)
	}
	l.digest.Sum(l.material.digest[:0])
	if len(l.faults) > 0 {
		return nil, errors.Join(l.faults...)
	}
	return l.material, nil
}

// loader collects material and all that is wrong with it.
type loader struct {
	material *Material
	roots    []*x509.Certificate
	digest   hash.Hash // of all files, in their order
	faults   []error
}

func (l *loader) addFault(err error) { l.faults = append(l.faults, err) }

func (l *loader) read(path string) []byte {
	data, err := certs.ReadFile(path)
	if err != nil {
		l.addFault(err)
	}
	l.digest.Write(data)
	return data
}

// loadBundle loads the authorities of a file.
func (l *loader) loadBundle(path string) {
	data := l.read(path)
	if data == nil {
		return
	}
	bundle, err := certs.ParseBundle(path, data)
	if err != nil {
		l.addFault(err)
	}
	for _, c := range bundle {
		if !c.IsCA {
			l.addFault(fmt.Errorf("%s: %s is no authority's certificate", path, c.Subject))
		} else if weakness := certs.Weakness(c); weakness != "" {
			l.addFault(fmt.Errorf("%s: %s: %s", path, c.Subject, weakness))
		}
		l.material.roots.AddCert(c)
		l.roots = append(l.roots, c)
	}
}

// loadRevocations loads the revocation lists of a file.
func (l *loader) loadRevocations(path string) {
	data := l.read(path)
	if data == nil {
		return
	}
	lists, err := parseRevocationLists(path, data, l.roots)
	if err != nil {
		l.addFault(err)
	}
	l.material.revocations = append(l.material.revocations, lists...)
	for _, list := range lists {
		l.material.limitNotAfter(list.nextUpdate)
	}
}

// loadCertificate loads the proxy's own certificate and key.
func (l *loader) loadCertificate(o Options) {
	l.read(o.Certificate)
	pair, err := certs.LoadPair(o.Certificate, o.Key, o.KeyPasswordFile)
	if err != nil {
		l.addFault(err)
		return
	}
	if weakness := certs.Weakness(pair.Cert); weakness != "" {
		l.addFault(fmt.Errorf("%s: %s", o.Certificate, weakness))
		return
	}
	if !hasExtKeyUsage(pair.Cert, x509.ExtKeyUsageClientAuth) {
		l.addFault(fmt.Errorf("%s: not for clients, which the proxy is to its hosts", o.Certificate))
		return
	}
	m := l.material
	m.certificate = &tls.Certificate{PrivateKey: pair.Key, Leaf: pair.Cert, Certificate: [][]byte{pair.Cert.Raw}}
	m.certificateNotAfter = pair.Cert.NotAfter
	for _, c := range pair.Chain {
		m.certificate.Certificate = append(m.certificate.Certificate, c.Raw)
		m.certificateNotAfter = earlier(m.certificateNotAfter, c.NotAfter)
	}
	m.limitNotAfter(m.certificateNotAfter)
}

// limitNotAfter notes the end of something that all connections need.
func (m *Material) limitNotAfter(t time.Time) {
	if m.NotAfter.IsZero() || t.Before(m.NotAfter) {
		m.NotAfter = t
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func hasExtKeyUsage(c *x509.Certificate, use x509.ExtKeyUsage) bool {
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

// parseRevocationLists reads revocation lists, in PEM or DER. A list counts only under the signature of an authority in trust.
func parseRevocationLists(path string, data []byte, roots []*x509.Certificate) ([]revocationList, error) {
	var lists []revocationList
	for len(bytes.TrimSpace(data)) > 0 {
		der := data
		if block, rest := pem.Decode(data); block != nil {
			der, data = block.Bytes, rest
		} else {
			data = nil
		}
		crl, err := x509.ParseRevocationList(der)
		if err != nil {
			return lists, fmt.Errorf("%s: revocation list %d: %v", path, len(lists)+1, err)
		}
		l := revocationList{file: path, issuer: crl.RawIssuer, keyID: crl.AuthorityKeyId, nextUpdate: crl.NextUpdate, revoked: map[string]bool{}}
		signed := false
		for _, c := range roots {
			signed = signed || bytes.Equal(c.RawSubject, crl.RawIssuer) && crl.CheckSignatureFrom(c) == nil
		}
		if !signed {
			return lists, fmt.Errorf("%s: revocation list %d of %s is signed by none of the trusted authorities", path, len(lists)+1, crl.Issuer)
		}
		if l.nextUpdate.IsZero() {
			return lists, fmt.Errorf("%s: revocation list %d does not say until when it holds", path, len(lists)+1)
		}
		for _, e := range crl.RevokedCertificateEntries {
			l.revoked[e.SerialNumber.String()] = true
		}
		lists = append(lists, l)
	}
	if len(lists) == 0 {
		return nil, fmt.Errorf("%s: no revocation list in it", path)
	}
	return lists, nil
}
