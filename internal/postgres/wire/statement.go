package wire

import (
	"bytes"
	"math"
	"strconv"
)

// Statement is what the router reads of a client's statement: the values of
// its comment, its quoted key, and where the wait stands.
type Statement struct {
	ID, Class      []byte
	Key            []byte // the quoted key of the row
	Keyed          bool   // it has an idempotency key
	Cluster        int
	After          float64 // Unix milliseconds, 0 if none
	Wait           float64 // milliseconds
	WaitAt, WaitTo int     // the wait's digits within the text
}

// ParseStatement reads a statement whose comment ends it.
func ParseStatement(text []byte) (Statement, error) {
	s := Statement{Cluster: -1, Wait: -1}
	open := bytes.LastIndex(text, []byte("/*"))
	if open < 0 {
		return s, malformed("a statement without its comment")
	}
	rest := text[open+2:]
	inside := bytes.Index(rest, []byte("*/"))
	if inside < 0 || len(bytes.Trim(rest[inside+2:], " \t\r\n;")) > 0 {
		return s, malformed("a comment that does not end the statement")
	}
	at := open + 2
	for part := range bytes.SplitSeq(rest[:inside], []byte{','}) {
		if err := s.take(part, at); err != nil {
			return s, err
		}
		at += len(part) + 1
	}
	if len(s.ID) == 0 || len(s.Class) == 0 || s.Wait < 0 || s.Cluster < 0 {
		return s, malformed("a comment without id, c, d or cluster")
	}
	s.Key = quoted(text[:open])
	return s, nil
}

// Verb returns the first word of a statement.
func Verb(text []byte) []byte {
	text = bytes.TrimLeft(text, " \t\r\n")
	if i := bytes.IndexFunc(text, func(r rune) bool { return (r < 'A' || r > 'Z') && (r < 'a' || r > 'z') }); i >= 0 {
		return text[:i]
	}
	return text
}

// take reads one name and value, which start at the given place of the text.
func (s *Statement) take(part []byte, at int) error {
	name, value, ok := bytes.Cut(part, []byte{'='})
	if !ok {
		return malformed("a comment's part without a value")
	}
	from := at + len(name) + 1
	from += len(value) - len(bytes.TrimLeft(value, " "))
	value = bytes.TrimSpace(value)
	switch string(bytes.TrimSpace(name)) {
	case "id":
		s.ID = value
	case "c":
		s.Class = value
	case "k":
		s.Keyed = len(value) > 0
	case "d":
		s.WaitAt, s.WaitTo = from, from+len(value)
		return number(value, &s.Wait)
	case "after":
		return number(value, &s.After)
	case "cluster":
		n, err := strconv.ParseUint(string(value), 10, 16)
		if err != nil {
			return malformed("cluster %q", value)
		}
		s.Cluster = int(n)
	}
	return nil
}

// maxNumber is beyond every time in milliseconds that a client may name.
const maxNumber = 4e12

func number(text []byte, to *float64) error {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > maxNumber {
		return malformed("the number %q", text)
	}
	*to = v
	return nil
}

// quoted returns the first quoted string, nil if there is none.
func quoted(text []byte) []byte {
	_, rest, ok := bytes.Cut(text, []byte{'\''})
	if !ok {
		return nil
	}
	value, _, ok := bytes.Cut(rest, []byte{'\''})
	if !ok {
		return nil
	}
	return value
}
