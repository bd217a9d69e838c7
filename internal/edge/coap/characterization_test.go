package coap_test

import (
	"flag"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	"lotusbend/internal/edge/coap"
	"lotusbend/internal/edge/progress"
)

// update rewrites the expected values. They may change only with a deliberate
// change of behaviour, which the commit message must name.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// TestCharacterization compares every datagram that the server sends, every
// message that it delivers and its counters with the expected values.
func TestCharacterization(t *testing.T) {
	got := map[string]string{}
	for name, run := range exchanges {
		e := newEndpoint(t)
		run(e)
		for i, event := range e.events {
			got[fmt.Sprintf("%s-%02d", name, i)] = event
		}
		s := e.server.Stats()
		got[name+"-counts"] = fmt.Sprint(s.Datagrams, s.Malformed, s.Duplicates, s.Challenges, s.Evicted, s.Stalled, s.SeparateResponses)
	}
	compareExpected(t, got)
}

// compareExpected compares the scenarios with the expected values, or rewrites
// these with -update.
func compareExpected(t *testing.T, got map[string]string) {
	t.Helper()
	if *update {
		var out strings.Builder
		for _, name := range slices.Sorted(maps.Keys(got)) {
			fmt.Fprintln(&out, strings.TrimSpace(name+" "+got[name]))
		}
		if err := os.WriteFile(expectedFile, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(expectedFile)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		want[name] = value
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if value, ok := want[name]; !ok {
			t.Errorf("scenario %s is not in %s", name, expectedFile)
		} else if got[name] != value {
			t.Errorf("scenario %s: got %s, want %s", name, got[name], value)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if _, ok := got[name]; !ok {
			t.Errorf("scenario %s of %s did not run", name, expectedFile)
		}
	}
}

var home, away = netip.MustParseAddrPort("10.0.0.1:5683"), netip.MustParseAddrPort("[2001:db8::1]:1024")

// endpoint acts as all clients of a server and records the server's actions as
// numbers and bytes.
type endpoint struct {
	t             *testing.T
	server        *coap.Server
	now           float64
	tokens        []uint64
	events        []string
	echo          map[netip.AddrPort][]byte // the latest Echo value sent to an address
	lastMessageID int32                     // of the clients' messages
}

func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	e := &endpoint{t: t, now: 1.7e12, echo: map[netip.AddrPort][]byte{}}
	limits := coap.Limits{
		Exchanges:    6,
		MessageBytes: 200,
		Progress:     progress.Limits{WindowMs: 10000, MinBytes: 16, TotalBytes: 2000},
	}
	e.server = coap.New(limits, [32]byte{1, 2, 3}, 4, e)
	return e
}

func (e *endpoint) record(format string, values ...any) {
	e.events = append(e.events, fmt.Sprintf(format, values...))
}

func (e *endpoint) Send(to netip.AddrPort, datagram []byte) {
	e.record("1 %x %x", to.Addr().AsSlice(), datagram)
	m := message.Message{Options: make(message.Options, 0, 16)}
	if _, err := coder.DefaultCoder.Decode(datagram, &m); err != nil {
		e.t.Errorf("decoding sent datagram %x: %v", datagram, err)
	}
	if value, err := m.Options.GetBytes(message.Echo); err == nil {
		e.echo[to] = value
	}
}

func (e *endpoint) Deliver(token uint64, from netip.AddrPort, path string, payload []byte, notBefore float64) {
	e.tokens = append(e.tokens, token)
	e.record("2 %d %x %x %x %.3f", token, from.Addr().AsSlice(), path, payload, notBefore)
}

func (e *endpoint) Read(token uint64, from netip.AddrPort, path, row string) {
	e.tokens = append(e.tokens, token)
	e.record("3 %d %x %x %x", token, from.Addr().AsSlice(), path, row)
}

// advance sets the time forward and runs each timer at its time.
func (e *endpoint) advance(ms float64) {
	end := e.now + ms
	for due, ok := e.server.Next(); ok && due <= end; due, ok = e.server.Next() {
		e.now = max(e.now, due)
		e.server.Tick(e.now)
	}
	e.now = end
}

// request encodes a request with the given options. It adds no Echo value.
func (e *endpoint) request(kind message.Type, method codes.Code, path, payload string, options ...message.Option) []byte {
	e.t.Helper()
	e.lastMessageID++
	m := message.Message{Type: kind, Code: method, MessageID: e.lastMessageID, Token: []byte{7, 8}, Payload: []byte(payload)}
	for segment := range strings.SplitSeq(path, "/") {
		if path != "" {
			m.Options = append(m.Options, message.Option{ID: message.URIPath, Value: []byte(segment)})
		}
	}
	for _, o := range options {
		m.Options = m.Options.Add(o)
	}
	b := make([]byte, 2000)
	n, err := coder.DefaultCoder.Encode(m, b)
	if err != nil {
		e.t.Fatal(err)
	}
	return b[:n]
}

func (e *endpoint) datagram(from netip.AddrPort, b []byte) { e.server.Receive(e.now, from, b) }

// echoOption returns a valid Echo option for an address. It requests an Echo value
// if the address has none yet.
func (e *endpoint) echoOption(from netip.AddrPort) message.Option {
	e.t.Helper()
	if e.echo[from] == nil {
		e.datagram(from, e.request(message.Confirmable, codes.POST, "readings", strings.Repeat("x", 20)))
	}
	return message.Option{ID: message.Echo, Value: e.echo[from]}
}

// post sends a POST with a valid Echo option from home.
func (e *endpoint) post(kind message.Type, payload string, options ...message.Option) (sent []byte) {
	e.t.Helper()
	sent = e.request(kind, codes.POST, "readings", payload, append(options, e.echoOption(home))...)
	e.datagram(home, sent)
	return sent
}

// block returns the Block1 option of a block of 16 bytes, or of 16<<size bytes.
func block(number int, more bool, size ...int) message.Option {
	exponent := 0
	if len(size) > 0 {
		exponent = size[0]
	}
	v := number<<4 | exponent
	if more {
		v |= 8
	}
	return message.Option{ID: message.Block1, Value: []byte{byte(v >> 8), byte(v)}}
}

func tag(value string) message.Option {
	return message.Option{ID: message.RequestTag, Value: []byte(value)}
}

// blockPayload is the payload of one block.
const blockPayload = "0123456789abcdef"

// exchanges are scenarios by name.
var exchanges = map[string]func(*endpoint){
	"challenge": func(e *endpoint) {
		e.datagram(home, e.request(message.Confirmable, codes.POST, "readings", blockPayload))
		e.datagram(home, e.request(message.NonConfirmable, codes.POST, "readings", blockPayload))
		e.datagram(away, e.request(message.Confirmable, codes.GET, "limits/x", ""))
		e.datagram(away, []byte{1<<6 | 1, 2, 0, 9, 7, 0xb1, 'r'}) // shorter than a third of the response
		e.datagram(away, e.request(message.Confirmable, codes.POST, "readings", blockPayload, e.echoOption(home)))
		stale := e.echoOption(home)
		e.advance(120001)
		e.datagram(home, e.request(message.Confirmable, codes.POST, "readings", blockPayload, stale))
		forged := message.Option{ID: message.Echo, Value: []byte("0123456789abcdef")}
		e.datagram(home, e.request(message.Confirmable, codes.POST, "readings", blockPayload, forged))
	},
	"piggybacked": func(e *endpoint) {
		sent := e.post(message.Confirmable, "batch")
		e.datagram(home, sent) // a duplicate before the response
		e.advance(300)
		e.server.Answer(e.now, e.tokens[0], codes.Changed, []byte{0xa1, 1, 0x80}, 0)
		e.datagram(home, sent)
		e.server.Answer(e.now, e.tokens[0], codes.Changed, nil, 0) // ignored: the token was answered
		e.advance(250000)
		e.datagram(home, sent) // the exchange and the Echo value have expired
	},
	"not-confirmable": func(e *endpoint) {
		sent := e.post(message.NonConfirmable, "batch")
		e.advance(1500)
		e.server.Answer(e.now, e.tokens[0], codes.Changed, []byte("reply"), 0)
		e.datagram(home, sent)
	},
	"separate": func(e *endpoint) {
		sent := e.post(message.Confirmable, "batch")
		e.advance(1000)
		e.datagram(home, sent)
		e.server.Answer(e.now, e.tokens[0], codes.Changed, []byte("reply"), 0)
		e.datagram(home, sent)
		e.advance(100000) // until the last retransmission
	},
	"separate-and-acknowledged": func(e *endpoint) {
		for kind := message.Acknowledgement; kind <= message.Reset; kind++ {
			e.post(message.Confirmable, "batch")
			e.advance(1000)
			e.server.Answer(e.now, e.tokens[len(e.tokens)-1], codes.Changed, []byte("reply"), 0)
			var address, number string
			last := e.events[len(e.events)-1]
			if _, err := fmt.Sscanf(last, "1 %s %8s", &address, &number); err != nil {
				e.t.Fatal(err)
			}
			var id uint16
			if _, err := fmt.Sscanf(number[4:], "%04x", &id); err != nil {
				e.t.Fatal(err)
			}
			e.datagram(home, []byte{1<<6 | byte(kind)<<4, 0, byte(id >> 8), byte(id)})
			e.advance(60000)
		}
	},
	"answers": func(e *endpoint) {
		for _, a := range []struct {
			code    codes.Code
			payload string
			maxAge  float64
		}{
			{codes.Changed, "", 0}, {codes.Content, "value", 0}, {codes.Content, "value", 60000},
			{codes.ServiceUnavailable, "", 1}, {codes.ServiceUnavailable, "busy", 300001},
			{codes.BadRequest, "no", 0}, {codes.RequestEntityTooLarge, "", 0},
		} {
			e.post(message.Confirmable, "batch")
			e.server.Answer(e.now, e.tokens[len(e.tokens)-1], a.code, []byte(a.payload), a.maxAge)
		}
	},
	"reads": func(e *endpoint) {
		e.datagram(home, e.request(message.Confirmable, codes.GET, "limits/north/meter-1", "", e.echoOption(home)))
		e.server.Answer(e.now, e.tokens[0], codes.Content, []byte("value"), 1500)
		e.datagram(home, e.request(message.Confirmable, codes.GET, "limits", "", e.echoOption(home)))
		e.datagram(home, e.request(message.Confirmable, codes.PUT, "readings", "batch", e.echoOption(home)))
	},
	"not-understood": func(e *endpoint) {
		e.echoOption(home)
		e.datagram(home, []byte{1<<6 | 9, 2, 9, 1})
		e.datagram(home, []byte{1<<6 | 1<<4 | 9, 2, 9, 1})
		e.datagram(home, []byte{1 << 6, 0, 9, 2})
		e.datagram(home, []byte{1<<6 | 1<<4, 0, 9, 2})
		e.datagram(home, []byte{1 << 6, 0, 9, 2, 0xb1, 'r'})
		e.datagram(home, []byte{1 << 6, 69, 9, 3})
		e.datagram(home, []byte{1<<6 | 1<<4, 69, 9, 3})
		e.datagram(home, []byte{1 << 6, 4, 9, 4})
		e.datagram(home, []byte{1<<6 | 1<<4, 4, 9, 5})
		e.datagram(home, []byte{1<<6 | 2<<4, 0, 9, 6})
		e.datagram(home, e.request(message.Confirmable, codes.POST, "", "x"))
		e.datagram(home, e.request(message.Confirmable, codes.POST, "readings", "x", message.Option{ID: 9, Value: []byte{1}}))
		e.datagram(home, e.request(message.Confirmable, codes.POST, "readings", "x", message.Option{ID: 2050, Value: []byte{1}}))
		e.datagram(home, e.request(message.Confirmable, codes.POST, strings.Repeat("s", 65), "x"))
		e.datagram(home, e.request(message.Confirmable, codes.POST, "readings//x", "x"))
		e.datagram(home, nil)
		e.datagram(home, make([]byte, 1473))
		e.post(message.Confirmable, strings.Repeat("x", 201))
	},
	"blocks": func(e *endpoint) {
		e.post(message.Confirmable, "whole", block(0, false))
		e.post(message.Confirmable, blockPayload, block(0, true), tag("12345678"))
		e.post(message.Confirmable, "end", block(2, false), tag("12345678"))
		e.post(message.Confirmable, blockPayload, block(0, true), tag("12345678"))
		elsewhere := []message.Option{block(1, true), tag("12345678"), e.echoOption(away)}
		e.datagram(away, e.request(message.Confirmable, codes.POST, "readings", blockPayload, elsewhere...))
		e.post(message.Confirmable, blockPayload, block(1, true), tag("12345678"))
		e.post(message.Confirmable, "end", block(2, false), tag("12345678"))
		e.server.Answer(e.now, e.tokens[len(e.tokens)-1], codes.Changed, []byte("reply"), 0)
	},
	"blocks-of-two-clients": func(e *endpoint) {
		for n := range 2 {
			for _, from := range []netip.AddrPort{home, away} {
				options := []message.Option{block(n, n == 0), tag("short"), e.echoOption(from)}
				e.datagram(from, e.request(message.Confirmable, codes.POST, "readings", blockPayload, options...))
			}
		}
	},
	"blocks-begun-anew": func(e *endpoint) {
		for _, n := range []int{0, 1, 0, 1} {
			e.post(message.Confirmable, blockPayload, block(n, true))
		}
		e.post(message.Confirmable, "end", block(2, false))
	},
	"blocks-refused": func(e *endpoint) {
		e.post(message.Confirmable, "short", block(0, true))
		e.post(message.Confirmable, blockPayload+blockPayload, block(0, false))
		e.post(message.Confirmable, blockPayload, block(0, true, 7))
		e.post(message.Confirmable, blockPayload, block(3, true))
		e.post(message.Confirmable, blockPayload, block(0, true))
		e.post(message.Confirmable, blockPayload+blockPayload, block(1, true, 1))
	},
	"blocks-too-long": func(e *endpoint) {
		for n := range 14 {
			e.post(message.Confirmable, blockPayload, block(n, true))
		}
	},
	"blocks-that-stall": func(e *endpoint) {
		e.post(message.Confirmable, blockPayload, block(0, true))
		e.advance(21000)
		e.post(message.Confirmable, blockPayload, block(1, true))
	},
	"blocks-of-many": func(e *endpoint) {
		for n := range 12 {
			e.post(message.Confirmable, blockPayload, block(0, true), tag(fmt.Sprintf("%08d", n)))
			e.advance(100)
		}
	},
	"blocks-of-the-slowest": func(e *endpoint) {
		for n := range 14 { // each of seven transfers has two blocks
			e.post(message.Confirmable, blockPayload, block(n%2, true), tag(fmt.Sprintf("%08d", n/2)))
		}
		e.post(message.Confirmable, blockPayload, block(0, true), tag("the last"))
	},
	"forgotten-out-of-order": func(e *endpoint) {
		for n := range 5 {
			e.post([]message.Type{message.Confirmable, message.NonConfirmable}[min(n, 1)], "batch")
		}
		e.advance(145001)
		e.post(message.Confirmable, "batch")
		e.advance(250000)
	},
}
