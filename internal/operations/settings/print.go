package settings

import "strings"

// maxLineBytes is how many bytes a printed line may have before its list is broken up.
const maxLineBytes = 100

// Print writes a file in its one form: what fits on a line is on one, indented by two blanks a level, comments where they were.
// Reading it back gives the same nodes, and printing them again the same bytes.
func Print(root *Node) []byte {
	var b strings.Builder
	printItems(&b, root.Items, 0)
	return []byte(b.String())
}

// printItems writes each item on a line of its own.
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

// printHead writes the items of a list that stay on its first line, and gives their number: up to two atoms, and a comment beside them, which a
// closing bracket can't follow.
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

// flatten writes a node on one line, which can't contain a comment.
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

// Quote writes a text in the form of a file.
func Quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`, "\r", `\r`).Replace(s) + `"`
}
