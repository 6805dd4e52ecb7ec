package node

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// layers lists the packages of this module from the bottom layer to the top one. Names are paths
// below internal, or below the module's root for cmd. A package may import from its own layer and
// from those below it.
var layers = []struct {
	name     string
	packages []string
}{
	{"primitives", []string{"fleet/encoding", "operations/certs", "operations/logging", "operations/settings", "testbed/fleetlog", "testbed/golden", "testbed/parallel"}},
	{"sockets", []string{"dataplane/netio", "dataplane/netio/netiotest"}},
	{"decisions", []string{"balancer", "balancer/decay", "balancer/ledger", "balancer/loadestimate", "balancer/rendezvous", "balancer/setuptime", "balancer/stallgossip", "dataplane/certexpiry", "dataplane/handshake", "dataplane/invariant", "fleet/consensus", "fleet/fragment",
		"fleet/group", "fleet/jobs", "fleet/membership", "fleet/namespace", "fleet/ownership", "fleet/quota", "fleet/rules", "fleet/watermark", "operations/balancerconfig",
		"operations/maintenance", "operations/metrics"}},
	{"core", []string{"dataplane/proxy"}},
	{"fronts and clients", []string{"dataplane/cluster", "dataplane/hotrestart", "dataplane/lineproto", "dataplane/upstreamtls", "fleet/consensus/disk", "fleet/memberagent", "fleet/owneragent",
		"fleet/peers", "fleet/replica", "operations/admin", "operations/platform", "testbed/simulator"}},
	{"wiring", []string{"app/command", "app/node", "fleet/membership/simulation", "fleet/ownership/simulation", "testbed/experiment", "testbed/experiment/soak", "testbed/fake"}},
	{"programs", []string{"cmd/croftlock", "cmd/croftlock-experiment", "cmd/croftlock-simulator-adapter", "cmd/croftlock-voter"}},
}

// decisionLayer is the name of the layer whose packages must not do I/O.
const decisionLayer = "decisions"

// doesIO reports whether a package of the standard library does I/O. net/netip only has value
// types.
func doesIO(path string) bool {
	first, _, _ := strings.Cut(path, "/")
	return (first == "net" || first == "os") && path != "net/netip"
}

// importsOf returns the import paths of the Go files in dir, except test files. A path that several
// files import is returned several times.
func importsOf(t *testing.T, dir string) (imports []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range f.Imports {
			path, _ := strconv.Unquote(i.Path.Value)
			imports = append(imports, path)
		}
	}
	return imports
}

// packageDirs returns the directories below the module's root that contain Go files, named as in
// layers.
func packageDirs(t *testing.T, root string) (out []string) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil || !e.IsDir() {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		if strings.HasPrefix(rel, ".") && rel != "." || rel == "journal" || e.Name() == "testdata" {
			return filepath.SkipDir
		}
		if len(importsOf(t, path)) > 0 {
			out = append(out, strings.TrimPrefix(filepath.ToSlash(rel), "internal/"))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestLayers checks that every package is in a layer and imports only from its own layer and those
// below, and that packages of decisionLayer import no package that does I/O.
func TestLayers(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	level := map[string]int{} // index in layers, by package
	for i, l := range layers {
		for _, p := range l.packages {
			level[p] = i
		}
	}
	seen := packageDirs(t, root)
	for p := range level {
		if !slices.Contains(seen, p) {
			t.Errorf("layers contains %s, want only packages that exist", p)
		}
	}
	for _, p := range seen {
		layer, known := level[p]
		if !known {
			t.Errorf("package %s is in no layer", p)
			continue
		}
		dir := filepath.Join(root, "internal", p)
		if strings.HasPrefix(p, "cmd/") {
			dir = filepath.Join(root, p)
		}
		for _, path := range importsOf(t, dir) {
			if layers[layer].name == decisionLayer && doesIO(path) {
				t.Errorf("%s in layer %q imports %s, want no package that does I/O", p, decisionLayer, path)
			}
			local, isLocal := strings.CutPrefix(path, "croftlock/")
			local = strings.TrimPrefix(local, "internal/")
			if isLocal && level[local] > layer {
				t.Errorf("%s in layer %q imports %s from the higher layer %q", p, layers[layer].name, local, layers[level[local]].name)
			}
		}
	}
}

// TestGlossary checks that docs/glossary.md names each package of layers, except the commands.
func TestGlossary(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "glossary.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range layers {
		for _, p := range l.packages {
			if !strings.HasPrefix(p, "cmd/") && !strings.Contains(string(page), "`internal/"+p+"`") {
				t.Errorf("docs/glossary.md does not name %s", p)
			}
		}
	}
}
