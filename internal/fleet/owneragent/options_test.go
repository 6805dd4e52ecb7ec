package owneragent

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/operations/settings"
)

// TestSection checks that the error of an invalid section names the fault.
func TestSection(t *testing.T) {
	schema := settings.Schema{memberagent.Section(), Section()}
	path := filepath.Join(t.TempDir(), "f.sexp")
	for text, want := range map[string]string{
		`(owners (on on))`:                                       "no voters",
		`(owners (on on) (voters "a a"))`:                        "names",
		`(owners (on on) (voters "a b c d e f g h"))`:            "names",
		`(owners (on on) (voters "a") (most_kb 12))`:             "most_kb",
		`(owners (on on) (voters "a") (pace -1))`:                "pace",
		`(owners (on on) (voters "a") (something 1))`:            "something",
		`(owners (on on) (voters "a b c") (hosts on) (drill 3))`: "",
	} {
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := schema.Load(path); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("Load of %s: error %v, want it to contain %q; no error if that is empty", text, err, want)
		}
	}
}

// TestCheck checks that the error of a section names what the section refers to and is missing.
func TestCheck(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	on := memberagent.Options{Enabled: true}
	for _, c := range []struct {
		name    string
		options Options
		members memberagent.Options
		want    string // part of the error; empty if there is none
	}{
		{"off", Options{}, memberagent.Options{}, ""},
		{"without membership", Options{Enabled: true}, memberagent.Options{}, "need membership"},
		{"no such folder", Options{Enabled: true, Dir: "/nowhere/at/all"}, on, "dir"},
		{"a file for a folder", Options{Enabled: true, Dir: file}, on, "no folder"},
		{"a folder", Options{Enabled: true, Dir: folder}, on, ""},
	} {
		if err := c.options.Check(c.members); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: Check returned %v, want an error that contains %q; none if that is empty", c.name, err, c.want)
		}
	}
}

// TestProgramWithoutVoters checks that a program without voters on disk rejects a section with dir,
// and that the error names the program that supports them.
func TestProgramWithoutVoters(t *testing.T) {
	OpenVoter = nil
	defer func() { OpenVoter = openTestVoter }()
	if err := (Options{Enabled: true, Dir: t.TempDir()}).Check(memberagent.Options{Enabled: true}); err == nil || !strings.Contains(err.Error(), "croftlock-voter") {
		t.Errorf("Check of a section with dir: error %v, want it to contain %q", err, "croftlock-voter")
	}
}
