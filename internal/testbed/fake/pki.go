package fake

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"

	"croftlock/internal/operations/certs"
)

// PKI is a trusted authority, one that is not trusted, and a revoked certificate.
type PKI struct {
	Trusted    *Authority
	Other      *Authority
	ServerName string // of the server, as the proxy expects it
	Revoked    *certs.Pair
}

// NewPKI makes a PKI for a server's name.
func NewPKI(name string) (*PKI, error) {
	p := &PKI{ServerName: name}
	var err, err2, err3 error
	p.Trusted, err = NewAuthority("trusted")
	p.Other, err2 = NewAuthority("other")
	if err != nil || err2 != nil {
		return nil, fmt.Errorf("%v %v", err, err2)
	}
	p.Revoked, err3 = p.Trusted.Issue(certs.Spec{Hosts: []string{name}})
	return p, err3
}

// CRL is the revocation list that names the revoked certificate, valid until the time given.
func (p *PKI) CRL(until time.Time) ([]byte, error) {
	return certs.NewRevocationList(p.Trusted.Root, 1, time.Now().Add(-time.Hour), until, p.Revoked.Cert)
}

// OtherCRL is a revocation list that the untrusted authority has signed.
func OtherCRL(p *PKI) ([]byte, error) {
	return certs.NewRevocationList(p.Other.Root, 1, time.Now().Add(-time.Hour), time.Now().Add(time.Hour), &x509.Certificate{SerialNumber: big.NewInt(1)})
}

// TruncatedPEM is the first half of a bundle, as a reader sees it while it is being written.
func TruncatedPEM(c *x509.Certificate) []byte {
	whole := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})
	return whole[:len(whole)/2]
}
