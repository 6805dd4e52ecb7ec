package settings

import (
	"path/filepath"
)

// Path declares the path of a file, which must not be empty. A relative path starts from the folder of
// the settings file; *target receives the joined path.
func (f *FieldSet) Path(name, doc string, target *string) {
	f.declareSingle(name, doc, "a path", func() string { return Quote(*target) }, func(s string) bool {
		*target = f.resolve(s)
		return s != ""
	})
}

// Paths declares a list of paths, each as in Path.
func (f *FieldSet) Paths(name, doc string, target *[]string) {
	f.declareList(name, doc, "one or more paths", target, func(s string) (string, bool) { return f.resolve(s), s != "" })
}

// resolve joins a relative path to the settings file's folder. It returns an absolute or empty path
// unchanged.
func (f *FieldSet) resolve(s string) string {
	if s == "" || filepath.IsAbs(s) {
		return s
	}
	return filepath.Join(f.dir, s)
}
