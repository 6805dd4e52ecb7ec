package certs

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/x509"
	"fmt"
	"strings"
	"time"
)

// Weak tells why a certificate's key or signature is too weak to be taken; "" if it is not.
func Weak(c *x509.Certificate) string {
	switch k := c.PublicKey.(type) {
	case *rsa.PublicKey:
		if k.N.BitLen() < 2048 {
			return fmt.Sprintf("RSA key of %d bits, expected 2048 at least", k.N.BitLen())
		}
	case *ecdsa.PublicKey:
		if k.Curve.Params().BitSize < 256 {
			return fmt.Sprintf("EC key of %d bits, expected 256 at least", k.Curve.Params().BitSize)
		}
	case ed25519.PublicKey:
	default:
		return fmt.Sprintf("key of kind %T", c.PublicKey)
	}
	switch c.SignatureAlgorithm {
	case x509.MD2WithRSA, x509.MD5WithRSA, x509.SHA1WithRSA, x509.DSAWithSHA1, x509.DSAWithSHA256, x509.ECDSAWithSHA1:
		return "signed with " + c.SignatureAlgorithm.String()
	}
	return ""
}

// Print is the fingerprint of a certificate, by which people compare them.
func Print(c *x509.Certificate) string { return fmt.Sprintf("%x", sha256.Sum256(c.Raw)) }

// Describe is what an operator wants to know of a certificate.
func Describe(c *x509.Certificate, now time.Time) string {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%-12s "+format+"\n", append([]any{name}, args...)...)
	}
	line("subject", "%s", c.Subject)
	line("issuer", "%s", c.Issuer)
	line("serial", "%x", c.SerialNumber)
	var names []string
	names = append(names, c.DNSNames...)
	for _, ip := range c.IPAddresses {
		names = append(names, ip.String())
	}
	for _, u := range c.URIs {
		names = append(names, u.String())
	}
	line("names", "%s", strings.Join(names, " "))
	state := fmt.Sprintf("%s left", c.NotAfter.Sub(now).Round(time.Second))
	if now.Before(c.NotBefore) {
		state = "not yet valid"
	} else if now.After(c.NotAfter) {
		state = "EXPIRED"
	}
	line("valid", "%s to %s (%s)", c.NotBefore.UTC().Format(time.RFC3339), c.NotAfter.UTC().Format(time.RFC3339), state)
	var uses []string
	for _, u := range c.ExtKeyUsage {
		switch u {
		case x509.ExtKeyUsageServerAuth:
			uses = append(uses, "server")
		case x509.ExtKeyUsageClientAuth:
			uses = append(uses, "client")
		}
	}
	if c.IsCA {
		uses = append(uses, "ca")
	}
	line("use", "%s", strings.Join(uses, " "))
	key := c.PublicKeyAlgorithm.String()
	if w := Weak(c); w != "" {
		key += " (too weak: " + w + ")"
	}
	line("key", "%s, signed with %s", key, c.SignatureAlgorithm)
	line("sha256", "%s", Print(c))
	return b.String()
}
