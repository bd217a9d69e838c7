package pooling

import (
	"errors"
	"strings"
)

// tokenKind is what a token is.
type tokenKind uint8

const (
	word   tokenKind = iota // an unquoted name or key word, in small letters
	quoted                  // a quoted identifier, without its quotes
	text                    // a string constant, as it means
	number
	symbol // one character
	param  // $1
)

type token struct {
	kind tokenKind
	s    string
	at   int // where it begins
}

// Errors of what cannot be read. Such a statement may be anything.
var (
	errString  = errors.New("pooling: a string or quoted name without its end")
	errComment = errors.New("pooling: a comment without its end")
)

// scanner reads tokens. standard tells that backslashes in plain strings mean
// themselves (standard_conforming_strings).
type scanner struct {
	s        string
	at       int
	standard bool
}

// next returns the next token; ok is false at the end.
func (c *scanner) next() (t token, ok bool, err error) {
	if err := c.blanks(); err != nil || c.at >= len(c.s) {
		return t, false, err
	}
	from := c.at
	t.at = from
	switch b := c.s[from]; {
	case b == '\'':
		t.kind = text
		t.s, err = c.string(!c.standard)
	case b == '"':
		t.kind = quoted
		t.s, err = c.delimited('"')
	case b == '$':
		return c.dollar()
	case (b == 'e' || b == 'E' || b == 'b' || b == 'B' || b == 'x' || b == 'X' || b == 'n' || b == 'N') && c.peek(1) == '\'':
		c.at++
		t.kind = text
		t.s, err = c.string(b == 'e' || b == 'E')
	case (b == 'u' || b == 'U') && c.peek(1) == '&' && (c.peek(2) == '\'' || c.peek(2) == '"'):
		c.at += 2
		if t.kind = text; c.s[c.at] == '"' {
			t.kind = quoted
			t.s, err = c.delimited('"')
		} else {
			t.s, err = c.string(false)
		}
	case letter(b):
		for c.at < len(c.s) && (letter(c.s[c.at]) || digit(c.s[c.at]) || c.s[c.at] == '$') {
			c.at++
		}
		t.kind, t.s = word, strings.ToLower(c.s[from:c.at])
	case digit(b), b == '.' && digit(c.peek(1)):
		for c.at < len(c.s) && (digit(c.s[c.at]) || c.s[c.at] == '.' || letter(c.s[c.at])) {
			c.at++
		}
		t.kind, t.s = number, c.s[from:c.at]
	default:
		c.at++
		t.kind, t.s = symbol, c.s[from:c.at]
	}
	return t, err == nil, err
}

func (c *scanner) peek(n int) byte {
	if c.at+n < len(c.s) {
		return c.s[c.at+n]
	}
	return 0
}

func letter(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_' || b >= 0x80
}
func digit(b byte) bool { return b >= '0' && b <= '9' }

// blanks skips white space and comments, which nest.
func (c *scanner) blanks() error {
	for c.at < len(c.s) {
		switch b := c.s[c.at]; {
		case b == ' ' || b == '\t' || b == '\n' || b == '\r' || b == '\f' || b == '\v':
			c.at++
		case b == '-' && c.peek(1) == '-':
			for c.at < len(c.s) && c.s[c.at] != '\n' && c.s[c.at] != '\r' {
				c.at++
			}
		case b == '/' && c.peek(1) == '*':
			depth := 0
			for {
				switch {
				case c.at >= len(c.s):
					return errComment
				case c.s[c.at] == '/' && c.peek(1) == '*':
					depth++
					c.at += 2
				case c.s[c.at] == '*' && c.peek(1) == '/':
					depth--
					c.at += 2
				default:
					c.at++
				}
				if depth == 0 {
					break
				}
			}
		default:
			return nil
		}
	}
	return nil
}

// string reads a string constant from its first quote. With escapes a
// backslash takes the next character with it.
func (c *scanner) string(escapes bool) (string, error) {
	var out strings.Builder
	for c.at++; c.at < len(c.s); c.at++ {
		switch b := c.s[c.at]; {
		case b == '\\' && escapes:
			if c.at++; c.at >= len(c.s) {
				return "", errString
			}
			out.WriteByte(c.s[c.at])
		case b != '\'':
			out.WriteByte(b)
		case c.peek(1) == '\'':
			c.at++
			out.WriteByte('\'')
		default:
			c.at++
			return out.String(), nil
		}
	}
	return "", errString
}

// delimited reads up to a closing quote, which is doubled to mean itself.
func (c *scanner) delimited(end byte) (string, error) {
	var out strings.Builder
	for c.at++; c.at < len(c.s); c.at++ {
		if c.s[c.at] == end {
			if c.peek(1) != end {
				c.at++
				return out.String(), nil
			}
			c.at++
		}
		out.WriteByte(c.s[c.at])
	}
	return "", errString
}

// dollar reads a parameter, or a string between dollar signs.
func (c *scanner) dollar() (t token, ok bool, err error) {
	from := c.at
	t.at = from
	i := from + 1
	for i < len(c.s) && digit(c.s[i]) {
		i++
	}
	if i > from+1 {
		c.at = i
		return token{param, c.s[from:i], from}, true, nil
	}
	for i < len(c.s) && (letter(c.s[i]) || digit(c.s[i])) {
		i++
	}
	if i >= len(c.s) || c.s[i] != '$' {
		c.at++
		return token{symbol, "$", from}, true, nil
	}
	tag := c.s[from : i+1]
	end := strings.Index(c.s[i+1:], tag)
	if end < 0 {
		return t, false, errString
	}
	c.at = i + 1 + end + len(tag)
	return token{text, c.s[i+1 : i+1+end], from}, true, nil
}

// statement is one of a query string.
type statement struct {
	tokens []token
	text   string // without its semicolon
}

// split reads a query string into its statements. An empty one is left out.
func split(sql string, standard bool) (statements []statement, err error) {
	c := &scanner{s: sql, standard: standard}
	var now []token
	add := func(end int) {
		if len(now) > 0 {
			statements = append(statements, statement{now, sql[now[0].at:end]})
		}
		now = nil
	}
	depth := 0 // of BEGIN ATOMIC bodies: the semicolons in one belong to it
	for {
		t, ok, err := c.next()
		if err != nil {
			return nil, err
		}
		if !ok {
			break
		}
		switch {
		case t.kind == symbol && t.s == ";" && depth == 0:
			add(t.at)
			continue
		case t.is("atomic") && len(now) > 0 && now[len(now)-1].is("begin"):
			depth++
		case depth > 0 && t.is("case"):
			depth++
		case depth > 0 && t.is("end"):
			depth--
		}
		now = append(now, t)
	}
	add(len(sql))
	return statements, nil
}

func (t token) is(w string) bool { return t.kind == word && t.s == w }

func (t token) isSymbol(s string) bool { return t.kind == symbol && t.s == s }

// name tells whether a token may be an identifier.
func (t token) name() bool { return t.kind == word || t.kind == quoted }
