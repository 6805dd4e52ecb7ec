package command

import (
	"bytes"
	"os"
	"testing"

	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/replica"
)

// TestMain runs the program instead of the tests if CROFTLOCK_TEST_RUN is set, so that tests can
// start processes of their own binary.
func TestMain(m *testing.M) {
	owneragent.OpenVoter = replica.Open
	if os.Getenv("CROFTLOCK_TEST_RUN") != "" {
		os.Exit(Run(os.Args[1:], os.Getenv))
	}
	os.Exit(m.Run())
}

// command runs a command line in this process, without environment variables. It returns the output
// with the error's text at its end, and the exit status.
func command(t *testing.T, args ...string) (string, int) {
	t.Helper()
	root := New(func(string) string { return "" })
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		return out.String() + err.Error(), 1
	}
	return out.String(), 0
}
