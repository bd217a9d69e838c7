package pooling

import (
	"errors"
	"strings"
)

// tokenKind is the lexical class of a token.
type tokenKind uint8

const (
	identifier       tokenKind = iota // unquoted identifier or key word, in lower case
	quotedIdentifier                  // without its quotes
	stringConstant                    // its value, without quotes and escapes
	number
	symbol    // a single character
	parameter // such as $1
)

// token is one lexical element of a query string.
type token struct {
	kind   tokenKind
	text   string
	offset int // of its first byte in the query string, bytes
}

// is reports whether the token is the given key word, which is in lower case.
func (t token) is(keyword string) bool { return t.kind == identifier && t.text == keyword }

// isSymbol reports whether the token is the given character.
func (t token) isSymbol(character string) bool { return t.kind == symbol && t.text == character }

// isIdentifier reports whether the token is an identifier, quoted or not, or a
// key word.
func (t token) isIdentifier() bool { return t.kind == identifier || t.kind == quotedIdentifier }

// isTemporary reports whether the token is TEMP or TEMPORARY.
func (t token) isTemporary() bool { return t.is("temp") || t.is("temporary") }

// Errors of query strings that cannot be tokenized.
var (
	errUnterminatedString  = errors.New("pooling: unterminated string constant or quoted identifier")
	errUnterminatedComment = errors.New("pooling: unterminated comment")
)

// scanner splits a query string into tokens.
type scanner struct {
	input           string
	offset          int  // of the next byte to read
	standardStrings bool // standard_conforming_strings: backslashes in plain strings are literal
}

// next returns the next token; ok is false at the end of the input.
func (s *scanner) next() (t token, ok bool, err error) {
	if err := s.skipSpaceAndComments(); err != nil {
		return t, false, err
	}
	if s.offset >= len(s.input) {
		return t, false, nil
	}
	t.offset = s.offset
	first := s.input[s.offset]
	switch {
	case first == '\'':
		t.kind = stringConstant
		t.text, err = s.readStringConstant(!s.standardStrings)
	case first == '"':
		t.kind = quotedIdentifier
		t.text, err = s.readQuotedIdentifier()
	case first == '$':
		t, err = s.readDollarToken()
	case strings.IndexByte("eEbBxXnN", first) >= 0 && s.peek(1) == '\'':
		s.offset++
		t.kind = stringConstant
		t.text, err = s.readStringConstant(first == 'e' || first == 'E')
	case (first == 'u' || first == 'U') && s.peek(1) == '&' && s.peek(2) == '\'':
		s.offset += 2
		t.kind = stringConstant
		t.text, err = s.readStringConstant(false)
	case (first == 'u' || first == 'U') && s.peek(1) == '&' && s.peek(2) == '"':
		s.offset += 2
		t.kind = quotedIdentifier
		t.text, err = s.readQuotedIdentifier()
	case isLetter(first):
		t.kind = identifier
		t.text = strings.ToLower(s.takeWhile(isIdentifierByte))
	case isDigit(first), first == '.' && isDigit(s.peek(1)):
		t.kind = number
		t.text = s.takeWhile(isNumberByte)
	default:
		t.kind = symbol
		t.text = s.input[s.offset : s.offset+1]
		s.offset++
	}
	return t, err == nil, err
}

// peek returns the byte n bytes ahead, 0 past the end.
func (s *scanner) peek(n int) byte {
	if s.offset+n < len(s.input) {
		return s.input[s.offset+n]
	}
	return 0
}

// takeWhile consumes and returns the bytes ahead that belong to a class.
func (s *scanner) takeWhile(belongs func(byte) bool) string {
	start := s.offset
	for s.offset < len(s.input) && belongs(s.input[s.offset]) {
		s.offset++
	}
	return s.input[start:s.offset]
}

