package settings

import (
	"strings"
)

// Form is one section, or a list of one, being read. A field is declared by the method of its type, with the variable
// that takes it; what the variable held before is the default. After the last field, whatever else stands in the section
// is unknown.
type Form struct {
	node   *Node // nil: the file does not have the section
	faults *Faults
	dir    string // that relative paths start from
	path   string
	fields []*Field
	seen   map[string][]*Node
}

// Field is what a section declares, as `settings show` prints it.
type Field struct {
	Name, Doc, Want string
	Set             bool // the file has it
	value           func() string
	Forms           []*Form // of a list of fields
}

// Value is the field's value in the form of the file.
func (f *Field) Value() string { return f.value() }

// Fields are what was declared, in order.
func (f *Form) Fields() []*Field { return f.fields }

// Present tells whether the file has the section.
func (f *Form) Present() bool { return f.node != nil }

// Fault notes that values which are right each by itself can't stand together. name says at which field.
func (f *Form) Fault(name, format string, args ...any) {
	at := Pos{1, 1}
	if f.node != nil {
		at = f.node.Pos
	}
	if nodes := f.seen[name]; len(nodes) > 0 {
		at = nodes[0].Pos
	}
	f.faults.Add(at, format, args...)
}

func newForm(node *Node, faults *Faults, dir, path string) *Form {
	f := &Form{node: node, faults: faults, dir: dir, path: path, seen: map[string][]*Node{}}
	if node == nil {
		return f
	}
	for _, n := range node.Values()[1:] {
		name := n.Name()
		if name == "" {
			faults.Add(n.Pos, "%s in (%s ...), expected (name value)", n.describe(), path)
			continue
		}
		f.seen[name] = append(f.seen[name], n)
	}
	return f
}

// done tells of what was not declared.
func (f *Form) done() {
	known := make([]string, 0, len(f.fields))
	for _, d := range f.fields {
		known = append(known, d.Name)
	}
	for name, nodes := range f.seen {
		if contains(known, name) {
			continue
		}
		for _, n := range nodes {
			f.faults.Add(n.Pos, "%q is unknown in (%s ...)%s", clip(name), f.path, nearest(name, known))
		}
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// take finds the values of a field that may stand once.
func (f *Form) take(name, doc, want string, value func() string) (*Node, []*Node) {
	d := &Field{Name: name, Doc: doc, Want: want, value: value}
	f.fields = append(f.fields, d)
	nodes := f.seen[name]
	if len(nodes) == 0 {
		return nil, nil
	}
	d.Set = true
	for _, n := range nodes[1:] {
		f.faults.Add(n.Pos, "%q stands a second time, first on line %d, expected once", name, nodes[0].Pos.Line)
	}
	return nodes[0], nodes[0].Values()[1:]
}

func (f *Form) many(name, doc, want string, to *[]string, read func(s string) (string, bool)) {
	n, values := f.take(name, doc, want, func() string {
		var out []string
		for _, s := range *to {
			out = append(out, Quote(s))
		}
		return strings.Join(out, " ")
	})
	if n == nil {
		return
	}
	if len(values) == 0 {
		f.faults.Add(n.Pos, "%s has no value, expected %s", name, want)
	}
	var out []string
	for _, v := range values {
		s, ok := read(v.Text)
		switch {
		case v.Kind == List || !ok:
			f.faults.Add(v.Pos, "%s is %s, expected %s", name, v.describe(), want)
		case contains(out, s):
			f.faults.Add(v.Pos, "%s names %s twice, expected once", name, v.describe())
		default:
			out = append(out, s)
		}
	}
	*to = out
}

// Pairs declares a map: (name (key value) ...). check may be nil.
func (f *Form) Pairs(name, doc, want string, to *map[string]string, check func(key, value string) bool) {
	n, values := f.take(name, doc, want, func() string {
		var out []string
		for _, k := range sortedKeys(*to) {
			out = append(out, "("+Quote(k)+" "+Quote((*to)[k])+")")
		}
		return strings.Join(out, " ")
	})
	if n == nil {
		return
	}
	out := map[string]string{}
	for _, v := range values {
		pair := v.Values()
		if v.Kind != List || len(pair) != 2 || pair[0].Kind == List || pair[1].Kind == List ||
			check != nil && !check(pair[0].Text, pair[1].Text) {
			f.faults.Add(v.Pos, "%s has %s, expected %s", name, v.describe(), want)
			continue
		}
		if _, twice := out[pair[0].Text]; twice {
			f.faults.Add(v.Pos, "%s names %q twice, expected once", name, clip(pair[0].Text))
		}
		out[pair[0].Text] = pair[1].Text
	}
	*to = out
}

// Group declares a list of fields of its own: (name (field value) ...).
func (f *Form) Group(name, doc string, bind func(f *Form)) {
	n, _ := f.take(name, doc, "a list of fields", func() string { return "" })
	f.nest(n, name, bind)
}

// Each declares a list of fields that may stand any number of times; bind is called for each. label is its first value,
// a word or a text.
func (f *Form) Each(name, doc string, bind func(label string, f *Form)) {
	d := &Field{Name: name, Doc: doc, Want: "a label and fields, any number of times", value: func() string { return "" }}
	f.fields = append(f.fields, d)
	labels := map[string]bool{}
	for _, n := range f.seen[name] {
		d.Set = true
		values := n.Values()
		if len(values) < 2 || values[1].Kind == List {
			f.faults.Add(n.Pos, "%s has no label, expected (%s label (field value) ...)", name, name)
			continue
		}
		label := values[1].Text
		if labels[label] {
			f.faults.Add(values[1].Pos, "%s %q stands a second time, expected once", name, clip(label))
		}
		labels[label] = true
		rest := &Node{Kind: List, Pos: n.Pos, End: n.End, Items: append([]*Node{values[0]}, values[2:]...)}
		sub := newForm(rest, f.faults, f.dir, f.path+" "+name)
		bind(label, sub)
		sub.done()
		d.Forms = append(d.Forms, sub)
	}
}

func (f *Form) nest(n *Node, name string, bind func(f *Form)) {
	sub := newForm(n, f.faults, f.dir, f.path+" "+name)
	bind(sub)
	sub.done()
	f.fields[len(f.fields)-1].Forms = []*Form{sub}
}
