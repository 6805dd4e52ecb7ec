package settings

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// sample holds the values of the section that schema declares.
type sample struct {
	on    bool
	n     int
	d     time.Duration
	size  int64
	share float64
	kind  string
	kinds []string
	path  string
	names map[string]string
	sub   int
	teams []string
}

// schema has one section, sample, with a field of almost every type. Its value is a *sample.
var schema = Schema{{Name: "sample", Doc: "a sample", Bind: func(f *FieldSet) any {
	s := &sample{n: 7, d: time.Second, kind: "red"}
	f.Bool("servers", "whether", &s.on)
	f.Int("number", "how many", &s.n, 1, 10)
	f.Duration("pause", "how long", &s.d, time.Millisecond, 48*time.Hour)
	f.Size("room", "how much", &s.size, 0, 1<<30)
	f.Percent("share", "what part", &s.share, 0, 1)
	f.Enum("colour", "which", &s.kind, "red", "green")
	f.Enums("colours", "which", &s.kinds, "red", "green")
	f.Path("file", "where", &s.path)
	f.Pairs("names", "who", "(id name)", &s.names, nil)
	f.Group("inner", "more", func(f *FieldSet) { f.Int("depth", "how deep", &s.sub, 0, 9) })
	f.Repeated("team", "teams", func(label string, f *FieldSet) { s.teams = append(s.teams, label) })
	return s
}}}

// TestValues tests that every type of field is read, and that a missing file means the defaults.
func TestValues(t *testing.T) {
	f, err := schema.Read("/etc/x/a.sexp", []byte(`(sample (servers on) (number 3) (pause 1.5s) (room 16KiB) (share 12.5%)
		(colour green) (colours green red) (file "a b.pem") (names (s1 "a;b") ("s2" c)) (inner (depth 4)) (team a) (team b))`))
	if err != nil {
		t.Fatal(err)
	}
	s := f.Value("sample").(*sample)
	if !s.on || s.n != 3 || s.d != 1500*time.Millisecond || s.size != 16384 || s.share != 0.125 || s.kind != "green" ||
		strings.Join(s.kinds, " ") != "green red" || s.path != "/etc/x/a b.pem" || s.names["s1"] != "a;b" ||
		s.names["s2"] != "c" || s.sub != 4 || strings.Join(s.teams, " ") != "a b" {
		t.Errorf("Read stored %+v, which differs from the file", s)
	}
	f, err = schema.Load("")
	if s := f.Value("sample").(*sample); err != nil || s.on || s.n != 7 || s.d != time.Second {
		t.Errorf("without a file: %+v, error %v, want the defaults", s, err)
	}
}

// TestFaults tests that all faults are reported at once, each with its position and what is
// expected.
func TestFaults(t *testing.T) {
	_, err := schema.Read("a.sexp", []byte(`; a comment
(sample (number 11) (paus 1s)
  (pause 5) (room 1MB) (servers yes)
  (colour blue) (colours red red) (number 2) (inner (dept 3)) loose)
(smaple)
(sample) "text"
(team) )
(unclosed "x`))
	want := []string{
		`a.sexp:2:17: number is "11", expected a whole number from 1 to 10`,
		`a.sexp:2:21: "paus" is unknown in (sample ...), did you mean pause?`,
		`a.sexp:3:10: pause is "5", expected a time with its unit from 1ms to 2d`,
		`a.sexp:3:19: room is "1MB", expected a size with its unit from 0B to 1GiB`,
		`a.sexp:3:33: servers is "yes", expected on or off`,
		`a.sexp:4:11: colour is "blue", expected red or green`,
		`a.sexp:4:30: colours names "red" twice, expected once`,
		`a.sexp:4:35: "number" stands a second time, first on line 2, expected once`,
		`a.sexp:4:53: "dept" is unknown in (sample inner ...), did you mean depth?`,
		`a.sexp:4:63: "loose" in (sample ...), expected (name value)`,
		`a.sexp:5:1: section "smaple" is unknown, did you mean sample?`,
		`a.sexp:6:1: section "sample" stands a second time, first on line 2, expected once`,
		`a.sexp:6:10: the text "text", expected (section ...)`,
		`a.sexp:7:1: section "team" is unknown, did you mean sample?`,
		`a.sexp:7:8: a ) without its (`,
		`a.sexp:8:1: section "unclosed" is unknown, expected sample`,
		`a.sexp:8:1: the list (unclosed ...) is not closed, expected )`,
		`a.sexp:8:11: a text is not closed, expected "`,
	}
	got := strings.Split(err.Error(), "\n")
	reported := map[string]bool{}
	for _, g := range got {
		reported[g] = true
	}
	for _, w := range want {
		if w == want[13] {
			continue // whether a suggestion follows "team" does not matter
		}
		if !reported[w] {
			t.Errorf("the fault %q is not reported", w)
		}
	}
	if len(got) > len(want) {
		t.Errorf("%d faults reported, want %d:\n%s", len(got), len(want), err)
	}
}

// TestBounds tests that a file beyond a bound is an error, and that the error stays short.
func TestBounds(t *testing.T) {
	for _, data := range []string{strings.Repeat(" ", MaxBytes+1), strings.Repeat("(", 1000), "(sample (file \xff))", strings.Repeat(")", 5000)} {
		_, err := schema.Read("a", []byte(data))
		if err == nil || len(err.Error()) > 1<<14 {
			t.Errorf("Read(%.10q...) = %.100v, want an error of at most %d bytes", data, err, 1<<14)
		}
	}
}

// commented is a settings file with comments, exactly as Print formats it.
const commented = `; head

(tls  ; why
  (servers on)  ; since autumn
  ; the bundle
  (trust "a.pem" "b.pem")

  (names
    ("s1" "a.example.org")
    ; not yet: s2
  )
)
`

// TestPrintKeepsComments tests that Print keeps comments in their place and restores the layout.
func TestPrintKeepsComments(t *testing.T) {
	root, faults := Parse("a", []byte(strings.ReplaceAll(commented, "(servers on)", "( servers    on\n)")))
	if faults.Err() != nil {
		t.Fatal(faults)
	}
	if got := string(Print(root)); got != commented {
		t.Errorf("Print returned\n%s\nwant\n%s", got, commented)
	}
}

// FuzzParse tests that a printed file parses to the same nodes and prints to the same bytes.
func FuzzParse(f *testing.F) {
	for _, s := range []string{commented, `(a (b "c\n\"") ; d`, "((;x\n))", "a;b\n\n\n(", "(a\n\n;x\n b ;y\n)", "(a b ;c\n)", "(;\n;\n)", "\"\\", "(\"a\" ;b\n c)"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		root, faults := Parse("f", data)
		schema.Read("f", data)
		if faults.Err() != nil {
			return
		}
		once := Print(root)
		if len(once) > MaxBytes {
			return
		}
		again, faults := Parse("f", once)
		if err := faults.Err(); err != nil {
			t.Fatalf("parsing the printed file %q: %v", once, err)
		}
		if !equalNodes(root, again) {
			t.Fatalf("the file %q, printed as %q, parses to other nodes", data, once)
		}
		if twice := Print(again); !bytes.Equal(once, twice) {
			t.Fatalf("the file %q is printed as %q, and that as %q", data, once, twice)
		}
	})
}

// equalNodes reports whether two trees are equal apart from positions and blank lines.
func equalNodes(a, b *Node) bool {
	if a.Kind != b.Kind || a.Text != b.Text || len(a.Items) != len(b.Items) {
		return false
	}
	for i := range a.Items {
		if !equalNodes(a.Items[i], b.Items[i]) {
			return false
		}
	}
	return true
}
