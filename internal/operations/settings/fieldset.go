package settings

import "slices"

// FieldSet reads the fields of a section, or of a list of fields inside a section. Each field is
// declared by the method for its type, with a pointer to the variable that receives its value; the
// variable's previous value is the default. Fields of the file that are not declared are faults.
type FieldSet struct {
	node        *Node // nil if the file does not have the section
	faults      *Faults
	dir         string             // folder of the file, from which relative paths start
	path        string             // names of the lists from the section to this one, separated by blanks
	fields      []*Field           // the fields declared so far
	nodesByName map[string][]*Node // the file's nodes by field name
}

// Field is a declared field, as `settings show` prints it.
type Field struct {
	Name     string
	Doc      string
	Expected string        // describes the valid values
	Set      bool          // whether the file has the field
	Nested   []*FieldSet   // for a list of fields: one set per occurrence
	value    func() string // returns the current value in the syntax of a settings file
}

// Value returns the field's value in the syntax of a settings file, or "" for a list of fields.
func (f *Field) Value() string { return f.value() }

// Fields returns the declared fields in the order of their declaration.
func (f *FieldSet) Fields() []*Field { return f.fields }

// Present reports whether the file has the section.
func (f *FieldSet) Present() bool { return f.node != nil }

// AddFault adds a fault for values that are valid on their own but contradict each other. It
// reports the fault at the field called name, or at the section if the file does not have that
// field.
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

// newFieldSet returns a field set for the list node, which is nil if the file does not have the list.
// Items of node that are not lists with a name are faults. dir and path are as in FieldSet.
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

// reportUnknown adds a fault for each field of the file that was not declared.
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

// declare declares a field that may occur once. It returns the field's node and its values, or nils if
// the file does not have the field. doc, expected and value are those of Field. If the field occurs
// again, that is a fault and the first occurrence counts.
func (f *FieldSet) declare(name, doc, expected string, value func() string) (*Node, []*Node) {
	d := &Field{Name: name, Doc: doc, Expected: expected, value: value}
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

// Group declares a list of fields that may occur once: (name (field value) ...). It calls bind, which
// declares the fields, even if the file does not have the list.
func (f *FieldSet) Group(name, doc string, bind func(f *FieldSet)) {
	n, _ := f.declare(name, doc, "a list of fields", func() string { return "" })
	nested := f.bindNested(n, name, bind)
	f.fields[len(f.fields)-1].Nested = []*FieldSet{nested}
}

// Repeated declares a list of fields that may occur any number of times: (name label (field value)
// ...). It calls bind, which declares the fields, for each occurrence. The label is an atom or a text;
// a label that occurs twice is a fault, but bind is still called.
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

// bindNested binds the fields of the list n inside f, and reports fields that bind does not
// declare. n is nil if the file does not have the list.
func (f *FieldSet) bindNested(n *Node, name string, bind func(f *FieldSet)) *FieldSet {
	nested := newFieldSet(n, f.faults, f.dir, f.path+" "+name)
	bind(nested)
	nested.reportUnknown()
	return nested
}
