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

// A crypto/tls server neither sends key updates on its own nor requests renegotiation. This file
// encodes both according to RFC 8446 and RFC 5246 and encrypts them with the keys of the handshake.

// keyLog stores a key log in the NSS format: each line consists of a label, the client's random and
// a secret.
type keyLog struct {
	mu  sync.Mutex
	log bytes.Buffer
}

// Write appends a line of the key log. crypto/tls calls it during the handshake.
func (k *keyLog) Write(p []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.log.Write(p)
}

// lastSecret returns the last secret logged under a label and the client's random. It returns nil
// for both if there is none.
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

// newAESGCM returns AES-128-GCM with the given 16-byte key.
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

// expandLabel implements HKDF-Expand-Label of RFC 8446, section 7.1, with SHA-256 and an empty
// context. It returns n bytes.
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

// floodKeyUpdates completes a TLS 1.3 handshake and then sends 1000 key updates, each of which
// requests one in return.
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
		inner := []byte{24, 0, 0, 1, 1, 22} // KeyUpdate with update_requested, then the content type: handshake
		head := []byte{23, 3, 3, 0, byte(len(inner) + 16)}
		if _, err := c.Write(append(head, newAESGCM(key).Seal(nil, nonce, inner, head)...)); err != nil {
			return
		}
		secret = expandLabel(secret, "traffic upd", 32) // sequence numbers restart at 0 with each key, so the nonce is the IV
	}
}

// renegotiate completes a TLS 1.2 handshake and then sends a HelloRequest, which requests
// renegotiation.
func renegotiate(c net.Conn, config *tls.Config) {
	var log keyLog
	config = config.Clone()
	config.KeyLogWriter, config.SessionTicketsDisabled, config.MaxVersion = &log, true, tls.VersionTLS12
	config.CipherSuites = []uint16{tls.TLS_ECDHE_ECDSA_WITH_AES_128_GCM_SHA256}
	recorder := &firstBytesRecorder{Conn: c}
	if tls.Server(recorder, config).Handshake() != nil || len(recorder.first) < 43 {
		return
	}
	client, master := log.lastSecret("CLIENT_RANDOM")
	server := recorder.first[11:43] // the random follows the record header, handshake header and version
	block := prf(master, "key expansion", append(append([]byte(nil), server...), client...), 40)
	key, salt := block[16:32], block[36:40]
	// The server's Finished was its first encrypted record, with sequence number 0.
	seq := binary.BigEndian.AppendUint64(nil, 1)
	request := []byte{0, 0, 0, 0} // HelloRequest
	additionalData := append(append([]byte(nil), seq...), 22, 3, 3, 0, byte(len(request)))
	sealed := newAESGCM(key).Seal(nil, append(append([]byte(nil), salt...), seq...), request, additionalData)
	record := append([]byte{22, 3, 3, 0, byte(len(seq) + len(sealed))}, seq...)
	c.Write(append(record, sealed...))
}

// firstBytesRecorder records the beginning of what is written to the connection, which contains the
// server's random.
type firstBytesRecorder struct {
	net.Conn
	first []byte // of the first writes, up to 64 bytes each
}

// Write writes p to the connection. It records up to 64 bytes of p until at least 64 bytes are
// recorded.
func (f *firstBytesRecorder) Write(p []byte) (int, error) {
	if len(f.first) < 64 {
		f.first = append(f.first, p[:min(len(p), 64)]...)
	}
	return f.Conn.Write(p)
}

// prf implements the pseudorandom function of RFC 5246, section 5, with SHA-256. It returns n
// bytes.
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
