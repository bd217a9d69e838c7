package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
)

// ends is a connection that ends in some way after what came.
type ends struct {
	rest string
	err  error
}

func (e *ends) Read(b []byte) (int, error) {
	if e.rest == "" {
		return 0, e.err
	}
	n := copy(b, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// A list that is cut, after any of its bytes, by an end or by a reset, must not
// be taken for one; nor a whole one without a length before its connection's
// end has come.
func TestListCutAnywhereIsNone(t *testing.T) {
	names := NewEndpointIDs([]string{"a"})
	const list = "{\n \"index\": 43, \"snapshot\": true,\n \"endpoints\": [{\"name\": \"s\", \"address\": \"127.0.0.1:1\", \"status\": \"draining\"}]\n}\n"
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		text string
		ends bool // the connection's end is the list's
	}{
		"length":     {ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(list)) + list, false},
		"chunks":     {ok + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 10, list[:10], len(list)-10, list[10:]), false},
		"no length":  {ok + "Connection: close\r\n\r\n" + list, true},
		"no headers": {ok + "\r\n" + list, true},
	} {
		for _, end := range []error{io.EOF, syscall.ECONNRESET} {
			for i := range len(c.text) + 1 {
				body, last, err := readResponse(bufio.NewReader(&ends{c.text[:i], end}))
				var got Update
				if err == nil {
					got, err = names.ParseBytes(body)
				}
				whole := i == len(c.text) && (!c.ends || errors.Is(end, io.EOF)) ||
					i == len(c.text)-1 && c.ends && errors.Is(end, io.EOF) // but for an empty line
				if (err == nil) != whole || whole && (got.Index != 43 || len(got.Endpoints) != 1 || last != c.ends) {
					t.Errorf("%s, %v after %d of %d bytes: %+v, %v", name, end, i, len(c.text), got, err)
				}
			}
		}
	}
}

// What never ends takes no memory without a bound.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	for name, text := range map[string]string{
		"a line":    "HTTP/1.1 200 OK",
		"a header":  "HTTP/1.1 200 OK\r\nX: ",
		"headers":   "HTTP/1.1 200 OK\r\n",
		"a body":    "HTTP/1.1 200 OK\r\n\r\n",
		"a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	} {
		more := "x"
		if name == "headers" || name == "a trailer" {
			more = "X: y\r\n"
		}
		in := &endless{begin: text, more: strings.Repeat(more, 1000)}
		if _, _, err := readResponse(bufio.NewReader(in)); !errors.Is(err, errHTTP) || in.read > 2*maxBody {
			t.Errorf("%s: %v after %d bytes", name, err, in.read)
		}
	}
}

// endless says some more, again and again.
type endless struct {
	begin, more string
	read        int
}

func (e *endless) Read(b []byte) (int, error) {
	if e.begin == "" {
		e.begin = e.more
	}
	n := copy(b, e.begin)
	e.begin = e.begin[n:]
	e.read += n
	return n, nil
}
