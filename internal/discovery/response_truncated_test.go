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

// truncated is a connection that fails after what it still holds.
type truncated struct {
	text string
	err  error
}

func (c *truncated) Read(b []byte) (int, error) {
	if c.text == "" {
		return 0, c.err
	}
	n := copy(b, c.text)
	c.text = c.text[n:]
	return n, nil
}

// A response that is truncated after any of its bytes, by an EOF or by a reset,
// must not be taken for a whole one; nor one without a length before the EOF.
func TestTruncatedResponseIsAnError(t *testing.T) {
	ids := NewEndpointIDs([]string{"a"})
	const list = "{\n \"index\": 43, \"snapshot\": true,\n \"endpoints\": " +
		"[{\"name\": \"s\", \"address\": \"127.0.0.1:1\", \"status\": \"draining\"}]\n}\n"
	const ok = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(list))
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 10, list[:10], len(list)-10, list[10:])
	for name, c := range map[string]struct {
		text     string
		untilEOF bool // the body ends with the connection
	}{
		"length":     {ok + length + list, false},
		"chunks":     {ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks, false},
		"no length":  {ok + "Connection: close\r\n\r\n" + list, true},
		"no headers": {ok + "\r\n" + list, true},
	} {
		for _, end := range []error{io.EOF, syscall.ECONNRESET} {
			for i := range len(c.text) + 1 {
				answer, err := readResponse(bufio.NewReader(&truncated{c.text[:i], end}))
				var got Update
				if err == nil {
					got, err = ids.ParseBytes(answer.body)
				}
				isEOF := errors.Is(end, io.EOF)
				whole := i == len(c.text) && (!c.untilEOF || isEOF) ||
					i == len(c.text)-1 && c.untilEOF && isEOF // but for the last line's end
				wrong := got.Index != 43 || len(got.Endpoints) != 1 || answer.last != c.untilEOF
				if (err == nil) != whole || whole && wrong {
					t.Errorf("%s, %v after %d of %d bytes: %+v, %v", name, end, i, len(c.text), got, err)
				}
			}
		}
	}
}

// A response without an end is given up within a bound on memory.
func TestEndlessResponseIsGivenUp(t *testing.T) {
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
		in := &endless{text: text, more: strings.Repeat(more, 1000)}
		if _, err := readResponse(bufio.NewReader(in)); !errors.Is(err, errHTTP) || in.read > 2*maxBody {
			t.Errorf("%s: %v after %d bytes", name, err, in.read)
		}
	}
}

// endless is a connection that repeats more after text.
type endless struct {
	text string
	more string
	read int // bytes
}

func (e *endless) Read(b []byte) (int, error) {
	if e.text == "" {
		e.text = e.more
	}
	n := copy(b, e.text)
	e.text = e.text[n:]
	e.read += n
	return n, nil
}
