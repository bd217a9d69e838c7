package discovery

import (
	"bufio"
	"strings"
	"testing"
)

// Each form of response is read, and malformed responses are rejected. An empty
// string stands for an error.
func TestReadResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for text, want := range map[string]string{
		ok + "content-length: 4\r\n\r\nbody":                                                 "body",
		ok + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nA: b\r\n\r\n": "body",
		ok + "Content-Length: -1\r\n\r\n":                                                    "",
		ok + "Content-Length: 99999999\r\n\r\n":                                              "",
		ok + "\r\nbody":                                                                      "body", // ends at EOF
		ok + "Transfer-Encoding: chunked\r\n\r\n-2\r\nbo":                                    "",
		ok + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\nbo":                               "",
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                                       "",
		"\r\n": "",
		"":     "",
	} {
		got, err := readResponse(bufio.NewReader(strings.NewReader(text)))
		if string(got.body) != want || (err == nil) != (want != "") {
			t.Errorf("readResponse(%q) = %q, %v, want %q", text, got.body, err, want)
		}
	}
}
