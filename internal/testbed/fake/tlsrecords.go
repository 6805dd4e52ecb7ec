package fake

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"net"
	"strings"
	"sync"
)

// crypto/tls sends neither key updates nor requests to renegotiate. These are encoded here after RFC 8446 and RFC 5246, under the
// handshake's keys.

// keyLog keeps a key log in NSS's format: lines of a label, the client's random and the secret.
type keyLog struct {
	mu  sync.Mutex
	log bytes.Buffer
}

// Write appends what crypto/tls logs.
func (k *keyLog) Write(p []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.log.Write(p)
}

// lastSecret returns the last secret with a label, and the client's random.
func (k *keyLog) lastSecret(label string) (random, secret []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, line := range strings.Split(k.log.String(), "\n") {
		if w := strings.Fields(line); len(w) == 3 && w[0] == label {
			random, _ = hex.DecodeString(w[1])
			secret, _ = hex.DecodeString(w[2])
		}
	}
	return random, secret
}

// newAESGCM is AES-128-GCM.
func newAESGCM(key []byte) cipher.AEAD {
	block, err := aes.NewCipher(key)
	if err != nil {
		panic(err)
	}
	a, err := cipher.NewGCM(block)
	if err != nil {
		panic(err)
	}
	return a
}

// expandLabel is HKDF-Expand-Label of RFC 8446, 7.1, with SHA-256 and no context.
func expandLabel(secret []byte, label string, n int) []byte {
	info := []byte{byte(n >> 8), byte(n), byte(len("tls13 ") + len(label))}
	info = append(info, "tls13 "+label...)
	info = append(info, 0)
	out, err := hkdf.Expand(sha256.New, secret, string(info), n)
	if err != nil {
		panic(err)
	}
	return out
}

// floodKeyUpdates completes a handshake of TLS 1.3 and then sends key updates, each asking for one in return.
func floodKeyUpdates(c net.Conn, config *tls.Config) {
	var log keyLog
	config = config.Clone()
	config.KeyLogWriter, config.SessionTicketsDisabled, config.MinVersion = &log, true, tls.VersionTLS13
	s := tls.Server(c, config)
	if s.Handshake() != nil || s.ConnectionState().CipherSuite != tls.TLS_AES_128_GCM_SHA256 {
		return
	}
	_, secret := log.lastSecret("SERVER_TRAFFIC_SECRET_0")
	for range 1000 {
		key, nonce := expandLabel(secret, "key", 16), expandLabel(secret, "iv", 12)
		inner := []byte{24, 0, 0, 1, 1, 22} // KeyUpdate, update_requested; its content type
		head := []byte{23, 3, 3, 0, byte(len(inner) + 16)}
		if _, err := c.Write(append(head, newAESGCM(key).Seal(nil, nonce, inner, head)...)); err != nil {
			return
		}
		secret = expandLabel(secret, "traffic upd", 32) // a new key, whose sequence numbers begin at 0
	}
}

// renegotiate completes a handshake of TLS 1.2 and then asks for another.
func renegotiate(c net.Conn, config *tls.Config) {
	var log keyLog
	config = config.Clone()
	config.KeyLogWriter, config.SessionTicketsDisabled, config.MaxVersion = &log, true, tls.VersionTLS12
	config.CipherSuites = []uint16{tls.TLS_ECDHE_ECDSA_WITH_AES_128_GCM_SHA256}
	w := &firstBytesRecorder{Conn: c}
	if tls.Server(w, config).Handshake() != nil || len(w.first) < 43 {
		return
	}
	client, master := log.lastSecret("CLIENT_RANDOM")
	server := w.first[11:43] // record and handshake headers, version, then the random
	block := prf(master, "key expansion", append(append([]byte(nil), server...), client...), 40)
	key, salt := block[16:32], block[36:40]
	// The server's Finished was its first sealed record.
	seq := binary.BigEndian.AppendUint64(nil, 1)
	request := []byte{0, 0, 0, 0} // HelloRequest
	extra := append(append([]byte(nil), seq...), 22, 3, 3, 0, byte(len(request)))
	sealed := newAESGCM(key).Seal(nil, append(append([]byte(nil), salt...), seq...), request, extra)
	record := append([]byte{22, 3, 3, 0, byte(len(seq) + len(sealed))}, seq...)
	c.Write(append(record, sealed...))
}

// firstBytesRecorder keeps the first bytes that are written, which hold the server's random.
type firstBytesRecorder struct {
	net.Conn
	first []byte
}

// Write writes, and keeps the first bytes.
func (f *firstBytesRecorder) Write(p []byte) (int, error) {
	if len(f.first) < 64 {
		f.first = append(f.first, p[:min(len(p), 64)]...)
	}
	return f.Conn.Write(p)
}

// prf is that of RFC 5246, 5, with SHA-256.
func prf(secret []byte, label string, seed []byte, n int) []byte {
	mac := func(parts ...[]byte) []byte {
		h := hmac.New(sha256.New, secret)
		for _, p := range parts {
			h.Write(p)
		}
		return h.Sum(nil)
	}
	seed = append([]byte(label), seed...)
	a := mac(seed)
	var out []byte
	for len(out) < n {
		out = append(out, mac(a, seed)...)
		a = mac(a)
	}
	return out[:n]
}
