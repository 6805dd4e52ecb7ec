package certs

import (
	"cmp"
	"crypto"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"go.step.sm/crypto/keyutil"
	"go.step.sm/crypto/pemutil"
)

// PEM is the certificate with its chain in the form of a file.
func (p *Pair) PEM() []byte {
	return EncodeBundle(append([]*x509.Certificate{p.Cert}, p.Chain...)...)
}

// EncodeBundle writes certificates in the form of a file.
func EncodeBundle(certs ...*x509.Certificate) []byte {
	var out []byte
	for _, c := range certs {
		out = append(out, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})...)
	}
	return out
}

// KeyPEM is the key in the form of a file, encrypted where there is a password.
func (p *Pair) KeyPEM(password []byte) ([]byte, error) {
	options := []pemutil.Options{pemutil.WithPKCS8(true)}
	if len(password) > 0 {
		options = append(options, pemutil.WithPassword(password))
	}
	block, err := pemutil.Serialize(p.Key, options...)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(block), nil
}

// Save writes both files, each completely or not at all: the key first, since a watcher that sees only the certificate would
// find that they do not match.
func (p *Pair) Save(certFile, keyFile string, password []byte) error {
	key, err := p.KeyPEM(password)
	if err != nil {
		return err
	}
	if err := ReplaceFile(keyFile, key, 0o600); err != nil {
		return err
	}
	return ReplaceFile(certFile, p.PEM(), 0o644)
}

// ReplaceFile puts a complete file in the place of another at once.
func ReplaceFile(path string, data []byte, mode fs.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if err := writeSynced(f, data, mode); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// writeSynced writes a file to the disk and closes it.
func writeSynced(f *os.File, data []byte, mode fs.FileMode) error {
	_, err := f.Write(data)
	if err == nil {
		err = f.Chmod(mode)
	}
	if err == nil {
		err = f.Sync()
	}
	return cmp.Or(err, f.Close())
}

// maxFileBytes bounds what is read of a file of certificates.
const maxFileBytes = 4 << 20

// ReadFile reads a file of bounded size.
func ReadFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: %d bytes, mode %v; expected a plain file of at most %d", path, info.Size(), info.Mode(), maxFileBytes)
	}
	return os.ReadFile(path)
}

// ParseBundle reads certificates, of which there must be one at least.
func ParseBundle(path string, data []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for len(strings.TrimSpace(string(data))) > 0 {
		block, rest := pem.Decode(data)
		if block == nil {
			return nil, fmt.Errorf("%s: after %d certificates comes what is no PEM; is the file half written?", path, len(out))
		}
		data = rest
		if block.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("%s: a block %q, expected CERTIFICATE only", path, block.Type)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: certificate %d: %v", path, len(out)+1, err)
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no certificate in it", path)
	}
	return out, nil
}

// ErrKeyPermissions is a key file that others than its owner may read.
var ErrKeyPermissions = errors.New("others than its owner may read it; expected mode 0600 or 0400")

// ReadSecret reads a file that only its owner may read, as ReadFile does.
func ReadSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: mode %04o: %w", path, info.Mode().Perm(), ErrKeyPermissions)
	}
	return ReadFile(path)
}

// LoadKey reads a private key. passwordFile is needed where it is encrypted. Errors never contain anything of the key.
func LoadKey(path, passwordFile string) (crypto.Signer, error) {
	data, err := ReadSecret(path)
	if err != nil {
		return nil, err
	}
	var options []pemutil.Options
	if passwordFile != "" {
		password, err := ReadSecret(passwordFile)
		if err != nil {
			return nil, err
		}
		options = append(options, pemutil.WithPassword([]byte(strings.TrimRight(string(password), "\r\n"))))
	} else if strings.Contains(string(data), "ENCRYPTED") {
		return nil, fmt.Errorf("%s: the key is encrypted and no password file is named", path)
	}
	parsed, err := pemutil.Parse(data, options...)
	if err != nil {
		return nil, fmt.Errorf("%s: no private key that can be read with this password: %v", path, err)
	}
	key, ok := parsed.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("%s: a %T, expected a private key", path, parsed)
	}
	return key, nil
}

// LoadPair reads a certificate with its chain and its key, and checks that they belong together.
func LoadPair(certFile, keyFile, passwordFile string) (*Pair, error) {
	data, err := ReadFile(certFile)
	if err != nil {
		return nil, err
	}
	chain, err := ParseBundle(certFile, data)
	if err != nil {
		return nil, err
	}
	key, err := LoadKey(keyFile, passwordFile)
	if err != nil {
		return nil, err
	}
	if err := keyutil.VerifyPair(chain[0].PublicKey, key); err != nil {
		return nil, fmt.Errorf("%s does not belong to the key %s", certFile, keyFile)
	}
	return &Pair{Cert: chain[0], Key: key, Chain: chain[1:]}, nil
}
