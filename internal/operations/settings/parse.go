package settings

import (
	"bytes"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Parse parses the syntax of a file. It returns a list whose items are the nodes at the top level, and
// all faults, with name as the file's name. If there are faults, the list contains what could be read,
// so that Schema.Read can check the contents in the same pass. The *Faults is never nil.
func Parse(name string, data []byte) (*Node, *Faults) {
	faults := &Faults{file: name}
	root := &Node{Kind: List, Pos: Pos{1, 1}}
	if len(data) > MaxBytes {
		faults.Add(Pos{1, 1}, "the file has %d bytes, expected at most %d", len(data), MaxBytes)
		return root, faults
	}
	if i := firstInvalidUTF8(data); i >= 0 {
		faults.Add(positionAfter(data[:i]), "a byte that is not valid UTF-8, expected text")
		return root, faults
	}
	p := &parser{rest: string(data), pos: Pos{1, 1}, faults: faults}
	p.parseItems(root, 0)
	return root, faults
}

// positionAfter returns the position that follows text at the start of a file.
func positionAfter(text []byte) Pos {
	lineStart := bytes.LastIndexByte(text, '\n') + 1
	return Pos{Line: 1 + bytes.Count(text, []byte("\n")), Col: 1 + utf8.RuneCount(text[lineStart:])}
}

// firstInvalidUTF8 returns the index of the first byte that is not valid UTF-8, or -1 if there is
// none.
func firstInvalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		c, n := utf8.DecodeRune(data[i:])
		if c == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

// parser parses the nodes of a file one by one.
type parser struct {
	rest   string // the input that is still to be parsed
	pos    Pos    // position at which rest starts
	faults *Faults
}

// peek returns the next character, or 0 at the end of the input.
func (p *parser) peek() rune {
	c, n := utf8.DecodeRuneInString(p.rest)
	if n == 0 {
		return 0
	}
	return c
}

// next returns the next character and advances the position. It must not be called at the end of
// the input.
func (p *parser) next() rune {
	c, n := utf8.DecodeRuneInString(p.rest)
	p.rest = p.rest[n:]
	if c == '\n' {
		p.pos = Pos{p.pos.Line + 1, 1}
	} else {
		p.pos.Col++
	}
	return c
}

// skipSpace advances to the next character that is not white space.
func (p *parser) skipSpace() {
	for p.rest != "" && unicode.IsSpace(p.peek()) {
		p.next()
	}
}

// parseItems parses the items of list up to its closing bracket, or up to the end of the file if
// list is the root. depth is the number of open lists.
func (p *parser) parseItems(list *Node, depth int) {
	lastLine := 0 // line on which the previous node ended or the list opened; 0 at the start of the file
	if depth > 0 {
		lastLine = list.Pos.Line
	}
	for {
		p.skipSpace()
		at := p.pos
		if p.rest == "" {
			if depth > 0 {
				p.faults.Add(list.Pos, "%s is not closed, expected )", list.describe())
			}
			list.End = at
			return
		}
		if p.peek() == ')' {
			p.next()
			if depth > 0 {
				list.End = at
				return
			}
			p.faults.Add(at, "a ) without its (")
			continue
		}
		n := &Node{Pos: at, afterBlankLine: lastLine > 0 && at.Line > lastLine+1}
		if !p.parseNode(n, depth, lastLine) {
			return
		}
		list.Items = append(list.Items, n)
		lastLine = p.pos.Line
	}
}

// parseNode parses one node into n, whose position is set. depth is the number of open lists, and
// lastLine the line on which the previous node ended. parseNode returns false if lists are nested too
// deep; the rest of the input is then discarded.
func (p *parser) parseNode(n *Node, depth, lastLine int) bool {
	switch p.peek() {
	case '(':
		p.next()
		n.Kind = List
		if depth >= MaxDepth {
			p.faults.Add(n.Pos, "lists %d deep, expected at most %d", depth+1, MaxDepth)
			p.rest = ""
			return false
		}
		p.parseItems(n, depth+1)
	case ';':
		p.parseComment(n)
		n.sameLine = n.Pos.Line == lastLine
	case '"':
		p.parseText(n)
	default:
		p.parseAtom(n)
	}
	return true
}

// parseComment parses a comment up to the end of its line, without trailing white space.
func (p *parser) parseComment(n *Node) {
	end := strings.IndexByte(p.rest, '\n')
	if end < 0 {
		end = len(p.rest)
	}
	n.Kind, n.Text = Comment, strings.TrimRightFunc(p.rest[:end], unicode.IsSpace)
	for range utf8.RuneCountInString(p.rest[:end]) {
		p.next()
	}
}

// parseAtom parses an atom up to a character that ends it.
func (p *parser) parseAtom(n *Node) {
	var b strings.Builder
	for p.rest != "" && !endsAtom(p.peek()) {
		c := p.next()
		if unicode.IsControl(c) {
			p.faults.Add(n.Pos, "a control character in a word, expected printable text")
		}
		b.WriteRune(c)
	}
	n.Kind, n.Text = Atom, b.String()
}

// endsAtom reports whether c is not part of an atom.
func endsAtom(c rune) bool { return unicode.IsSpace(c) || strings.ContainsRune(`();"`, c) }

// parseText parses a quoted text. A text that is not closed on its line is a fault, and n.Text stays
// empty.
func (p *parser) parseText(n *Node) {
	n.Kind = Text
	p.next()
	var b strings.Builder
	for {
		if p.rest == "" {
			p.faults.Add(n.Pos, `a text is not closed, expected "`)
			return
		}
		at := p.pos
		switch c := p.next(); c {
		case '"':
			n.Text = b.String()
			return
		case '\n':
			p.faults.Add(n.Pos, `a text runs over the end of its line, expected " (a line break is written \n)`)
			return
		case '\\':
			p.parseEscape(&b, at)
		default:
			b.WriteRune(c)
		}
	}
}

// parseEscape parses the character after a backslash and writes the character that it stands for to b.
// at is the position of the backslash. parseEscape does nothing at the end of the input.
func (p *parser) parseEscape(b *strings.Builder, at Pos) {
	if p.rest == "" {
		return
	}
	switch c := p.next(); c {
	case 'n':
		b.WriteByte('\n')
	case 't':
		b.WriteByte('\t')
	case 'r':
		b.WriteByte('\r')
	case '"', '\\':
		b.WriteRune(c)
	default:
		p.faults.Add(at, `\%c in a text, expected \n, \t, \r, \" or \\`, c)
	}
}
