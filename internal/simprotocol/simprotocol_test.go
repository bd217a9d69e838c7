package simprotocol

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"lotusbend/decide"
)

func decodeHex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame returns a batch of records at clock 8412.25 ms, whose header claims count
// records, which need not be true.
func frame(count uint32, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, count)
	b = append(b, 0, 0, 0, 0, 0x20, 0x6e, 0xc0, 0x40)
	b = binary.LittleEndian.AppendUint32(b, 12)
	return append(b, body...)
}

// record returns a record of fields.
func record(code byte, fields []byte) []byte {
	b := binary.LittleEndian.AppendUint32([]byte{code}, uint32(len(fields)))
	return append(b, fields...)
}

func decode(b []byte) ([]Event, error) {
	batch, err := NewReader(bytes.NewReader(b)).Next()
	if err != nil {
		return nil, err
	}
	var events []Event
	err = batch.Each(func(event *Event) error { events = append(events, *event); return nil })
	return events, err
}

func TestDecodeBatch(t *testing.T) {
	events, err := decode(decodeHex(t, `4e000000 03000000 00000000206ec040 0c000000
		07 2f000000 0300 c4913a5df2630700 0000000000002840 0040ce43 00003041 640ad2557c3bf091 01 0000 0000
		0000000000006e40
		03 06000000 0300 4d000000
		00 0a000000 0500 192b6f0e412c0600`))
	if err != nil {
		t.Fatal(err)
	}
	request := events[0].Request
	if request.Group != 11 || request.TimeLeft != 240*time.Millisecond || request.SinceCommit != 412500*time.Microsecond {
		t.Errorf("decoded request %+v, want group 11, 240ms left, 412.5ms since the commit", request)
	}
	if events[1].Token != 77 || events[2].Instance != 5 || events[2].RequestID != 0x62c410e6f2b19 {
		t.Errorf("decoded events %+v, want token 77, then instance 5 and request 62c410e6f2b19", events[1:])
	}
}

func TestDecodeOutcomeAndList(t *testing.T) {
	events, err := decode(frame(2,
		decodeHex(t, `02 1f000000 0300 c4913a5df2630700 00 074a1203 0000 0000000000803240 01 8e630000 00`),
		decodeHex(t, `05 3a000000 00000000 02000000
			074a1203 00 00 0b00 01 0000803f 0000803f 0000000000000000
			f211902c 01 00 0b00 01 00000000 0000c03f 0000000000d4b740`)))
	if err != nil {
		t.Fatal(err)
	}
	result := events[0].Result
	if !result.ClientAnswered || result.Status.Role != decide.RoleReplica || result.Status.Position != 6371*time.Millisecond {
		t.Errorf("decoded result %+v, want the client answered by a replica at 6.371s", result)
	}
	list := events[1].Endpoints
	if len(list) != 2 || !list[0].Primary || list[1].Primary || list[1].StartedAt != 6100*time.Millisecond || list[1].Group != 11 {
		t.Errorf("decoded endpoints %+v, want a primary, then a replica of group 11 started at 6.1s", list)
	}
}

func TestEncodeReply(t *testing.T) {
	var p Reply
	p.Reset(12)
	a := ActionWriter{Reply: &p, Instance: 3}
	a.Send(0x763f25d3a91c4, 0x03124a07, 80*time.Millisecond)
	a.SetTimer(500*time.Millisecond, 77)
	a.Instance = 5
	a.CloseIdle(0x2c9011f2)
	want := decodeHex(t, `39000000 03000000 0c000000
		00 16000000 0300 c4913a5df2630700 074a1203 0000000000005440
		04 0e000000 0300 0000000000407f40 4d000000
		06 06000000 0500 f211902c`)
	if !bytes.Equal(p.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", p.Bytes(), want)
	}
}

func TestMalformedFrames(t *testing.T) {
	timer := record(EventTimerFired, []byte{3, 0, 77, 0, 0, 0})
	whole := frame(1, timer)
	huge := append([]byte{0xff, 0xff, 0xff, 0x3f}, whole[4:]...)
	for name, b := range map[string][]byte{
		"truncated header": whole[:7],
		"truncated body":   whole[:len(whole)-1],
		"huge length":      huge,
		"over length":      append([]byte{0xff, 0xff, 0xff, 0xff}, whole[4:]...),
		"too many records": frame(9, timer),
		"too few records":  frame(1, timer, timer),
		"short fields":     frame(1, record(EventTimerFired, []byte{3, 0, 77})),
		"long fields":      frame(1, record(EventTimerFired, make([]byte, 9))),
		"unknown code":     frame(1, record(99, make([]byte, 9))),
		"unknown outcome":  frame(1, decodeHex(t, `0a 11000000 0300 f211902c 0900 666666666666f63f 00`)),
		"list too short":   frame(1, record(EventRegisterList, []byte{0, 0, 0, 0, 200, 0, 0, 0})),
		"list count":       frame(1, record(EventRegisterList, []byte{0, 0, 0, 0, 255, 255, 255, 255})),
		"settings count":   frame(1, record(EventConfigure, append(make([]byte, 10), 255, 255, 255, 255))),
	} {
		if _, err := decode(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: decode = %v, want ErrMalformed", name, err)
		}
	}
	if _, err := decode(nil); err != io.EOF {
		t.Errorf("empty stream: decode = %v, want io.EOF", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(1, record(EventTimerFired, []byte{3, 0, 77, 0, 0, 0})))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = decode(b) // must not panic
	})
}
