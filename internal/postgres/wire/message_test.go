package wire

import (
	"bytes"
	"testing"
)

// TestMessagesRoundTrip checks that encoded messages are decoded to the same values.
func TestMessagesRoundTrip(t *testing.T) {
	column := Column{Name: []byte("doc"), Type: 17, Size: -1, Binary: true}
	if got, err := ParseRowDescription(AppendRowDescription(nil, column)[HeaderLen:]); err != nil ||
		string(got.Name) != "doc" || got.Type != 17 || got.Size != -1 || !got.Binary {
		t.Errorf("RowDescription: got %+v, %v, want %+v", got, err, column)
	}
	value, err := ParseDataRow(AppendDataRow(nil, []byte{0, 1})[HeaderLen:])
	if err != nil || !bytes.Equal(value, []byte{0, 1}) {
		t.Errorf("DataRow: got %q, %v, want the bytes 0 and 1", value, err)
	}
	e, err := ParseErrorResponse(AppendErrorResponse(nil, "ERROR", "53300", "no", "250")[HeaderLen:])
	if err != nil || string(e.Code) != "53300" || string(e.Message) != "no" {
		t.Errorf("ErrorResponse: got %q, %v, want code 53300 and message no", e, err)
	}
}

// TestMalformedBodiesAreRejected checks that bodies with wrong lengths, counts or
// terminators cause an error and no panic.
func TestMalformedBodiesAreRejected(t *testing.T) {
	for _, b := range []string{
		"", "\x00", "\x00\x01", "\x00\x02\x00\x00\x00\x00",
		"\x00\x01\xff\xff\xff\xfe", "\x00\x01\xff\xff\xff\xff", "\x00\x01\x00\x00\x00\x05x",
		"\x00\x01doc\x00\x00", "a", "a\x00", "Ca\x00", "SC",
	} {
		body := []byte(b)
		if _, err := ParseRowDescription(body); err == nil {
			t.Errorf("ParseRowDescription(%q) succeeded, want an error", b)
		}
		if _, err := ParseDataRow(body); err == nil {
			t.Errorf("ParseDataRow(%q) succeeded, want an error", b)
		}
		if _, err := ParseErrorResponse(body); err == nil && b != "\x00" && b != "\x00\x01" && b[0] != 0 {
			t.Errorf("ParseErrorResponse(%q) succeeded, want an error", b)
		}
		if _, _, err := ParseParameterStatus(body); err == nil {
			t.Errorf("ParseParameterStatus(%q) succeeded, want an error", b)
		}
		if CheckReady(body) == nil || CheckAuthentication(body) == nil {
			t.Errorf("CheckReady or CheckAuthentication of %q succeeded, want errors", b)
		}
	}
}

// FuzzBodies checks that no input makes a parser panic, and that a parsed statement
// has digits of its timeout.
func FuzzBodies(f *testing.F) {
	f.Add([]byte(`SELECT '1' /* id=1,c=a,d=5,cluster=1,after=7 */`))
	f.Add(AppendRowDescription(nil, Column{Name: []byte("doc")})[HeaderLen:])
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := ParseStatement(b); err == nil && s.WaitFrom >= s.WaitTo {
			t.Errorf("ParseStatement(%q): Wait has no digits", b)
		}
		_, _ = ParseRowDescription(b)
		_, _ = ParseDataRow(b)
		_, _ = ParseErrorResponse(b)
		_, _, _ = ParseParameterStatus(b)
		_, _ = ParseString(b)
	})
}
