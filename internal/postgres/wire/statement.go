package wire

import (
	"bytes"
	"math"
	"strconv"
)

// Statement is what the router reads of a client's statement: the fields of its
// comment and its first quoted string. Its slices are those of the text.
type Statement struct {
	ID                []byte // the client's identifier of the request
	Class             []byte
	RowKey            []byte // the first quoted string, nil if there is none
	HasIdempotencyKey bool
	Group             int     // the replica group
	SessionCommitAt   float64 // Unix milliseconds of the session's last commit, 0 if none
	Wait              float64 // milliseconds that the client waits for its answer
	WaitFrom          int     // Text[WaitFrom:WaitTo] are the wait's digits
	WaitTo            int
}

// ParseStatement reads a statement, which must end with its comment.
func ParseStatement(text []byte) (Statement, error) {
	s := Statement{Group: -1, Wait: -1}
	open := bytes.LastIndex(text, []byte("/*"))
	if open < 0 {
		return s, malformed("a statement without its comment")
	}
	comment := text[open+2:]
	end := bytes.Index(comment, []byte("*/"))
	if end < 0 || len(bytes.Trim(comment[end+2:], " \t\r\n;")) > 0 {
		return s, malformed("a comment that does not end the statement")
	}
	offset := open + 2
	for field := range bytes.SplitSeq(comment[:end], []byte{','}) {
		if err := s.parseField(field, offset); err != nil {
			return s, err
		}
		offset += len(field) + 1
	}
	if len(s.ID) == 0 || len(s.Class) == 0 || s.Wait < 0 || s.Group < 0 {
		return s, malformed("a comment without id, c, d or cluster")
	}
	s.RowKey = firstQuoted(text[:open])
	return s, nil
}

// parseField reads one name and value, which begin at offset of the text. It
// ignores unknown names.
func (s *Statement) parseField(field []byte, offset int) error {
	name, value, ok := bytes.Cut(field, []byte{'='})
	if !ok {
		return malformed("a comment's part without a value")
	}
	from := offset + len(name) + 1
	from += len(value) - len(bytes.TrimLeft(value, " "))
	value = bytes.TrimSpace(value)
	switch string(bytes.TrimSpace(name)) {
	case "id":
		s.ID = value
	case "c":
		s.Class = value
	case "k":
		s.HasIdempotencyKey = len(value) > 0
	case "d":
		s.WaitFrom = from
		s.WaitTo = from + len(value)
		return parseMillis(value, &s.Wait)
	case "after":
		return parseMillis(value, &s.SessionCommitAt)
	case "cluster":
		group, err := strconv.ParseUint(string(value), 10, 16)
		if err != nil {
			return malformed("cluster %q", value)
		}
		s.Group = int(group)
	}
	return nil
}

// maxMillis is beyond every time in milliseconds that a client may state.
const maxMillis = 4e12

// parseMillis reads a time or a duration in milliseconds.
func parseMillis(text []byte, to *float64) error {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(value) || value < 0 || value > maxMillis {
		return malformed("the number %q", text)
	}
	*to = value
	return nil
}

// Verb returns the first word of a statement.
func Verb(text []byte) []byte {
	text = bytes.TrimLeft(text, " \t\r\n")
	end := bytes.IndexFunc(text, func(r rune) bool {
		return (r < 'A' || r > 'Z') && (r < 'a' || r > 'z')
	})
	if end < 0 {
		return text
	}
	return text[:end]
}

// firstQuoted returns the first quoted string, nil if there is none.
func firstQuoted(text []byte) []byte {
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
