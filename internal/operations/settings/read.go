package settings

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// Parse reads the form of a file. name stands in the faults, all of which are told. The tree is returned even with
// faults, as far as it could be read, so that its contents can be checked in the same pass.
func Parse(name string, data []byte) (*Node, *Faults) {
	faults := &Faults{file: name}
	root := &Node{Kind: List, Pos: Pos{1, 1}}
	if len(data) > MaxBytes {
		faults.Add(Pos{1, 1}, "the file has %d bytes, expected at most %d", len(data), MaxBytes)
		return root, faults
	}
	if i := firstInvalid(data); i >= 0 {
		line := 1 + strings.Count(string(data[:i]), "\n")
		col := 1 + utf8.RuneCount(data[strings.LastIndexByte(string(data[:i]), '\n')+1:i])
		faults.Add(Pos{line, col}, "a byte that is no UTF-8, expected text")
		return root, faults
	}
	r := &reader{rest: string(data), at: Pos{1, 1}, faults: faults}
	r.items(root, 0)
	return root, faults
}

func firstInvalid(data []byte) int {
	for i := 0; i < len(data); {
		c, n := utf8.DecodeRune(data[i:])
		if c == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

type reader struct {
	rest   string
	at     Pos
	faults *Faults
}

func (r *reader) peek() rune {
	c, n := utf8.DecodeRuneInString(r.rest)
	if n == 0 {
		return 0
	}
	return c
}

func (r *reader) next() rune {
	c, n := utf8.DecodeRuneInString(r.rest)
	r.rest = r.rest[n:]
	if c == '\n' {
		r.at = Pos{r.at.Line + 1, 1}
	} else {
		r.at.Col++
	}
	return c
}

// items reads up to the bracket that closes list, or the end of the file where it is the root.
func (r *reader) items(list *Node, depth int) {
	last := 0 // line on which the previous element ended
	if depth > 0 {
		last = list.Pos.Line
	}
	for {
		for r.rest != "" && unicode.IsSpace(r.peek()) {
			r.next()
		}
		at := r.at
		if r.rest == "" {
			if depth > 0 {
				r.faults.Add(list.Pos, "%s is not closed, expected )", list.describe())
			}
			list.End = at
			return
		}
		n := &Node{Pos: at, gap: last > 0 && at.Line > last+1}
		switch c := r.peek(); {
		case c == ')':
			r.next()
			if depth > 0 {
				list.End = at
				return
			}
			r.faults.Add(at, "a ) that closes nothing")
			continue
		case c == '(':
			r.next()
			n.Kind = List
			if depth >= MaxDepth {
				r.faults.Add(at, "lists %d deep, expected at most %d", depth+1, MaxDepth)
				r.rest = ""
				return
			}
			r.items(n, depth+1)
		case c == ';':
			i := strings.IndexByte(r.rest, '\n')
			if i < 0 {
				i = len(r.rest)
			}
			n.Kind, n.Text, n.sameLine = Comment, strings.TrimRightFunc(r.rest[:i], unicode.IsSpace), at.Line == last
			for range utf8.RuneCountInString(r.rest[:i]) {
				r.next()
			}
		case c == '"':
			n.Kind = Text
			r.quoted(n)
		default:
			var b strings.Builder
			for r.rest != "" && !ends(r.peek()) {
				c := r.next()
				if unicode.IsControl(c) {
					r.faults.Add(at, "a control character in a word, expected printable text")
				}
				b.WriteRune(c)
			}
			n.Kind, n.Text = Word, b.String()
		}
		list.Items = append(list.Items, n)
		last = r.at.Line
	}
}

func ends(c rune) bool { return unicode.IsSpace(c) || strings.ContainsRune(`();"`, c) }

// quoted reads a text.
func (r *reader) quoted(n *Node) {
	r.next()
	var b strings.Builder
	for {
		if r.rest == "" {
			r.faults.Add(n.Pos, `a text is not closed, expected "`)
			return
		}
		at := r.at
		switch c := r.next(); c {
		case '"':
			n.Text = b.String()
			return
		case '\n':
			r.faults.Add(n.Pos, `a text runs over the end of its line, expected " (a line break is written \n)`)
			return
		case '\\':
			if r.rest == "" {
				continue
			}
			switch e := r.next(); e {
			case 'n':
				b.WriteByte('\n')
			case 't':
				b.WriteByte('\t')
			case 'r':
				b.WriteByte('\r')
			case '"', '\\':
				b.WriteRune(e)
			default:
				r.faults.Add(at, `\%c in a text, expected \n, \t, \r, \" or \\`, e)
			}
		default:
			b.WriteRune(c)
		}
	}
}
