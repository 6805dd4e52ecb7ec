// Package settings reads the operators' settings file: S-expressions, typed and validated. It owns the form of the file, its
// faults and its printing; what a section may contain is known to the package that registers it (see Schema).
package settings

import "fmt"

// Bounds of a file. What an operator writes by hand is far below them; a file beyond is reported as a mistake.
const (
	MaxBytes = 1 << 20
	MaxDepth = 32 // lists in lists
)

// Pos is a place in a file, from 1; columns count characters.
type Pos struct{ Line, Col int }

// Kind is the kind of a node.
type Kind int

// The kinds of node.
const (
	Atom    Kind = iota // bare: on, 250ms, x25519
	Text                // quoted
	List                // (...)
	Comment             // ; to the end of the line, preserved by Print
)

// Node is one element of a file.
type Node struct {
	Kind  Kind
	Pos   Pos
	End   Pos     // of the closing bracket of a List
	Text  string  // of an Atom, a Text (unquoted) and a Comment (with its semicolons)
	Items []*Node // of a List, comments included

	afterBlankLine bool
	sameLine       bool // of a Comment: it follows something on its line
}

// Values are the items of a list without its comments.
func (n *Node) Values() []*Node {
	var out []*Node
	for _, item := range n.Items {
		if item.Kind != Comment {
			out = append(out, item)
		}
	}
	return out
}

// Name is the first atom of a list, "" where it does not begin with one.
func (n *Node) Name() string {
	if n.Kind != List {
		return ""
	}
	for _, item := range n.Items {
		switch item.Kind {
		case Comment:
			continue
		case Atom:
			return item.Text
		}
		break
	}
	return ""
}

// describe is how a fault names what it found.
func (n *Node) describe() string {
	switch n.Kind {
	case Atom:
		return fmt.Sprintf("%q", truncate(n.Text))
	case Text:
		return fmt.Sprintf("the text %q", truncate(n.Text))
	case List:
		if name := n.Name(); name != "" {
			return fmt.Sprintf("the list (%s ...)", truncate(name))
		}
		return "a list"
	}
	return "a comment"
}

const maxQuotedRunes = 40 // of the file, in a fault

func truncate(s string) string {
	if r := []rune(s); len(r) > maxQuotedRunes {
		return string(r[:maxQuotedRunes]) + "..."
	}
	return s
}
