package certs

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/x509"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The shortest keys that are accepted, in bits.
const (
	minRSABits = 2048
	minECBits  = 256
)

// Weakness returns why a certificate's key or signature is too weak to be accepted, or "" if it is
// not.
func Weakness(c *x509.Certificate) string {
	switch k := c.PublicKey.(type) {
	case *rsa.PublicKey:
		if k.N.BitLen() < minRSABits {
			return fmt.Sprintf("RSA key of %d bits, expected %d at least", k.N.BitLen(), minRSABits)
		}
	case *ecdsa.PublicKey:
		if k.Curve.Params().BitSize < minECBits {
			return fmt.Sprintf("EC key of %d bits, expected %d at least", k.Curve.Params().BitSize, minECBits)
		}
	case ed25519.PublicKey: // always strong enough
	default:
		return fmt.Sprintf("key of kind %T", c.PublicKey)
	}
	switch c.SignatureAlgorithm {
	case x509.MD2WithRSA, x509.MD5WithRSA, x509.SHA1WithRSA, x509.DSAWithSHA1, x509.DSAWithSHA256, x509.ECDSAWithSHA1:
		return "signed with " + c.SignatureAlgorithm.String()
	}
	return ""
}

// Fingerprint returns the SHA-256 hash of a certificate in hexadecimal, by which people compare
// certificates.
func Fingerprint(c *x509.Certificate) string { return fmt.Sprintf("%x", sha256.Sum256(c.Raw)) }

// Describe returns the properties of a certificate for operators, one per line, as of the time now.
func Describe(c *x509.Certificate, now time.Time) string {
	var b strings.Builder
	line := func(name, format string, args ...any) {
		fmt.Fprintf(&b, "%-12s "+format+"\n", append([]any{name}, args...)...)
	}
	line("subject", "%s", c.Subject)
	line("issuer", "%s", c.Issuer)
	line("serial", "%x", c.SerialNumber)
	line("names", "%s", strings.Join(names(c), " "))
	line("valid", "%s to %s (%s)", c.NotBefore.UTC().Format(time.RFC3339), c.NotAfter.UTC().Format(time.RFC3339), validity(c, now))
	line("use", "%s", strings.Join(uses(c), " "))
	key := c.PublicKeyAlgorithm.String()
	if w := Weakness(c); w != "" {
		key += " (too weak: " + w + ")"
	}
	line("key", "%s, signed with %s", key, c.SignatureAlgorithm)
	line("sha256", "%s", Fingerprint(c))
	return b.String()
}

// names returns the DNS names, IP addresses and URIs of a certificate.
func names(c *x509.Certificate) []string {
	all := slices.Clone(c.DNSNames)
	for _, ip := range c.IPAddresses {
		all = append(all, ip.String())
	}
	for _, u := range c.URIs {
		all = append(all, u.String())
	}
	return all
}

// validity returns a text for operators: the time left if a certificate is valid at the time now, and
// otherwise that it is not yet valid or has expired.
func validity(c *x509.Certificate, now time.Time) string {
	switch {
	case now.Before(c.NotBefore):
		return "not yet valid"
	case now.After(c.NotAfter):
		return "EXPIRED"
	}
	return fmt.Sprintf("%s left", c.NotAfter.Sub(now).Round(time.Second))
}

// uses returns what a certificate may be used for: server, client and ca.
func uses(c *x509.Certificate) (all []string) {
	for _, u := range c.ExtKeyUsage {
		switch u {
		case x509.ExtKeyUsageServerAuth:
			all = append(all, "server")
		case x509.ExtKeyUsageClientAuth:
			all = append(all, "client")
		}
	}
	if c.IsCA {
		all = append(all, "ca")
	}
	return all
}
