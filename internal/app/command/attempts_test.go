package command

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
)

// keyFile writes an Ed25519 key and gives its path, and the public half as a grant names it.
func keyFile(t *testing.T) (path, public string) {
	t.Helper()
	pub, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(t.TempDir(), "acme.key")
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, base64.StdEncoding.EncodeToString(pub)
}

// made is one attempt, as a process's log tells of it: whose request, at which host.
type made struct {
	at            time.Time
	account, host string
	version       string
}

var logWord = regexp.MustCompile(`(\w+)=("[^"]*"|\S*)`)

// attempts reads who was sent where: the last decision before an attempt is the second look, right before its connection is opened.
func attempts(t *testing.T, p *experiment.Process) (all []made) {
	t.Helper()
	account, version := map[string]string{}, map[string]string{}
	for _, l := range p.Log("event=") {
		f := map[string]string{}
		for _, m := range logWord.FindAllStringSubmatch(l, -1) {
			f[m[1]] = m[2]
		}
		switch {
		case f["event"] == "rules_applied":
			account[f["request"]], version[f["request"]] = f["account"], f["version"]
		case f["event"] == "attempt_started":
			at := loggedAt(t, l)
			all = append(all, made{at, account[f["request"]], f["host"], version[f["request"]]})
		}
	}
	return all
}

// handed gives, of the attempts at a host, the last for one account and the first for another.
func handed(all []made, host, from, to string) (last, first time.Time) {
	for _, m := range all {
		if m.host != host {
			continue
		}
		if m.account == from && m.at.After(last) {
			last = m.at
		}
		if m.account == to && (first.IsZero() || m.at.Before(first)) {
			first = m.at
		}
	}
	return last, first
}
