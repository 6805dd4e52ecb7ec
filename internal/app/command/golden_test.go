package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"croftlock/internal/testbed/golden"
)

// transcript runs a command and returns the command line, the output and the exit status as a text. It
// replaces the checkout's path, which depends on where the test runs, by ROOT.
func transcript(t *testing.T, args ...string) string {
	t.Helper()
	out, status := command(t, args...)
	here, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	root := filepath.Dir(filepath.Dir(filepath.Dir(here)))
	out = strings.ReplaceAll(out, root, "ROOT")
	text := fmt.Sprintf("$ croftlock %s\n%s\nexit status %d\n\n", strings.Join(args, " "), strings.TrimRight(out, "\n"), status)
	return strings.ReplaceAll(text, "../../../deploy", "../../deploy") // the golden files contain this relative path
}

// TestRecordedHelp compares the name, flags and help text of every command with a golden file.
func TestRecordedHelp(t *testing.T) {
	var all strings.Builder
	var visit func(c *cobra.Command, path []string)
	visit = func(c *cobra.Command, path []string) {
		all.WriteString(transcript(t, append(path[:len(path):len(path)], "--help")...))
		for _, sub := range c.Commands() {
			visit(sub, append(path[:len(path):len(path)], sub.Name()))
		}
	}
	visit(New(func(string) string { return "" }), nil)
	golden.Check(t, "help.txt", []byte(all.String()))
}

// TestRecordedSettings compares the output of check, settings show and settings fmt for the example
// files with a golden file.
func TestRecordedSettings(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/examples/*.sexp")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d example settings files found, error %v; want 1 or more", len(files), err)
	}
	var all strings.Builder
	all.WriteString(transcript(t, "settings", "show"))
	for _, file := range append(files, "../../../deploy/croftlock.sexp") {
		all.WriteString(transcript(t, "check", "--settings", file))
		all.WriteString(transcript(t, "settings", "show", "--settings", file))
		all.WriteString(transcript(t, "settings", "fmt", file))
	}
	golden.Check(t, "settings.txt", []byte(all.String()))
}

// TestRecordedFaults compares the faults that check prints for invalid settings files with a golden
// file.
func TestRecordedFaults(t *testing.T) {
	var all strings.Builder
	for _, text := range []string{"(log", "(log (level loud))", "(nothing)", `(tls (min-version "1.1") (servers perhaps))`, "(membership (on on) (period -1))", "(owners (on on))", "(floors (on on))",
		"(log (level info) (level warn))", "(membership (on on) (socket 5))", "(owners (voters a b) (jobs 3))"} {
		file := filepath.Join(t.TempDir(), "settings.sexp")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		out := transcript(t, "check", "--settings", file)
		all.WriteString(text + "\n" + strings.ReplaceAll(out, filepath.Dir(file)+"/", ""))
	}
	golden.Check(t, "faults.txt", []byte(all.String()))
}
