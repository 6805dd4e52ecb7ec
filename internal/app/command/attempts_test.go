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

// keyFile writes a new Ed25519 private key to a PEM file. It returns the file's path and the public
// key in base64, as the rules name it in a grant, which permits its holder to change some of them.
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

// attempt is an upstream request in a process's log, with the account that it was for, its host and
// the rules version that decided on it.
type attempt struct {
	at            time.Time
	account, host string
	version       string // decimal; account and version are "" if no decision was logged before
}

// logField matches one key=value of a log line.
var logField = regexp.MustCompile(`(\w+)=("[^"]*"|\S*)`)

// attempts returns the attempts in a process's log. An attempt's account and version are those of
// the request's last decision before it, which is made right before the connection is opened.
func attempts(t *testing.T, p *experiment.Process) (all []attempt) {
	t.Helper()
	account, version := map[string]string{}, map[string]string{} // by request ID
	for _, line := range p.LogLines("event=") {
		fields := map[string]string{}
		for _, field := range logField.FindAllStringSubmatch(line, -1) {
			fields[field[1]] = field[2]
		}
		request := fields["request"]
		switch fields["event"] {
		case "rules_applied":
			account[request], version[request] = fields["account"], fields["version"]
		case "attempt_started":
			all = append(all, attempt{loggedAt(t, line), account[request], fields["host"], version[request]})
		}
	}
	return all
}

// reassignmentTimes returns the time of the last attempt at a host for the account from, and that of
// the first attempt there for the account to. A time is zero if there is no such attempt.
func reassignmentTimes(all []attempt, host, from, to string) (last, first time.Time) {
	for _, a := range all {
		if a.host != host {
			continue
		}
		if a.account == from && a.at.After(last) {
			last = a.at
		}
		if a.account == to && (first.IsZero() || a.at.Before(first)) {
			first = a.at
		}
	}
	return last, first
}