// isLetter reports whether a byte may begin an unquoted identifier, as all bytes
// beyond ASCII may.
func isLetter(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b == '_' || b >= 0x80
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isIdentifierByte(b byte) bool { return isLetter(b) || isDigit(b) || b == '$' }

func isNumberByte(b byte) bool { return isDigit(b) || b == '.' || isLetter(b) }

func isSpace(b byte) bool { return strings.IndexByte(" \t\n\r\f\v", b) >= 0 }

func isNotLineEnd(b byte) bool { return b != '\n' && b != '\r' }

// skipSpaceAndComments advances to the next token or the end of the input.
func (s *scanner) skipSpaceAndComments() error {
	for s.offset < len(s.input) {
		switch {
		case isSpace(s.input[s.offset]):
			s.offset++
		case s.peek(0) == '-' && s.peek(1) == '-':
			s.takeWhile(isNotLineEnd)
		case s.peek(0) == '/' && s.peek(1) == '*':
			if err := s.skipBlockComment(); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// skipBlockComment skips a comment delimited by /* and */. Block comments nest.
func (s *scanner) skipBlockComment() error {
	s.offset += 2
	for depth := 1; depth > 0; {
		switch {
		case s.offset >= len(s.input):
			return errUnterminatedComment
		case s.peek(0) == '/' && s.peek(1) == '*':
			depth++
			s.offset += 2
		case s.peek(0) == '*' && s.peek(1) == '/':
			depth--
			s.offset += 2
		default:
			s.offset++
		}
	}
	return nil
}

// readStringConstant reads a string constant, starting at its opening quote, and
// returns its value. With escapes, a backslash is dropped and the character
// after it is taken literally.
func (s *scanner) readStringConstant(escapes bool) (string, error) {
	var value strings.Builder
	for s.offset++; s.offset < len(s.input); s.offset++ {
		b := s.input[s.offset]
		switch {
		case b == '\\' && escapes:
			s.offset++
			if s.offset >= len(s.input) {
				return "", errUnterminatedString
			}
			value.WriteByte(s.input[s.offset])
		case b != '\'':
			value.WriteByte(b)
		case s.peek(1) == '\'': // a doubled quote stands for one
			s.offset++
			value.WriteByte('\'')
		default:
			s.offset++
			return value.String(), nil
		}
	}
	return "", errUnterminatedString
}

// readQuotedIdentifier reads a quoted identifier, starting at its opening quote,
// and returns the name.
func (s *scanner) readQuotedIdentifier() (string, error) {
	var name strings.Builder
	for s.offset++; s.offset < len(s.input); s.offset++ {
		b := s.input[s.offset]
		if b == '"' {
			if s.peek(1) != '"' {
				s.offset++
				return name.String(), nil
			}
			s.offset++ // a doubled quote stands for one
		}
		name.WriteByte(b)
	}
	return "", errUnterminatedString
}

// readDollarToken reads a token that starts with a dollar sign: a parameter, a
// dollar-quoted string, or otherwise the sign itself as a symbol.
func (s *scanner) readDollarToken() (token, error) {
	start := s.offset
	s.offset++
	if digits := s.takeWhile(isDigit); digits != "" {
		return token{kind: parameter, text: s.input[start:s.offset], offset: start}, nil
	}
	s.takeWhile(func(b byte) bool { return isLetter(b) || isDigit(b) })
	if s.peek(0) != '$' {
		s.offset = start + 1
		return token{kind: symbol, text: "$", offset: start}, nil
	}
	s.offset++
	tag := s.input[start:s.offset]
	body, _, closed := strings.Cut(s.input[s.offset:], tag)
	if !closed {
		return token{}, errUnterminatedString
	}
	s.offset += len(body) + len(tag)
	return token{kind: stringConstant, text: body, offset: start}, nil
}

// statement is one statement of a query string.
type statement struct {
	tokens []token // at least one
	text   string  // without the semicolon
}

// splitStatements splits a query string into its statements, without the empty
// ones.
func splitStatements(sql string, standardStrings bool) ([]statement, error) {
	s := &scanner{input: sql, standardStrings: standardStrings}
	var statements []statement
	var tokens []token // of the statement being read
	finishStatement := func(end int) {
		if len(tokens) > 0 {
			statements = append(statements, statement{tokens: tokens, text: sql[tokens[0].offset:end]})
		}
		tokens = nil
	}
	depth := 0 // of BEGIN ATOMIC and CASE; a semicolon inside does not end the statement
	for {
		t, ok, err := s.next()
		if err != nil {
			return nil, err
		}
		if !ok {
			finishStatement(len(sql))
			return statements, nil
		}
		if depth == 0 && t.isSymbol(";") {
			finishStatement(t.offset)
			continue
		}
		switch {
		case t.is("atomic") && len(tokens) > 0 && tokens[len(tokens)-1].is("begin"):
			depth++
		case depth > 0 && t.is("case"):
			depth++
		case depth > 0 && t.is("end"):
			depth--
		}
		tokens = append(tokens, t)
	}
}
