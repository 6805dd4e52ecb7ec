// Package settings reads the operators' settings file: S-expressions, typed and validated. It owns
// the syntax of the file, its faults and its printing. The package that registers a section defines
// the section's fields (see Schema).
package settings

import "fmt"

// Bounds of a file. Files written by hand are far below them. A file beyond a bound is reported as a
// fault.
const (
	MaxBytes = 1 << 20 // size of the file
	MaxDepth = 32      // number of lists that are open at any position
)

// Pos is a position in a file. Lines and columns count from 1; columns count characters.
type Pos struct{ Line, Col int }

// Kind is the kind of a node.
type Kind int

// The kinds of node.
const (
	Atom    Kind = iota // a bare word: on, 250ms, x25519
	Text                // quoted
	List                // (...)
	Comment             // ; to the end of the line, preserved by Print
)

// Node is one element of the syntax tree of a file.
type Node struct {
	Kind  Kind
	Pos   Pos
	End   Pos     // of a List: its closing bracket, or the end of the file if it is not closed
	Text  string  // of an Atom, a Text (without quotes and escapes) or a Comment (with its semicolons)
	Items []*Node // of a List, including comments

	afterBlankLine bool // whether a blank line precedes the node
	sameLine       bool // of a Comment: whether a node or an opening bracket precedes it on its line
}

// Values returns the items of a list without its comments.
func (n *Node) Values() []*Node {
	var out []*Node
	for _, item := range n.Items {
		if item.Kind != Comment {
			out = append(out, item)
		}
	}
	return out
}

// Name returns the first atom of a list, or "" if the node is not a list that begins with an atom.
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

// describe returns the node as a fault names it.
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

const maxQuotedRunes = 40 // most characters of one node that a fault quotes

// truncate shortens s to maxQuotedRunes characters followed by "..." if it is longer.
func truncate(s string) string {
	if r := []rune(s); len(r) > maxQuotedRunes {
		return string(r[:maxQuotedRunes]) + "..."
	}
	return s
}
