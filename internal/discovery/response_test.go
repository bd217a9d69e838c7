package discovery

import (
	"bufio"
	"strings"
	"testing"

	"lotusbend/decide"
)

func TestReadResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for text, want := range map[string]string{
		ok + "content-length: 4\r\n\r\nbody":                                                 "body",
		ok + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nA: b\r\n\r\n": "body",
		ok + "Content-Length: -1\r\n\r\n":                                                    "",
		ok + "Content-Length: 99999999\r\n\r\n":                                              "",
		ok + "\r\nbody":                                                                      "body", // up to the connection's end
		ok + "Transfer-Encoding: chunked\r\n\r\n-2\r\nbo":                                    "",
		ok + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\nbo":                               "",
		"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n":                                       "",
		"\r\n": "",
		"":     "",
	} {
		body, _, err := readResponse(bufio.NewReader(strings.NewReader(text)))
		if string(body) != want || (err == nil) != (want != "") {
			t.Errorf("%q: %q, %v", text, body, err)
		}
	}
}

// One entry that cannot be used costs no other; a name keeps its number.
func TestParseList(t *testing.T) {
	n := NewEndpointIDs([]string{"a", "b"})
	first, err := n.ParseBytes([]byte(`{"index":41,"snapshot":true,"endpoints":[{"name":"x","status":"odd"},{"status":"ready"},
		{"name":"s","address":"127.0.0.1:1","zone":"b","group":3,"status":"ready","since_ms":1767225600000,"recovery":"off"}]}`))
	if err != nil || first.Index != 41 || !first.Snapshot || len(first.Endpoints) != 1 {
		t.Fatalf("%+v, %v", first, err)
	}
	h := first.Endpoints[0]
	if h.Zone != 1 || h.Group != 3 || h.State != decide.Ready || !h.Primary || h.StartedAt.Milliseconds() != 1767225600000 {
		t.Errorf("%+v", h)
	}
	again, err := n.ParseBytes([]byte(`{"index":42,"endpoints":[{"name":"s","status":"gone"}]}`))
	if err != nil || again.Snapshot || again.Endpoints[0].ID != h.ID || again.Endpoints[0].State != decide.Removed {
		t.Errorf("%+v, %v", again, err)
	}
	for _, bad := range []string{"", "[]", "{}", `{"endpoints":{}}`} {
		if _, err := n.ParseBytes([]byte(bad)); err == nil {
			t.Errorf("%q is a list", bad)
		}
	}
}
