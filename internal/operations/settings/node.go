// Package settings reads the operators' own file: S-expressions, typed and validated. It owns the form of the file, its
// faults and its printing; what stands in a section is known to the package that registers it (see Schema).
package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Bounds of a file. What an operator writes by hand is far below them; a file beyond is a mistake, told as such.
const (
	MaxBytes  = 1 << 20 // of a whole file
	MaxDepth  = 32      // lists in lists
	maxFaults = 100     // told of one file
)

// Pos is a place in a file, from 1; columns count characters.
type Pos struct{ Line, Col int }

// Kind tells nodes apart.
type Kind int

// The kinds of node.
const (
	Word    Kind = iota // bare: on, 250ms, x25519
	Text                // quoted
	List                // (...)
	Comment             // ; to the end of the line, kept for printing
)

// Node is one element of a file.
type Node struct {
	Kind  Kind
	Pos   Pos
	End   Pos     // of the closing bracket of a List
	Text  string  // of a Word, a Text (unquoted) and a Comment (with its semicolons)
	Items []*Node // of a List, comments included

	gap      bool // a blank line stood before it
	sameLine bool // of a Comment: something stood before it on its line
}

// Values are the items of a list without its comments.
func (n *Node) Values() []*Node {
	var out []*Node
	for _, i := range n.Items {
		if i.Kind != Comment {
			out = append(out, i)
		}
	}
	return out
}

// Name is the first word of a list, "" where it does not begin with one.
func (n *Node) Name() string {
	if n.Kind != List {
		return ""
	}
	for _, i := range n.Items {
		if i.Kind == Comment {
			continue
		}
		if i.Kind == Word {
			return i.Text
		}
		break
	}
	return ""
}

// describe is how a fault names what it found.
func (n *Node) describe() string {
	switch n.Kind {
	case Word:
		return fmt.Sprintf("%q", clip(n.Text))
	case Text:
		return fmt.Sprintf("the text %q", clip(n.Text))
	case List:
		if name := n.Name(); name != "" {
			return fmt.Sprintf("the list (%s ...)", clip(name))
		}
		return "a list"
	}
	return "a comment"
}

func clip(s string) string {
	if r := []rune(s); len(r) > 40 {
		return string(r[:40]) + "..."
	}
	return s
}

// Fault is one thing wrong with a file.
type Fault struct {
	File string
	Pos  Pos
	What string // what was found, what is expected
}

func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Pos.Line, f.Pos.Col, f.What)
}

// Faults are all things wrong with a file, in its order.
type Faults struct {
	file string
	list []Fault
	more int
}

// Add notes a fault.
func (f *Faults) Add(at Pos, format string, args ...any) {
	if len(f.list) == maxFaults {
		f.more++
		return
	}
	f.list = append(f.list, Fault{f.file, at, fmt.Sprintf(format, args...)})
}

// All gives the faults in the order of the file.
func (f *Faults) All() []Fault {
	sort.SliceStable(f.list, func(i, j int) bool {
		a, b := f.list[i].Pos, f.list[j].Pos
		return a.Line < b.Line || a.Line == b.Line && a.Col < b.Col
	})
	return f.list
}

// Err is the faults as an error, nil without any.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return f
}

func (f *Faults) Error() string {
	var lines []string
	for _, x := range f.All() {
		lines = append(lines, x.Error())
	}
	if f.more > 0 {
		lines = append(lines, fmt.Sprintf("%s: and %d more", f.file, f.more))
	}
	return strings.Join(lines, "\n")
}
