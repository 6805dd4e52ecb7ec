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

// PEM returns the certificate and its chain in PEM.
func (p *Pair) PEM() []byte {
	return EncodeBundle(append([]*x509.Certificate{p.Cert}, p.Chain...)...)
}

// EncodeBundle returns certificates in PEM.
func EncodeBundle(certs ...*x509.Certificate) []byte {
	var out []byte
	for _, c := range certs {
		out = append(out, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})...)
	}
	return out
}

// KeyPEM returns the key in PEM. It encrypts the key if password is not empty.
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

// Save writes the certificate with its chain, and the key, each file completely or not at all. It
// encrypts the key if password is not empty. It writes the key first, because a process that watches
// the certificate's file would otherwise read the new certificate with the previous key.
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

// ReplaceFile writes a file atomically: readers see either the previous or the complete new file. The
// new file has the permissions mode.
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

// writeSynced writes data to f, sets its permissions to mode, syncs it to disk and closes it. It closes
// f even after an error.
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

// maxFileBytes is the size of the largest file that ReadFile accepts.
const maxFileBytes = 4 << 20

// ReadFile reads a regular file of at most maxFileBytes.
func ReadFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: %d bytes, mode %v; expected a regular file of at most %d bytes", path, info.Size(), info.Mode(), maxFileBytes)
	}
	return os.ReadFile(path)
}

// ParseBundle parses certificates in PEM. path appears in errors. It is an error if data has no
// certificate.
func ParseBundle(path string, data []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for len(strings.TrimSpace(string(data))) > 0 {
		block, rest := pem.Decode(data)
		if block == nil {
			return nil, fmt.Errorf("%s: the data after %d certificates is not PEM; is the file half written?", path, len(out))
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

// ErrKeyPermissions is returned for a secret file that users other than its owner may access.
var ErrKeyPermissions = errors.New("others than its owner may read it; expected mode 0600 or 0400")

// ReadSecret is like ReadFile, but returns ErrKeyPermissions if users other than the owner may
// access the file.
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

// LoadKey reads a private key. passwordFile is the file with its password, or "" if the key is not
// encrypted. Errors never contain any part of the key.
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

// LoadPair reads a certificate with its chain from certFile, in which the certificate is the first, and
// its key from keyFile. It returns an error if the key is not the certificate's. passwordFile is the
// file with the key's password, or "" if the key is not encrypted.
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
