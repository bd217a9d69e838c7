package batch

import (
	"bytes"
	"reflect"
	"testing"
)

func sample() *Batch {
	elapsed := 12.5
	return &Batch{Device: "meter-1", Epoch: 3, Elapsed: &elapsed,
		Readings: []Reading{{Seq: 1, Value: []byte("a")}, {Seq: 2, Sent: 4, Urgent: true, Value: []byte("b")}}}
}

func TestBatchRoundTrip(t *testing.T) {
	c := NewCodec()
	if got, err := c.DecodeBatch(c.Encode(sample())); err != nil || !reflect.DeepEqual(got, sample()) {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestDecodeRejectsInvalidBatches(t *testing.T) {
	c := NewCodec()
	many := sample()
	for range MaxReadings {
		many.Readings = append(many.Readings, Reading{Value: []byte("x")})
	}
	none := sample()
	none.Readings = nil
	anonymous := sample()
	anonymous.Device = ""
	whole := c.Encode(sample())
	for name, b := range map[string][]byte{
		"empty": nil, "many": c.Encode(many), "none": c.Encode(none), "anonymous": c.Encode(anonymous),
		"half":        whole[:len(whole)-1],
		"more":        append(append([]byte{}, whole...), 0),
		"a key twice": {0xa2, 1, 0x61, 'a', 1, 0x61, 'b'},
		"another key": {0xa1, 9, 0},
		"without end": {0xbf, 1, 0x61, 'a', 0xff},
		"huge":        {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"deep":        bytes.Repeat([]byte{0x81}, 100),
	} {
		if got, err := c.DecodeBatch(b); err == nil {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

func FuzzBatch(f *testing.F) {
	c := NewCodec()
	f.Add(c.Encode(sample()))
	f.Add([]byte{0xa1, 4, 0x81, 0x84, 1, 0, 0xf4, 0x41, 'v'})
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := c.DecodeBatch(b); err == nil {
			if len(m.Readings) == 0 || len(m.Readings) > MaxReadings || m.Device == "" {
				t.Errorf("%+v", m)
			}
		}
	})
}
