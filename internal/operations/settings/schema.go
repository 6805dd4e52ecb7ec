package settings

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Section describes a section of the settings file, which one package declares.
type Section struct {
	Name string
	Doc  string // describes the section to operators, in one line
	// Bind declares the section's fields on f and returns the value that receives them. If the file
	// does not have the section, f has no nodes and the value keeps its defaults.
	Bind func(f *FieldSet) any
}

// Schema lists all sections of a program. Other packages provide them.
type Schema []Section

// File is a settings file that was read.
type File struct {
	Path      string               // "" if no file was named
	Root      *Node                // a list of the nodes at the top level
	values    map[string]any       // by section name, as Bind returned them
	fieldSets map[string]*FieldSet // by section name
}

// Value returns the value that Section.Bind returned for the section with that name, or nil if the
// schema has no such section.
func (f *File) Value(section string) any { return f.values[section] }

// Load reads the file at path. An empty path means an empty file, so that every field has its default.
// The error is a *Faults unless the file could not be read; in that case the *File is nil.
func (s Schema) Load(path string) (*File, error) {
	if path == "" {
		f, _ := s.Read("", nil)
		return f, nil
	}
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	data, err := io.ReadAll(io.LimitReader(in, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	return s.Read(path, data)
}

// Read reads a file from its bytes. path appears in faults and is the file from whose folder
// relative paths start. Read returns a File even with an error, which is a *Faults.
func (s Schema) Read(path string, data []byte) (*File, error) {
	root, faults := Parse(path, data)
	f := &File{Path: path, Root: root, values: map[string]any{}, fieldSets: map[string]*FieldSet{}}
	nodes := s.sectionNodes(root, faults)
	for _, section := range s {
		fields := newFieldSet(nodes[section.Name], faults, filepath.Dir(path), section.Name)
		f.values[section.Name] = section.Bind(fields)
		fields.reportUnknown()
		f.fieldSets[section.Name] = fields
	}
	return f, faults.Err()
}

// sectionNodes returns the node of each section by name, and adds faults for unknown or repeated
// sections.
func (s Schema) sectionNodes(root *Node, faults *Faults) map[string]*Node {
	found := map[string]*Node{}
	names := make([]string, 0, len(s))
	for _, section := range s {
		names = append(names, section.Name)
	}
	for _, n := range root.Values() {
		name := n.Name()
		switch first := found[name]; {
		case name == "":
			faults.Add(n.Pos, "%s, expected (section ...)", n.describe())
		case !slices.Contains(names, name):
			faults.Add(n.Pos, "section %q is unknown%s", truncate(name), suggestion(name, names))
		case first != nil:
			faults.Add(n.Pos, "section %q stands a second time, first on line %d, expected once", name, first.Pos.Line)
		default:
			found[name] = n
		}
	}
	return found
}

// Show writes every section with the value of each field in the syntax of a settings file. It marks
// defaults.
func (s Schema) Show(w io.Writer, f *File) {
	for i, section := range s {
		if i > 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "; %s\n(%s\n", section.Doc, section.Name)
		showFields(w, f.fieldSets[section.Name], 1)
		fmt.Fprintln(w, ")")
	}
}

// showFields writes the fields of a section or nested list, indented by two blanks per level of
// depth.
func showFields(w io.Writer, fields *FieldSet, depth int) {
	indent := strings.Repeat("  ", depth)
	for _, d := range fields.Fields() {
		if d.Nested == nil {
			fmt.Fprintln(w, indent+d.describe())
			continue
		}
		for _, nested := range d.Nested {
			fmt.Fprintf(w, "%s(%s  ; %s\n", indent, d.Name, d.Doc)
			showFields(w, nested, depth+1)
			fmt.Fprintf(w, "%s)\n", indent)
		}
	}
}

// describe returns the field as Show prints it, which is as a comment if the field has no value.
func (f *Field) describe() string {
	value := f.Value()
	if value == "" || value == `""` {
		return fmt.Sprintf("; (%s ...)  ; not set: %s; takes %s", f.Name, f.Doc, f.Expected)
	}
	origin := ""
	if !f.Set {
		origin = " (default)"
	}
	return fmt.Sprintf("(%s %s)  ; %s%s", f.Name, value, f.Doc, origin)
}
