package settings

import "slices"

// FieldSet is one section, or a list of one, being read. A field is declared by the method of its type, with the variable
// that takes it; the variable's earlier value is the default. After the last field, whatever else the section has
// is unknown.
type FieldSet struct {
	node        *Node // nil: the file does not have the section
	faults      *Faults
	dir         string // that relative paths start from
	path        string // of names, from the section down
	fields      []*Field
	nodesByName map[string][]*Node // by field name
}

// Field is what a section declares, as `settings show` prints it.
type Field struct {
	Name     string
	Doc      string
	Expected string      // which values are valid
	Set      bool        // the file has it
	Nested   []*FieldSet // of a list of fields
	value    func() string
}

// Value is the field's value in the form of the file.
func (f *Field) Value() string { return f.value() }

// Fields are what was declared, in order.
func (f *FieldSet) Fields() []*Field { return f.fields }

// Present reports whether the file has the section.
func (f *FieldSet) Present() bool { return f.node != nil }

// AddFault reports that values that are valid each by itself contradict one another. name says at which field.
func (f *FieldSet) AddFault(name, format string, args ...any) {
	at := Pos{1, 1}
	if f.node != nil {
		at = f.node.Pos
	}
	if nodes := f.nodesByName[name]; len(nodes) > 0 {
		at = nodes[0].Pos
	}
	f.faults.Add(at, format, args...)
}

func newFieldSet(node *Node, faults *Faults, dir, path string) *FieldSet {
	f := &FieldSet{node: node, faults: faults, dir: dir, path: path, nodesByName: map[string][]*Node{}}
	if node == nil {
		return f
	}
	for _, n := range node.Values()[1:] {
		name := n.Name()
		if name == "" {
			faults.Add(n.Pos, "%s in (%s ...), expected (name value)", n.describe(), path)
			continue
		}
		f.nodesByName[name] = append(f.nodesByName[name], n)
	}
	return f
}

// reportUnknown reports what was not declared.
func (f *FieldSet) reportUnknown() {
	known := make([]string, 0, len(f.fields))
	for _, d := range f.fields {
		known = append(known, d.Name)
	}
	for name, nodes := range f.nodesByName {
		if slices.Contains(known, name) {
			continue
		}
		for _, n := range nodes {
			f.faults.Add(n.Pos, "%q is unknown in (%s ...)%s", truncate(name), f.path, suggestion(name, known))
		}
	}
}

// declare declares a field that may occur once, and gives its node, nil where the file lacks it, and its values.
func (f *FieldSet) declare(name, doc, want string, value func() string) (*Node, []*Node) {
	d := &Field{Name: name, Doc: doc, Expected: want, value: value}
	f.fields = append(f.fields, d)
	nodes := f.nodesByName[name]
	if len(nodes) == 0 {
		return nil, nil
	}
	d.Set = true
	for _, n := range nodes[1:] {
		f.faults.Add(n.Pos, "%q stands a second time, first on line %d, expected once", name, nodes[0].Pos.Line)
	}
	return nodes[0], nodes[0].Values()[1:]
}

// Group declares a list of fields of its own: (name (field value) ...).
func (f *FieldSet) Group(name, doc string, bind func(f *FieldSet)) {
	n, _ := f.declare(name, doc, "a list of fields", func() string { return "" })
	nested := f.bindNested(n, name, bind)
	f.fields[len(f.fields)-1].Nested = []*FieldSet{nested}
}

// Repeated declares a list of fields that may occur any number of times; bind is called for each. label is its first value,
// an atom or a text.
func (f *FieldSet) Repeated(name, doc string, bind func(label string, f *FieldSet)) {
	d := &Field{Name: name, Doc: doc, Expected: "a label and fields, any number of times", value: func() string { return "" }}
	f.fields = append(f.fields, d)
	labels := map[string]bool{}
	for _, n := range f.nodesByName[name] {
		d.Set = true
		values := n.Values()
		if len(values) < 2 || values[1].Kind == List {
			f.faults.Add(n.Pos, "%s has no label, expected (%s label (field value) ...)", name, name)
			continue
		}
		label := values[1].Text
		if labels[label] {
			f.faults.Add(values[1].Pos, "%s %q stands a second time, expected once", name, truncate(label))
		}
		labels[label] = true
		rest := &Node{Kind: List, Pos: n.Pos, End: n.End, Items: append([]*Node{values[0]}, values[2:]...)}
		bindLabelled := func(f *FieldSet) { bind(label, f) }
		d.Nested = append(d.Nested, f.bindNested(rest, name, bindLabelled))
	}
}

func (f *FieldSet) bindNested(n *Node, name string, bind func(f *FieldSet)) *FieldSet {
	nested := newFieldSet(n, f.faults, f.dir, f.path+" "+name)
	bind(nested)
	nested.reportUnknown()
	return nested
}
