package operatorconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// tree is one value of the file with the place where it stands. Its methods
// collect the first error only: a start is ended by one line.
type tree struct {
	file *file
	v    *hujson.Value
	path string
}

type file struct {
	name string
	text []byte
	err  error
}

func parse(name string, text []byte) (*tree, error) {
	v, err := hujson.Parse(append(bytes.Clone(text), '\n')) // a comment may be the last line
	if err != nil {
		return nil, fmt.Errorf("%s: %s", name, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	return &tree{file: &file{name: name, text: text}, v: &v, path: "$"}, nil
}

// fail notes what is wrong at t.
func (t *tree) fail(format string, args ...any) {
	if t.file.err == nil {
		line := 1 + bytes.Count(t.file.text[:min(t.v.StartOffset, len(t.file.text))], []byte{'\n'})
		t.file.err = fmt.Errorf("%s:%d: %s: %s", t.file.name, line, t.path, fmt.Sprintf(format, args...))
	}
}

// object calls take for every member that it knows; a member that take does
// not know, or one named twice, is an error with the nearest known name.
func (t *tree) object(known []string, take func(name string, v *tree)) {
	o, ok := t.v.Value.(*hujson.Object)
	if !ok {
		t.fail("an object is expected")
		return
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		var name string
		if lit, ok := m.Name.Value.(hujson.Literal); ok {
			name = lit.String()
		}
		child := &tree{file: t.file, v: &m.Value, path: t.path + "." + name}
		if t.path == "$" {
			child.path = name
		}
		at := &tree{file: t.file, v: &m.Name, path: child.path}
		switch {
		case seen[name]:
			at.fail("given twice")
		case !slices.Contains(known, name):
			at.fail("unknown key%s", nearest(name, known))
		default:
			take(name, child)
		}
		seen[name] = true
	}
}

// array calls take for every element.
func (t *tree) array(limit int, take func(v *tree)) {
	a, ok := t.v.Value.(*hujson.Array)
	if !ok {
		t.fail("a list is expected")
		return
	}
	if len(a.Elements) > limit {
		t.fail("%d entries, at most %d are taken", len(a.Elements), limit)
		return
	}
	for i := range a.Elements {
		take(&tree{file: t.file, v: &a.Elements[i], path: t.path + "[" + strconv.Itoa(i) + "]"})
	}
}

// number reads a number within bounds; a whole one only where whole is set.
func (t *tree) number(low, high float64, whole bool) float64 {
	lit, ok := t.v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		t.fail("a number is expected")
		return low
	}
	var f float64
	if err := json.Unmarshal(lit, &f); err != nil || math.IsNaN(f) || f < low || f > high || whole && f != math.Trunc(f) {
		kind := "a number"
		if whole {
			kind = "a whole number"
		}
		t.fail("%s: %s from %v to %v is expected", lit, kind, low, high)
		return low
	}
	return f
}

func (t *tree) integer(low, high int) int { return int(t.number(float64(low), float64(high), true)) }

func (t *tree) boolean() bool {
	lit, ok := t.v.Value.(hujson.Literal)
	if !ok || lit.Kind() != 't' && lit.Kind() != 'f' {
		t.fail("true or false is expected")
		return false
	}
	return lit.Bool()
}

func (t *tree) text() string {
	lit, ok := t.v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		t.fail("a string is expected")
		return ""
	}
	return lit.String()
}

func (t *tree) choice(of ...string) string {
	s := t.text()
	if t.file.err == nil && !slices.Contains(of, s) {
		t.fail("%q: one of %s is expected", s, strings.Join(of, ", "))
	}
	return s
}

// nearest suggests a known name for one that is off by a letter or two.
func nearest(name string, known []string) string {
	best, at := 3, ""
	for _, k := range known {
		if d := distance(name, k); d < best {
			best, at = d, k
		}
	}
	if at == "" {
		return ""
	}
	return fmt.Sprintf("; is %q meant?", at)
}

// distance is Levenshtein's: how many letters differ.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0]++
		for j := range len(b) {
			d := last
			if a[i] != b[j] {
				d++
			}
			last = row[j+1]
			row[j+1] = min(d, row[j]+1, last+1)
		}
	}
	return row[len(b)]
}

var errEmpty = errors.New("the file is empty")
