package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"lotusbend/internal/simprotocol"
)

// encodeBatch returns a batch of one record at clock 0.
func encodeBatch(code byte, fields []byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(5+len(fields)))
	b = append(b, 1, 0, 0, 0)
	b = append(b, make([]byte, 12)...)
	b = append(b, code)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(fields)))
	return append(b, fields...)
}

func TestServeEndsAtEndOfInput(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(make([]byte, 20)), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), make([]byte, 12)) {
		t.Errorf("reply to an empty batch = %x, want 12 zero bytes", out.Bytes())
	}
}

func TestServeReportsInvalidInput(t *testing.T) {
	settings := []byte("not JSON")
	configure := append(make([]byte, 10), byte(len(settings)), 0, 0, 0)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"unknown instance": {encodeBatch(3, make([]byte, 6)), "unknown instance"},
		"invalid settings": {encodeBatch(4, append(configure, settings...)), "invalid settings"},
		"truncated":        {make([]byte, 7), "truncated"},
	} {
		err := serve(bytes.NewReader(c.in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: serve = %v, want an error with %q", name, err, c.want)
		}
	}
}

func TestPanicIsReportedAsException(t *testing.T) {
	h := &host{instances: map[uint16]*instance{3: {}}} // without a router, so that its events panic
	h.reply.Reset(1)
	if err := h.handle(simprotocol.Batch{}, &simprotocol.Event{Code: simprotocol.EventRequestArrived, Instance: 3}); err != nil {
		t.Fatal(err)
	}
	const exception = 9
	if b := h.reply.Bytes(); len(b) < 13 || b[12] != exception {
		t.Errorf("reply = %x, want a record of code %d", b, exception)
	}
}
