package operatorconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

var errEmpty = errors.New("the file is empty")

// rootPath is the path of the file's outermost value in errors.
const rootPath = "$"

// value is a value in the file, with its path for errors. Its methods record only
// the first error in the file, so that an invalid file gives one line.
type value struct {
	file *file
	node *hujson.Value
	path string
}

// file is the settings file that is being read.
type file struct {
	name string
	text []byte
	err  error // the first error found, nil so far
}

// parse parses a file and returns its outermost value.
func parse(name string, text []byte) (*value, error) {
	node, err := hujson.Parse(append(bytes.Clone(text), '\n')) // the last line may be a comment
	if err != nil {
		return nil, fmt.Errorf("%s: %s", name, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	return &value{file: &file{name: name, text: text}, node: &node, path: rootPath}, nil
}

// ok reports whether no error has been recorded for the file.
func (v *value) ok() bool { return v.file.err == nil }

// fail records an error at the value, unless the file has one already.
func (v *value) fail(format string, args ...any) {
	if !v.ok() {
		return
	}
	before := v.file.text[:min(v.node.StartOffset, len(v.file.text))]
	line := 1 + bytes.Count(before, []byte{'\n'})
	v.file.err = fmt.Errorf("%s:%d: %s: %s", v.file.name, line, v.path, fmt.Sprintf(format, args...))
}

// section reads an object and calls the function in fields for each of its keys.
// A duplicate key is an error, and so is an unknown one, with the nearest known
// key as a suggestion.
func (v *value) section(fields map[string]func(*value)) {
	object, isObject := v.node.Value.(*hujson.Object)
	if !isObject {
		v.fail("expected an object")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		name, key, member := v.member(&object.Members[i])
		parse, known := fields[name]
		switch {
		case seen[name]:
			key.fail("duplicate key")
		case !known:
			key.fail("unknown key%s", suggestKey(name, slices.Sorted(maps.Keys(fields))))
		default:
			parse(member)
		}
		seen[name] = true
	}
}

// member returns the name of an object's member, its key and its value.
func (v *value) member(member *hujson.ObjectMember) (name string, key, content *value) {
	if literal, isLiteral := member.Name.Value.(hujson.Literal); isLiteral {
		name = literal.String()
	}
	path := v.path + "." + name
	if v.path == rootPath {
		path = name
	}
	key = &value{file: v.file, node: &member.Name, path: path}
	return name, key, &value{file: v.file, node: &member.Value, path: path}
}

// array reads a list of at most limit elements and calls parse for each.
func (v *value) array(limit int, parse func(element *value)) {
	array, isArray := v.node.Value.(*hujson.Array)
	if !isArray {
		v.fail("expected a list")
		return
	}
	if len(array.Elements) > limit {
		v.fail("%d entries, at most %d are allowed", len(array.Elements), limit)
		return
	}
	for i := range array.Elements {
		path := v.path + "[" + strconv.Itoa(i) + "]"
		parse(&value{file: v.file, node: &array.Elements[i], path: path})
	}
}

// number reads a number from low to high, which must be whole if whole is set. It
// returns low after an error.
func (v *value) number(low, high float64, whole bool) float64 {
	literal, isLiteral := v.node.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != '0' {
		v.fail("expected a number")
		return low
	}
	var number float64
	err := json.Unmarshal(literal, &number)
	inBounds := err == nil && number >= low && number <= high
	if !inBounds || whole && number != math.Trunc(number) {
		kind := "a number"
		if whole {
			kind = "a whole number"
		}
		v.fail("%s: expected %s from %v to %v", literal, kind, low, high)
		return low
	}
	return number
}

// integer reads a whole number from low to high. It returns low after an error.
func (v *value) integer(low, high int) int {
	return int(v.number(float64(low), float64(high), true))
}

// boolean reads true or false.
func (v *value) boolean() bool {
	literal, isLiteral := v.node.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != 't' && literal.Kind() != 'f' {
		v.fail("expected true or false")
		return false
	}
	return literal.Bool()
}

// text reads a string; it returns "" after an error.
func (v *value) text() string {
	literal, isLiteral := v.node.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != '"' {
		v.fail("expected a string")
		return ""
	}
	return literal.String()
}

// choice reads a string that must be one of the given ones.
func (v *value) choice(allowed ...string) string {
	text := v.text()
	if v.ok() && !slices.Contains(allowed, text) {
		v.fail("%q: expected one of %s", text, strings.Join(allowed, ", "))
	}
	return text
}

// maxEditDistance is the largest edit distance at which a known key is suggested for
// an unknown one.
const maxEditDistance = 2

// suggestKey returns the end of an error message that suggests the known key with
// the smallest edit distance to name, "" if every distance exceeds maxEditDistance.
func suggestKey(name string, known []string) string {
	smallest, suggestion := maxEditDistance+1, ""
	for _, key := range known {
		if distance := editDistance(name, key); distance < smallest {
			smallest, suggestion = distance, key
		}
	}
	if suggestion == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", suggestion)
}

// editDistance returns the Levenshtein distance of a and b: the least number of
// bytes to insert, delete or replace.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0]++
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
