package wire

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// pgxMessages returns messages encoded by pgx, an independent implementation.
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

// TestExtendedMessagesRoundTrip checks that messages encoded by pgx are decoded and
// encoded again without a difference, and that renaming the statement changes only
// its name.
func TestExtendedMessagesRoundTrip(t *testing.T) {
	for name, b := range pgxMessages(t) {
		m, err := ParseExtended(b[0], b[HeaderLen:])
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if got := AppendExtended(nil, m, string(m.Statement)); !bytes.Equal(got, b) {
			t.Errorf("%s: %x encoded again as %x, want no difference", name, b, got)
		}
		other, err := ParseExtended(b[0], AppendExtended(nil, m, "lb_other")[HeaderLen:])
		notRenamed := !m.IsPortal && len(m.Statement) > 0 && string(other.Statement) != "lb_other"
		if err != nil || notRenamed || !bytes.Equal(other.Portal, m.Portal) || !bytes.Equal(other.rest, m.rest) {
			t.Errorf("%s with another statement name: got %+v, %v, want no other difference", name, other, err)
		}
	}
}

// TestMalformedExtendedMessagesAreRejected checks that truncated, extended and
// otherwise malformed messages cause an error.
func TestMalformedExtendedMessagesAreRejected(t *testing.T) {
	for name, b := range pgxMessages(t) {
		body := b[HeaderLen:]
		for n := range body {
			if m, err := ParseExtended(b[0], body[:n]); err == nil {
				t.Errorf("%s truncated after %d bytes: got %+v, want an error", name, n, m)
			}
		}
		if m, err := ParseExtended(b[0], append(append([]byte{}, body...), 0)); err == nil {
			t.Errorf("%s with an extra byte: got %+v, want an error", name, m)
		}
	}
	for kind, body := range map[byte]string{
		'P': "s\x00t\x00\xff\xff",
		'B': "\x00\x00\x00\x00\x00\x01\xff\xff\xff\xfe\x00\x00",
		'D': "X\x00",
		'x': "",
	} {
		if m, err := ParseExtended(kind, []byte(body)); err == nil {
			t.Errorf("body %q: got %+v, want an error", body, m)
		}
	}
}

// FuzzExtended checks that every valid body is encoded again without a difference.
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
			t.Errorf("body %x encoded again as %x, want no difference", body, got[HeaderLen:])
		}
	})
}
