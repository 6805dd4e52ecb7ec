package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// commandTest runs commands on files in a temporary directory.
type commandTest struct {
	*testing.T
	dir string
}

// path returns the path of a file in the directory.
func (c *commandTest) path(name string) string { return filepath.Join(c.dir, name) }

// write writes the settings file a.sexp and returns its path.
func (c *commandTest) write(text string) string {
	c.Helper()
	writeFile(c.T, c.path("a.sexp"), text)
	return c.path("a.sexp")
}

// succeeds checks that a command succeeds and that its output contains want.
func (c *commandTest) succeeds(want string, args ...string) {
	c.Helper()
	if out, status := command(c.T, args...); status != 0 || !strings.Contains(out, want) {
		c.Fatalf("%v: exit status %d, want 0; want %q in\n%s", args, status, want, out)
	}
}

// fails checks that a command fails and that its output contains want.
func (c *commandTest) fails(want string, args ...string) {
	c.Helper()
	if out, status := command(c.T, args...); status == 0 || !strings.Contains(out, want) {
		c.Errorf("%v: exit status %d, want another than 0; want %q in\n%s", args, status, want, out)
	}
}

// TestCertificatesAndCheck checks the commands with which an operator without a certificate service
// makes an authority and certificates and checks the settings that name them. Each wrong step must
// be an error.
func TestCertificatesAndCheck(t *testing.T) {
	c := &commandTest{T: t, dir: t.TempDir()}
	c.makeCertificates()
	c.inspectAndVerify()
	c.checkSettings()
	c.formatSettings()
}

// makeCertificates makes an authority and the certificates that the other steps use, and checks
// that wrong arguments are errors.
func (c *commandTest) makeCertificates() {
	c.Helper()
	writeFile(c.T, c.path("pass"), "correct horse\n")
	c.succeeds("use          ca", "certs", "ca", "test", "--out", c.path("ca.pem"), "--key", c.path("ca.key"), "--password-file", c.path("pass"))
	c.fails("exists", "certs", "ca", "test", "--out", c.path("ca.pem"), "--key", c.path("ca.key"))
	issue := []string{"certs", "issue", "x", "--ca", c.path("ca.pem"), "--ca-key", c.path("ca.key"), "--ca-password-file", c.path("pass")}
	c.fails("what is it for", issue...)
	c.fails("needs a name", append(issue, "--server")...)
	c.fails("outlive", append(issue, "--client", "--life", "9999d")...)
	c.fails("encrypted", "certs", "issue", "x", "--client", "--ca", c.path("ca.pem"), "--ca-key", c.path("ca.key"))
	c.succeeds("names        cat3.test", append(issue, "--server", "--host", "cat3.test", "--out", c.path("s.pem"), "--key", c.path("s.key"))...)
	c.succeeds("use          client", append(issue, "--client", "--out", c.path("c.pem"), "--key", c.path("c.key"))...)
}

// inspectAndVerify checks that certificates are described and that verify rejects a wrong name, use
// or key.
func (c *commandTest) inspectAndVerify() {
	c.Helper()
	c.succeeds("1 of 1", "certs", "inspect", c.path("s.pem"))
	c.succeeds("ok,", "certs", "verify", c.path("s.pem"), "--trust", c.path("ca.pem"), "--name", "cat3.test", "--key", c.path("s.key"))
	c.fails("wrong_name", "certs", "verify", c.path("s.pem"), "--trust", c.path("ca.pem"), "--name", "cat4.test")
	c.fails("wrong_usage", "certs", "verify", c.path("c.pem"), "--trust", c.path("ca.pem"), "--name", "cat3.test")
	c.fails("does not belong", "certs", "verify", c.path("s.pem"), "--trust", c.path("ca.pem"), "--name", "cat3.test", "--key", c.path("c.key"))
}

// checkSettings checks valid and invalid settings files with the commands check and settings show.
func (c *commandTest) checkSettings() {
	c.Helper()
	valid := `(tls (servers on) (trust "ca.pem") (certificate "c.pem") (key "c.key") (name (pattern "{uid}.test")))`
	c.succeeds("ok", "check", "--settings", c.write(valid))
	c.succeeds(`(trust "`+c.path("ca.pem")+`")`, "settings", "show", "--settings", c.path("a.sexp"))
	c.fails("a.sexp:1:19: min-version is the text \"1.1\", expected 1.3 or 1.2", "check", "--settings", c.write(`(tls (min-version "1.1"))`))
	c.fails("does not belong", "check", "--settings", c.write(strings.Replace(valid, "c.key", "s.key", 1)))
	if err := os.Chmod(c.path("c.key"), 0o644); err != nil {
		c.Fatal(err)
	}
	c.fails("mode 0644", "check", "--settings", c.write(valid))
	c.fails("nothing to check", "check")
}

// formatSettings checks that settings fmt prints and replaces a file, and does not change an
// invalid one.
func (c *commandTest) formatSettings() {
	c.Helper()
	c.succeeds("(log (level warn))", "settings", "fmt", c.write("( log (level\nwarn ) )"))
	c.succeeds("", "settings", "fmt", "-w", c.path("a.sexp"))
	c.checkFile("(log (level warn))\n")
	c.fails("a.sexp:1:1", "settings", "fmt", "-w", c.write("(log"))
	c.checkFile("(log") // an invalid file is not changed
}

// checkFile checks the contents of the settings file.
func (c *commandTest) checkFile(want string) {
	c.Helper()
	if data, err := os.ReadFile(c.path("a.sexp")); err != nil || string(data) != want {
		c.Errorf("after settings fmt -w the file is %q, error %v; want %q", data, err, want)
	}
}
