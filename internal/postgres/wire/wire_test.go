package wire

import (
	"bytes"
	"testing"
)

func TestParseStatement(t *testing.T) {
	const read = `SELECT doc FROM items WHERE id = '7f3a' /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */`
	s, err := ParseStatement([]byte(read))
	if err != nil || string(s.ID) != "9b1f" || string(s.Class) != "basket" || s.Wait != 480 || s.Group != 2 ||
		s.SessionCommitAt != 1767225600123 || string(s.RowKey) != "7f3a" || read[s.WaitFrom:s.WaitTo] != "480" {
		t.Errorf("%+v, %v", s, err)
	}
	for _, bad := range []string{
		"", "SELECT 1", "SELECT 1 /*", "/* */", "/* id=1,c=a,d=5,cluster=1 */ SELECT 1", "/* id=1,c=a,d=-5,cluster=1 */",
		"/* id=1,c=a,d=NaN,cluster=1 */", "/* id=1,c=a,d=1e300,cluster=1 */", "/* id=1,c=a,d=5,cluster=-1 */",
		"/* id=1,c=a,d=5,cluster=99999 */", "/* id=1,c=a,d=,cluster=1 */", "/* id=1,c=a,cluster=1 */",
		"/* c=a,d=5,cluster=1 */", "/* id=1,d=5,cluster=1 */", "/* id,c=a,d=5,cluster=1 */",
		"/* id=1,c=a,d=5,cluster=1,after=x */",
	} {
		if s, err := ParseStatement([]byte(bad)); err == nil {
			t.Errorf("%q gave %+v", bad, s)
		}
	}
}

func TestMessagesReadBack(t *testing.T) {
	column := Column{Name: []byte("doc"), Type: 17, Size: -1, Binary: true}
	if got, err := ParseRowDescription(AppendRowDescription(nil, column)[HeaderLen:]); err != nil ||
		string(got.Name) != "doc" || got.Type != 17 || got.Size != -1 || !got.Binary {
		t.Errorf("%+v, %v", got, err)
	}
	if v, err := ParseDataRow(AppendDataRow(nil, []byte{0, 1})[HeaderLen:]); err != nil || !bytes.Equal(v, []byte{0, 1}) {
		t.Errorf("%q, %v", v, err)
	}
	e, err := ParseError(AppendError(nil, "ERROR", "53300", "no", "250")[HeaderLen:])
	if err != nil || string(e.Code) != "53300" || string(e.Message) != "no" {
		t.Errorf("%q, %v", e, err)
	}
}

// What lies about lengths, counts or ends must be an error, never a panic.
func TestMalformedBodies(t *testing.T) {
	for _, b := range []string{
		"", "\x00", "\x00\x01", "\x00\x02\x00\x00\x00\x00", "\x00\x01\xff\xff\xff\xfe", "\x00\x01\xff\xff\xff\xff", "\x00\x01\x00\x00\x00\x05x",
		"\x00\x01doc\x00\x00", "a", "a\x00", "Ca\x00", "SC",
	} {
		body := []byte(b)
		if _, err := ParseRowDescription(body); err == nil {
			t.Errorf("row description %q", b)
		}
		if _, err := ParseDataRow(body); err == nil {
			t.Errorf("data row %q", b)
		}
		if _, err := ParseError(body); err == nil && b != "\x00" && b != "\x00\x01" && b[0] != 0 {
			t.Errorf("error %q", b)
		}
		if _, _, err := Parameter(body); err == nil {
			t.Errorf("parameter %q", b)
		}
		if CheckReady(body) == nil || CheckAuthentication(body) == nil {
			t.Errorf("ready or authentication %q", b)
		}
	}
}

func FuzzBodies(f *testing.F) {
	f.Add([]byte(`SELECT '1' /* id=1,c=a,d=5,cluster=1,after=7 */`))
	f.Add(AppendRowDescription(nil, Column{Name: []byte("doc")})[HeaderLen:])
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := ParseStatement(b); err == nil && s.WaitFrom >= s.WaitTo {
			t.Errorf("%q: no digits", b)
		}
		_, _ = ParseRowDescription(b)
		_, _ = ParseDataRow(b)
		_, _ = ParseError(b)
		_, _, _ = Parameter(b)
		_, _ = Text(b)
	})
}
