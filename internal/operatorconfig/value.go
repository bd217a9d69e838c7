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

// rootPath names the file's outermost value.
const rootPath = "$"

// value is one value of the file with the place where it stands. Its methods
// collect the first error only: a start is ended by one line.
type value struct {
	file *file
	node *hujson.Value
	path string
}

type file struct {
	name string
	text []byte
	err  error
}

// parse reads a file's outermost value.
func parse(name string, text []byte) (*value, error) {
	node, err := hujson.Parse(append(bytes.Clone(text), '\n')) // a comment may be the last line
	if err != nil {
		return nil, fmt.Errorf("%s: %s", name, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	return &value{file: &file{name: name, text: text}, node: &node, path: rootPath}, nil
}

// ok reports whether nothing in the file is known to be wrong so far.
func (v *value) ok() bool { return v.file.err == nil }

// fail notes what is wrong with the value.
func (v *value) fail(format string, args ...any) {
	if !v.ok() {
		return
	}
	before := v.file.text[:min(v.node.StartOffset, len(v.file.text))]
	line := 1 + bytes.Count(before, []byte{'\n'})
	v.file.err = fmt.Errorf("%s:%d: %s: %s", v.file.name, line, v.path, fmt.Sprintf(format, args...))
}

// section reads an object whose keys are those of fields, each parsed by its
// function. A key that is not among them, or is given twice, is an error with
// the nearest known key.
func (v *value) section(fields map[string]func(*value)) {
	object, isObject := v.node.Value.(*hujson.Object)
	if !isObject {
		v.fail("an object is expected")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		name, key, member := v.member(&object.Members[i])
		parse, known := fields[name]
		switch {
		case seen[name]:
			key.fail("given twice")
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

// array calls parse for every element.
func (v *value) array(limit int, parse func(element *value)) {
	array, isArray := v.node.Value.(*hujson.Array)
	if !isArray {
		v.fail("a list is expected")
		return
	}
	if len(array.Elements) > limit {
		v.fail("%d entries, at most %d are taken", len(array.Elements), limit)
		return
	}
	for i := range array.Elements {
		path := v.path + "[" + strconv.Itoa(i) + "]"
		parse(&value{file: v.file, node: &array.Elements[i], path: path})
	}
}

// number reads a number within bounds; a whole one only where whole is set.
func (v *value) number(low, high float64, whole bool) float64 {
	literal, isLiteral := v.node.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != '0' {
		v.fail("a number is expected")
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
		v.fail("%s: %s from %v to %v is expected", literal, kind, low, high)
		return low
	}
	return number
}

func (v *value) integer(low, high int) int {
	return int(v.number(float64(low), float64(high), true))
}

func (v *value) boolean() bool {
	literal, isLiteral := v.node.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != 't' && literal.Kind() != 'f' {
		v.fail("true or false is expected")
		return false
	}
	return literal.Bool()
}

func (v *value) text() string {
	literal, isLiteral := v.node.Value.(hujson.Literal)
	if !isLiteral || literal.Kind() != '"' {
		v.fail("a string is expected")
		return ""
	}
	return literal.String()
}

// choice reads one of the given strings.
func (v *value) choice(of ...string) string {
	text := v.text()
	if v.ok() && !slices.Contains(of, text) {
		v.fail("%q: one of %s is expected", text, strings.Join(of, ", "))
	}
	return text
}

// maxEditDistance is the distance up to which a known key is suggested for another.
const maxEditDistance = 2

// suggestKey suggests a known key for one that is off by a letter or two.
func suggestKey(name string, known []string) string {
	best, suggestion := maxEditDistance+1, ""
	for _, key := range known {
		if typos := editDistance(name, key); typos < best {
			best, suggestion = typos, key
		}
	}
	if suggestion == "" {
		return ""
	}
	return fmt.Sprintf("; is %q meant?", suggestion)
}

// editDistance is Levenshtein's: how many letters must be inserted, deleted or
// replaced.
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
