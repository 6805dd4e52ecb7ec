package settings

import "strings"

// maxLineBytes is the length in bytes, including the indentation, up to which a list is printed on one
// line.
const maxLineBytes = 100

// Print returns a file in its canonical format: each list that fits is on one line, each level is
// indented by two blanks, and comments stay where they were. Parsing the result returns the same
// nodes, and printing those returns the same bytes.
func Print(root *Node) []byte {
	var b strings.Builder
	printItems(&b, root.Items, 0)
	return []byte(b.String())
}

// printItems writes each item on a separate line, indented by indent blanks. A comment that followed an
// item on the item's line is written after that item. One blank line is kept where the file had any.
func printItems(b *strings.Builder, items []*Node, indent int) {
	for i, n := range items {
		if n.Kind == Comment && n.sameLine && i > 0 {
			b.WriteString("  " + n.Text + "\n")
			continue
		}
		if i > 0 && n.afterBlankLine {
			b.WriteByte('\n')
		}
		b.WriteString(strings.Repeat(" ", indent))
		printNode(b, n, indent)
		if !(i+1 < len(items) && items[i+1].Kind == Comment && items[i+1].sameLine) {
			b.WriteByte('\n')
		}
	}
}

// printNode writes a node, which starts after indent blanks. A list that does not fit on one line or
// contains a comment is written on several lines.
func printNode(b *strings.Builder, n *Node, indent int) {
	if flat, ok := flatten(n); ok && (n.Kind != List || indent+len(flat) <= maxLineBytes) {
		b.WriteString(flat)
		return
	}
	b.WriteByte('(')
	head := printHead(b, n.Items)
	b.WriteByte('\n')
	printItems(b, n.Items[head:], indent+2)
	b.WriteString(strings.Repeat(" ", indent) + ")")
}

// printHead writes the items that stay on the first line of a list, and returns their number. These are
// up to two atoms, and a comment next to them. What follows that comment, even the closing bracket,
// needs another line, because it would be part of the comment otherwise.
func printHead(b *strings.Builder, items []*Node) (head int) {
	for head < len(items) && head < 2 && items[head].Kind == Atom {
		if head > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(items[head].Text)
		head++
	}
	if head < len(items) && items[head].Kind == Comment && (head == 0 || items[head].sameLine) {
		b.WriteString("  " + items[head].Text)
		head++
	}
	return head
}

// flatten returns a node on one line. It returns false for a list that contains a comment.
func flatten(n *Node) (string, bool) {
	switch n.Kind {
	case Atom, Comment:
		return n.Text, true
	case Text:
		return Quote(n.Text), true
	}
	var parts []string
	for _, i := range n.Items {
		s, ok := flatten(i)
		if !ok || i.Kind == Comment {
			return "", false
		}
		parts = append(parts, s)
	}
	return "(" + strings.Join(parts, " ") + ")", true
}

// Quote returns a text in the syntax of a settings file, with quotes and escapes.
func Quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`, "\r", `\r`).Replace(s) + `"`
}
