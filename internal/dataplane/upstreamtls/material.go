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

// Material is the complete and consistent content of the trust bundles, revocation lists, certificate and
// key that the options name. It never changes, except for its cache of verifications. When the files
// change, another Material with a higher epoch replaces it. Verifications and sessions of one epoch are not
// valid in another.
type Material struct {
	Epoch               uint64            // the number of this version of the files
	NotAfter            time.Time         // the earliest end of the proxy's certificate and the revocation lists; zero if there is neither
	digest              [sha256.Size]byte // of the trust bundles, revocation lists and certificate; the key must match the certificate
	options             Options           // those with which it was loaded
	roots               *x509.CertPool
	authorities         int // number of certificates in roots
	revocations         []revocationList
	certificate         *tls.Certificate // the proxy's own; nil if it has none
	certificateNotAfter time.Time        // the earliest end of the proxy's certificate chain

	mu       sync.Mutex // guards verified
	verified map[verifiedChain]validity
}

// revocationList is a certificate revocation list whose signature was verified.
type revocationList struct {
	file       string
	issuer     []byte // raw subject of the authority
	keyID      []byte // key identifier of the authority; may be empty
	nextUpdate time.Time
	revoked    map[string]bool // by decimal serial number
}

// verifiedChain is the key of a cached verification: the presented chain and the name it was verified for.
type verifiedChain struct {
	name        Name
	chainDigest [sha256.Size]byte // of the raw certificates, in the order presented
}

// validity is the period in which a verified chain is valid, both ends included.
type validity struct{ from, until time.Time }

// maxVerifiedChains is the maximum number of cached verifications. A host presents one chain, or two
// during a rotation.
const maxVerifiedChains = 1024

// Load reads all files that o names and returns their content as Material of the given epoch. Its error
// joins all faults found in them.
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

// loader collects the material and the faults found while loading it.
type loader struct {
	material *Material
	roots    []*x509.Certificate
	digest   hash.Hash // becomes Material.digest; of the files in the order read
	faults   []error
}

// addFault adds a fault to those that Load returns.
func (l *loader) addFault(err error) { l.faults = append(l.faults, err) }

// readFile returns the content of a file and adds it to the digest. After an error it returns nil and
// adds the error to the faults.
func (l *loader) readFile(path string) []byte {
	data, err := certs.ReadFile(path)
	if err != nil {
		l.addFault(err)
	}
	l.digest.Write(data)
	return data
}

// loadBundle loads the trusted authorities' certificates in a file.
func (l *loader) loadBundle(path string) {
	data := l.readFile(path)
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

// loadRevocations loads the revocation lists in a file. The bundles must be loaded before.
func (l *loader) loadRevocations(path string) {
	data := l.readFile(path)
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

// loadCertificate loads the proxy's own certificate chain and key. A weak certificate, or one that does not
// allow use by a client, is a fault.
func (l *loader) loadCertificate(o Options) {
	l.readFile(o.Certificate)
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

// limitNotAfter lowers m.NotAfter to t if t is earlier, or sets it if it is zero.
func (m *Material) limitNotAfter(t time.Time) {
	if m.NotAfter.IsZero() || t.Before(m.NotAfter) {
		m.NotAfter = t
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// hasExtKeyUsage reports whether c allows use. A certificate without extended key usages allows any.
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

// parseRevocationLists parses the revocation lists in data, in PEM or DER. It returns an error if there
// is none, or if one is not signed by an authority in roots or has no end of validity. path appears in
// errors.
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
			return lists, fmt.Errorf("%s: revocation list %d has no time of the next update", path, len(lists)+1)
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
