package settings

import (
	"path/filepath"
)

// Path declares the path of a file; a relative one starts from the folder of the settings.
func (f *FieldSet) Path(name, doc string, to *string) {
	f.declareSingle(name, doc, "a path", func() string { return Quote(*to) }, func(s string) bool {
		*to = f.resolve(s)
		return s != ""
	})
}

// Paths declares some paths.
func (f *FieldSet) Paths(name, doc string, to *[]string) {
	f.declareList(name, doc, "one or more paths", to, func(s string) (string, bool) { return f.resolve(s), s != "" })
}

func (f *FieldSet) resolve(s string) string {
	if s == "" || filepath.IsAbs(s) {
		return s
	}
	return filepath.Join(f.dir, s)
}
