package wire

import (
	"bytes"
	"math"
	"strconv"
)

// Statement holds the parts of a client's statement that the router uses: the
// fields of its comment and its first quoted string. Byte slices refer to the
// text of the statement. The name of a field in the comment is given in parentheses.
type Statement struct {
	ID                []byte  // (id) identifier of the request, chosen by the client
	Class             []byte  // (c) name of the request class
	RowKey            []byte  // first quoted string, nil if there is none
	HasIdempotencyKey bool    // (k) the idempotency key is not empty
	Group             int     // (cluster) replica group, 0 to 65535
	SessionCommitAt   float64 // (after) Unix milliseconds of the session's last commit, 0 if none
	Wait              float64 // (d) milliseconds that the client waits for the answer
	WaitFrom          int     // the digits of Wait are text[WaitFrom:WaitTo]
	WaitTo            int
}

// ParseStatement parses a statement, which must end with a comment that has at least
// the fields id, c, d and cluster. Only white space and semicolons may follow the
// comment. Errors wrap ErrMalformed.
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

// parseField parses a field of the comment of the form name=value, which begins at
// the given offset of the text. It ignores unknown names.
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

// maxTimeMs is the largest valid Unix time or duration in a comment.
const maxTimeMs = 4e12

// parseMillis parses a Unix time or a duration in milliseconds into to.
func parseMillis(text []byte, to *float64) error {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(value) || value < 0 || value > maxTimeMs {
		return malformed("the number %q", text)
	}
	*to = value
	return nil
}

// Verb returns the first word of a statement after leading white space, such as
// SELECT. It is empty if anything but an ASCII letter comes first.
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

// firstQuoted returns the contents of the first string in single quotes, nil if there
// is none. A doubled quote ends the string.
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
