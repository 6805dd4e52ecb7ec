package fake

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"

	"croftlock/internal/operations/certs"
)

// PKI holds an authority that the proxy trusts, another that it does not trust at first, and a
// revoked certificate.
type PKI struct {
	Trusted    *Authority
	Other      *Authority
	ServerName string      // name that the proxy expects in a server's certificate
	Revoked    *certs.Pair // issued by Trusted and listed in CRL
}

// NewPKI returns a PKI whose servers have the given name.
func NewPKI(name string) (*PKI, error) {
	p := &PKI{ServerName: name}
	var trustedErr, otherErr, revokedErr error
	p.Trusted, trustedErr = NewAuthority("trusted")
	p.Other, otherErr = NewAuthority("other")
	if trustedErr != nil || otherErr != nil {
		return nil, fmt.Errorf("trusted authority: %v; other authority: %v", trustedErr, otherErr)
	}
	p.Revoked, revokedErr = p.Trusted.Issue(certs.Spec{Hosts: []string{name}})
	return p, revokedErr
}

// CRL returns a revocation list that contains the revoked certificate and is valid until the given
// time.
func (p *PKI) CRL(until time.Time) ([]byte, error) {
	return certs.NewRevocationList(p.Trusted.Root, 1, time.Now().Add(-time.Hour), until, p.Revoked.Cert)
}

// OtherCRL returns a revocation list that p.Other has signed.
func OtherCRL(p *PKI) ([]byte, error) {
	return certs.NewRevocationList(p.Other.Root, 1, time.Now().Add(-time.Hour), time.Now().Add(time.Hour), &x509.Certificate{SerialNumber: big.NewInt(1)})
}

// TruncatedPEM returns the first half of a certificate's PEM encoding, as a reader finds it in a
// file that is being written.
func TruncatedPEM(c *x509.Certificate) []byte {
	whole := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})
	return whole[:len(whole)/2]
}
