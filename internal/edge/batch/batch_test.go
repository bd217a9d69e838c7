package batch

import (
	"bytes"
	"reflect"
	"testing"
)

// sample returns a valid Batch.
func sample() *Batch {
	elapsed := 12.5
	return &Batch{Device: "meter-1", Epoch: 3, Elapsed: &elapsed,
		Readings: []Reading{{Seq: 1, Value: []byte("a")}, {Seq: 2, Sent: 4, Urgent: true, Value: []byte("b")}}}
}

func TestBatchRoundTrip(t *testing.T) {
	codec := NewCodec()
	if got, err := codec.DecodeBatch(codec.Encode(sample())); err != nil || !reflect.DeepEqual(got, sample()) {
		t.Errorf("DecodeBatch(Encode(%+v)) = %+v, %v, want the same Batch", sample(), got, err)
	}
}

func TestDecodeRejectsInvalidBatches(t *testing.T) {
	codec := NewCodec()
	tooMany := sample()
	for range MaxReadings {
		tooMany.Readings = append(tooMany.Readings, Reading{Value: []byte("x")})
	}
	noReadings := sample()
	noReadings.Readings = nil
	noDevice := sample()
	noDevice.Device = ""
	whole := codec.Encode(sample())
	for name, b := range map[string][]byte{
		"empty input": nil, "too many readings": codec.Encode(tooMany), "no readings": codec.Encode(noReadings),
		"no device name":    codec.Encode(noDevice),
		"truncated":         whole[:len(whole)-1],
		"trailing byte":     append(append([]byte{}, whole...), 0),
		"duplicate key":     {0xa2, 1, 0x61, 'a', 1, 0x61, 'b'},
		"unknown key":       {0xa1, 9, 0},
		"indefinite length": {0xbf, 1, 0x61, 'a', 0xff},
		"huge array length": {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"deep nesting":      bytes.Repeat([]byte{0x81}, 100),
	} {
		if got, err := codec.DecodeBatch(b); err == nil {
			t.Errorf("%s: DecodeBatch(%x) = %+v without an error, want an error", name, b, got)
		}
	}
}

func FuzzBatch(f *testing.F) {
	codec := NewCodec()
	f.Add(codec.Encode(sample()))
	f.Add([]byte{0xa1, 4, 0x81, 0x84, 1, 0, 0xf4, 0x41, 'v'})
	f.Fuzz(func(t *testing.T, b []byte) {
		if decoded, err := codec.DecodeBatch(b); err == nil {
			if len(decoded.Readings) == 0 || len(decoded.Readings) > MaxReadings || decoded.Device == "" {
				t.Errorf("DecodeBatch(%x) = %+v, which is invalid, without an error", b, decoded)
			}
		}
	})
}
