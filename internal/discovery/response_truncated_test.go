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

// truncatedReader is a connection that fails after the rest of its text.
type truncatedReader struct {
	text string
	err  error
}

func (c *truncatedReader) Read(b []byte) (int, error) {
	if c.text == "" {
		return 0, c.err
	}
	n := copy(b, c.text)
	c.text = c.text[n:]
	return n, nil
}

// A response that is truncated after any of its bytes, by EOF or by a reset, must
// not be accepted as complete. A response without a length is complete at EOF only.
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
				answer, err := readResponse(bufio.NewReader(&truncatedReader{c.text[:i], end}))
				var got Update
				if err == nil {
					got, err = ids.ParseBytes(answer.body)
				}
				isEOF := errors.Is(end, io.EOF)
				complete := i == len(c.text) && (!c.untilEOF || isEOF) ||
					i == len(c.text)-1 && c.untilEOF && isEOF // only the last newline is missing
				wrong := got.Index != 43 || len(got.Endpoints) != 1 || answer.last != c.untilEOF
				if (err == nil) != complete || complete && wrong {
					t.Errorf("%s, %v after %d of %d bytes: got %+v, %v, want a list: %v",
						name, end, i, len(c.text), got, err, complete)
				}
			}
		}
	}
}

// Reading a response that never ends stops with an error before it uses too much
// memory.
func TestEndlessResponseIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"line":    "HTTP/1.1 200 OK",
		"header":  "HTTP/1.1 200 OK\r\nX: ",
		"headers": "HTTP/1.1 200 OK\r\n",
		"body":    "HTTP/1.1 200 OK\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	} {
		more := "x"
		if name == "headers" || name == "trailer" {
			more = "X: y\r\n"
		}
		in := &endlessReader{text: text, more: strings.Repeat(more, 1000)}
		if _, err := readResponse(bufio.NewReader(in)); !errors.Is(err, errHTTP) || in.read > 2*maxBodyBytes {
			t.Errorf("%s: got %v after %d bytes, want %v within %d", name, err, in.read, errHTTP, 2*maxBodyBytes)
		}
	}
}

// endlessReader is a connection that repeats more after text.
type endlessReader struct {
	text string
	more string
	read int // bytes read so far
}

func (e *endlessReader) Read(b []byte) (int, error) {
	if e.text == "" {
		e.text = e.more
	}
	n := copy(b, e.text)
	e.text = e.text[n:]
	e.read += n
	return n, nil
}
