package settings

import "strings"

// width is how long a printed line may get before its list is broken up.
const width = 100

// Print writes a file in its one form: what fits on a line stands on one, two blanks a level, comments where they were.
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
		if i > 0 && n.gap {
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
	if flat, ok := flatten(n); ok && (n.Kind != List || indent+len(flat) <= width) {
		b.WriteString(flat)
		return
	}
	// The words at the list's head stay on its first line; a closing bracket never follows a comment.
	b.WriteByte('(')
	head := 0
	for head < len(n.Items) && head < 2 && n.Items[head].Kind == Word {
		if head > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(n.Items[head].Text)
		head++
	}
	if head == 0 && len(n.Items) > 0 && n.Items[0].Kind == Comment {
		b.WriteString("  " + n.Items[0].Text)
		head = 1
	} else if head < len(n.Items) && n.Items[head].Kind == Comment && n.Items[head].sameLine {
		b.WriteString("  " + n.Items[head].Text)
		head++
	}
	b.WriteByte('\n')
	printItems(b, n.Items[head:], indent+2)
	b.WriteString(strings.Repeat(" ", indent) + ")")
}

// flatten writes a node on one line; a comment can't stand inside one.
func flatten(n *Node) (string, bool) {
	switch n.Kind {
	case Word, Comment:
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

// Quote writes a text as it stands in a file.
func Quote(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\t", `\t`, "\r", `\r`).Replace(s) + `"`
}
