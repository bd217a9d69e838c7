package wire

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// pgxMessages are messages written by pgx's own codec.
func pgxMessages(t testing.TB) map[string][]byte {
	t.Helper()
	out := map[string][]byte{}
	for name, m := range map[string]pgproto3.FrontendMessage{
		"parse": &pgproto3.Parse{Name: "s", Query: "select $1", ParameterOIDs: []uint32{23, 0}},
		"bind": &pgproto3.Bind{
			DestinationPortal:    "p",
			PreparedStatement:    "s",
			ParameterFormatCodes: []int16{1, 0},
			Parameters:           [][]byte{{1, 2}, nil},
			ResultFormatCodes:    []int16{1},
		},
		"bare":     &pgproto3.Bind{},
		"describe": &pgproto3.Describe{ObjectType: 'S', Name: "s"},
		"portal":   &pgproto3.Describe{ObjectType: 'P', Name: "p"},
		"close":    &pgproto3.Close{ObjectType: 'S', Name: "s"},
		"execute":  &pgproto3.Execute{Portal: "p", MaxRows: 7},
		"sync":     &pgproto3.Sync{},
		"flush":    &pgproto3.Flush{},
	} {
		b, err := m.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		out[name] = b
	}
	return out
}

// Messages of another codec are read, and written again to the byte; with another
// name of the statement they differ in that name alone.
func TestExtendedMessagesRoundTrip(t *testing.T) {
	for name, b := range pgxMessages(t) {
		m, err := ParseExtended(b[0], b[HeaderLen:])
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if got := AppendExtended(nil, m, string(m.Statement)); !bytes.Equal(got, b) {
			t.Errorf("%s: %x came back as %x", name, b, got)
		}
		other, err := ParseExtended(b[0], AppendExtended(nil, m, "lb_other")[HeaderLen:])
		notRenamed := !m.IsPortal && len(m.Statement) > 0 && string(other.Statement) != "lb_other"
		if err != nil || notRenamed || !bytes.Equal(other.Portal, m.Portal) || !bytes.Equal(other.rest, m.rest) {
			t.Errorf("%s: %+v, %v", name, other, err)
		}
	}
}

// Truncated and malformed messages are errors.
func TestMalformedExtendedMessages(t *testing.T) {
	for name, b := range pgxMessages(t) {
		body := b[HeaderLen:]
		for n := range body {
			if m, err := ParseExtended(b[0], body[:n]); err == nil {
				t.Errorf("%s truncated after %d bytes: %+v", name, n, m)
			}
		}
		if m, err := ParseExtended(b[0], append(append([]byte{}, body...), 0)); err == nil {
			t.Errorf("%s with a byte more: %+v", name, m)
		}
	}
	for kind, body := range map[byte]string{
		'P': "s\x00t\x00\xff\xff",
		'B': "\x00\x00\x00\x00\x00\x01\xff\xff\xff\xfe\x00\x00",
		'D': "X\x00",
		'x': "",
	} {
		if m, err := ParseExtended(kind, []byte(body)); err == nil {
			t.Errorf("%q: %+v", body, m)
		}
	}
}

// What is read is written again to the byte.
func FuzzExtended(f *testing.F) {
	for _, b := range pgxMessages(f) {
		f.Add(b[0], b[HeaderLen:])
	}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		m, err := ParseExtended(kind, body)
		if err != nil {
			return
		}
		if got := AppendExtended(nil, m, string(m.Statement)); !bytes.Equal(got[HeaderLen:], body) {
			t.Errorf("%x came back as %x", body, got[HeaderLen:])
		}
	})
}
