package mqtt_test

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/mochi-mqtt/server/v2/packets"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/edge/mqtt"
)

// update rewrites the expected values. They may change only with a deliberate
// change of behaviour, which the commit message must name.
var update = flag.Bool("update", false,
	"rewrite testdata/characterization.txt; only for a deliberate change of behaviour")

const expectedFile = "testdata/characterization.txt"

// TestCharacterization compares, in both versions of the protocol, every packet
// that the server sends, every message that it delivers and its counters with the
// expected values.
func TestCharacterization(t *testing.T) {
	got := map[string]string{}
	for _, version := range []byte{version311, version5} {
		for name, run := range sessions {
			e := newEndpoint(version)
			run(e)
			prefix := fmt.Sprintf("version-%d-%s", version, name)
			for i, event := range e.events {
				got[fmt.Sprintf("%s-%02d", prefix, i)] = event
			}
			s := e.server.Stats()
			got[prefix+"-counts"] = fmt.Sprint(s.Connects, s.Resumed, s.TakenOver, s.TimedOut, s.Violations, s.Evicted)
		}
	}
	got["lengths"] = lengths()
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

const (
	version311 = 4
	version5   = 5
)

// endpoint acts as all clients of a server and records the server's actions as
// numbers and bytes.
type endpoint struct {
	server  *mqtt.Server
	version byte
	now     float64
	tokens  []uint64
	events  []string
}

func newEndpoint(version byte) *endpoint {
	e := &endpoint{version: version, now: 1.7e12}
	limits := mqtt.Limits{Sessions: 3, MaxSessionExpiryMs: 60000, MaxKeepAliveMs: 30000, ReceiveMax: 4, MessageBytes: 1000}
	e.server = mqtt.New(limits, batch.NewCodec(), e)
	return e
}

func (e *endpoint) record(format string, values ...any) {
	e.events = append(e.events, fmt.Sprintf(format, values...))
}

func (e *endpoint) Send(conn uint64, packet []byte) { e.record("1 %d %x", conn, packet) }
func (e *endpoint) Close(conn uint64)               { e.record("2 %d", conn) }

func (e *endpoint) Deliver(token, conn uint64, topic string, payload []byte, connectedAt float64, retransmitted bool) {
	e.tokens = append(e.tokens, token)
	dup := 0
	if retransmitted {
		dup = 1
	}
	e.record("3 %d %d %x %x %.3f %d", token, conn, topic, payload, connectedAt, dup)
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

// send encodes a packet, by default in the endpoint's version, and passes it to
// the server.
func (e *endpoint) send(conn uint64, pk packets.Packet) {
	if pk.ProtocolVersion == 0 {
		pk.ProtocolVersion = e.version
	}
	e.server.Receive(e.now, conn, mqtt.Encode(&pk))
}

// connectPacket returns a CONNECT. keepAlive and sessionExpiry are in seconds; a
// sessionExpiry of 0 requests a clean start.
func connectPacket(version byte, id string, keepAlive uint16, sessionExpiry uint32) packets.Packet {
	pk := packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Connect}, ProtocolVersion: version,
		Connect: packets.ConnectParams{ProtocolName: []byte("MQTT"), Clean: sessionExpiry == 0, ClientIdentifier: id, Keepalive: keepAlive}}
	if version == version5 && sessionExpiry > 0 {
		pk.Properties.SessionExpiryInterval, pk.Properties.SessionExpiryIntervalFlag = sessionExpiry, true
	}
	return pk
}

func (e *endpoint) connect(conn uint64, id string, keepAlive uint16, sessionExpiry uint32, change ...func(*packets.Packet)) {
	e.server.AddConnection(e.now, conn)
	pk := connectPacket(e.version, id, keepAlive, sessionExpiry)
	for _, f := range change {
		f(&pk)
	}
	e.send(conn, pk)
}

func (e *endpoint) publish(conn uint64, qos byte, packetID uint16, payload string, change ...func(*packets.Packet)) {
	pk := packets.Packet{
		FixedHeader: packets.FixedHeader{Type: packets.Publish, Qos: qos},
		TopicName:   "readings",
		PacketID:    packetID,
		Payload:     []byte(payload),
	}
	for _, f := range change {
		f(&pk)
	}
	e.send(conn, pk)
}

// sendControl sends a packet that has at most a packet identifier.
func (e *endpoint) sendControl(conn uint64, kind byte, packetID uint16) {
	pk := packets.Packet{FixedHeader: packets.FixedHeader{Type: kind}, PacketID: packetID}
	if kind == packets.Pubrel {
		pk.FixedHeader.Qos = 1
	}
	e.send(conn, pk)
}

// subscribe sends a SUBSCRIBE or, by kind, an UNSUBSCRIBE.
func (e *endpoint) subscribe(conn uint64, kind byte, packetID uint16, topics ...string) {
	pk := packets.Packet{FixedHeader: packets.FixedHeader{Type: kind, Qos: 1}, PacketID: packetID}
	for _, topic := range topics {
		pk.Filters = append(pk.Filters, packets.Subscription{Filter: topic})
	}
	if kind == packets.Subscribe {
		e.send(conn, pk)
		return
	}
	pk.ProtocolVersion = e.version
	var b bytes.Buffer
	if err := pk.UnsubscribeEncode(&b); err != nil { // not supported by Encode
		panic(err)
	}
	e.server.Receive(e.now, conn, b.Bytes())
}

// answer answers the latest message, with one reading for each status.
func (e *endpoint) answer(statuses ...intake.Status) {
	var results []batch.Result
	for i, status := range statuses {
		results = append(results, batch.Result{Seq: uint64(i + 1), Status: uint8(status), Wait: uint32(7 * i)})
	}
	e.server.Answer(e.tokens[len(e.tokens)-1], results, true)
}

func setDup(pk *packets.Packet)    { pk.FixedHeader.Dup = true }
func setRetain(pk *packets.Packet) { pk.FixedHeader.Retain = true }

// sendRaw passes bytes to the server that Encode cannot produce.
func (e *endpoint) sendRaw(conn uint64, packet string) {
	e.server.Receive(e.now, conn, []byte(packet))
}

// sessions are scenarios by name.
var sessions = map[string]func(*endpoint){
	"greetings": func(e *endpoint) {
		e.connect(1, "a", 20, 0)
		e.connect(2, "b", 0, 0)
		e.connect(3, "c", 60, 0)
		e.connect(4, "d", 20, 0) // exceeds the limit of sessions
	},
	"keepers": func(e *endpoint) {
		e.connect(1, "a", 20, 30)
		e.server.RemoveConnection(e.now, 1)
		e.advance(29999)
		e.connect(2, "a", 20, 100000)
		e.server.RemoveConnection(e.now, 2)
		e.advance(30001)
		e.connect(3, "a", 20, 30)
		e.server.RemoveConnection(e.now, 3)
		e.advance(60001)
		e.connect(4, "a", 20, 30)
		e.server.RemoveConnection(e.now, 4)
		e.connect(5, "a", 20, 0)
	},
	"evicted": func(e *endpoint) {
		for n, id := range []string{"a", "b", "c", "d", "a"} {
			e.connect(uint64(n), id, 20, 50)
			e.server.RemoveConnection(e.now, uint64(n))
			e.advance(10)
		}
	},
	"taken-over": func(e *endpoint) {
		e.connect(1, "a", 20, 30)
		e.publish(1, 1, 5, "batch")
		e.connect(2, "a", 20, 30)
		e.answer(intake.Recorded)
		e.publish(1, 1, 6, "batch")
		e.server.RemoveConnection(e.now, 1)
		e.connect(3, "a", 20, 0)
	},
	"refused": func(e *endpoint) {
		e.connect(1, "", 20, 0)
		e.connect(2, strings.Repeat("x", 129), 20, 0)
		e.connect(3, "c", 20, 0, func(pk *packets.Packet) { pk.ProtocolVersion = 3; pk.Connect.ProtocolName = []byte("MQIsdp") })
		e.connect(4, "d", 20, 0, func(pk *packets.Packet) { pk.Connect.PasswordFlag = true })
		e.server.AddConnection(e.now, 5)
		e.sendControl(5, packets.Pingreq, 0)
		e.connect(6, "f", 20, 0)
		e.send(6, connectPacket(e.version, "f", 20, 0)) // a second CONNECT
		e.server.RemoveConnection(e.now, 99)
	},
	"quality-0": func(e *endpoint) {
		e.connect(1, "a", 20, 0)
		e.publish(1, 0, 0, "batch")
		e.answer(intake.Rejected)
		e.publish(1, 0, 0, "batch", setDup)
	},
	"quality-1": func(e *endpoint) {
		e.connect(1, "a", 20, 30)
		e.publish(1, 1, 5, "batch")
		e.publish(1, 1, 5, "batch", setDup) // its answer is pending
		e.answer(intake.Recorded, intake.Stored)
		e.answer(intake.Recorded) // ignored: the token was answered
		e.publish(1, 1, 5, "batch", setDup)
		e.answer(intake.Recorded, intake.Rejected, intake.Unknown)
		e.sendControl(1, packets.Puback, 9)
	},
	"quality-2": func(e *endpoint) {
		e.connect(1, "a", 20, 30)
		e.publish(1, 2, 5, "batch")
		e.answer(intake.Recorded)
		e.publish(1, 2, 5, "batch", setDup) // recorded already
		e.sendControl(1, packets.Pubrel, 5)
		e.sendControl(1, packets.Pubrel, 5)
		e.publish(1, 2, 6, "batch")
		e.server.RemoveConnection(e.now, 1)
		e.answer(intake.Recorded)
		e.connect(2, "a", 20, 30)
		e.publish(2, 2, 6, "batch", setDup)
		e.publish(2, 2, 6, "another batch")
		e.answer(intake.Conflict)
		e.sendControl(2, packets.Pubrec, 9)
		e.sendControl(2, packets.Pubcomp, 9)
	},
	"statuses": func(e *endpoint) {
		e.connect(1, "a", 20, 0)
		e.subscribe(1, packets.Subscribe, 1, mqtt.AnswersTopicPrefix+"a")
		for number, statuses := range [][]intake.Status{
			{}, {intake.Recorded}, {intake.Stored}, {intake.Conflict}, {intake.Rejected}, {intake.Unknown},
			{intake.Invalid}, {intake.Rejected, intake.Conflict, intake.Recorded}, {intake.Invalid, intake.Rejected},
		} {
			e.publish(1, byte(1+number%2), uint16(100+number), "batch")
			e.answer(statuses...)
			e.sendControl(1, packets.Pubrel, uint16(100+number))
		}
		e.publish(1, 1, 50, "no batch")
		e.server.Answer(e.tokens[len(e.tokens)-1], nil, false)
	},
	"without-problem-information": func(e *endpoint) {
		e.connect(1, "a", 20, 0, func(pk *packets.Packet) {
			pk.Properties.RequestProblemInfoFlag = e.version == version5
		})
		e.publish(1, 1, 5, "batch")
		e.answer(intake.Recorded, intake.Invalid)
	},
	"subscriptions": func(e *endpoint) {
		e.connect(1, "a", 20, 30)
		e.subscribe(1, packets.Subscribe, 1, mqtt.AnswersTopicPrefix+"a", mqtt.AnswersTopicPrefix+"b", "#")
		e.publish(1, 0, 0, "batch")
		e.answer(intake.Recorded, intake.Rejected)
		e.subscribe(1, packets.Unsubscribe, 2, mqtt.AnswersTopicPrefix+"a", mqtt.AnswersTopicPrefix+"a", "#")
		e.publish(1, 0, 0, "batch")
		e.answer(intake.Recorded)
		e.sendControl(1, packets.Pingreq, 0)
	},
	"endings": func(e *endpoint) {
		e.connect(1, "a", 20, 30)
		e.sendControl(1, packets.Disconnect, 0)
		e.connect(2, "b", 20, 0)
		e.send(2, packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Disconnect},
			Properties: packets.Properties{SessionExpiryInterval: 9, SessionExpiryIntervalFlag: true}})
		e.connect(3, "c", 20, 30)
		e.send(3, packets.Packet{FixedHeader: packets.FixedHeader{Type: packets.Disconnect},
			Properties: packets.Properties{SessionExpiryInterval: 9, SessionExpiryIntervalFlag: true}})
		e.server.RemoveConnection(e.now, 3)
		e.advance(9001)
		e.connect(4, "c", 20, 30)
	},
	"silence": func(e *endpoint) {
		e.connect(1, "a", 10, 0)
		e.advance(14000)
		e.sendControl(1, packets.Pingreq, 0)
		e.advance(14000)
		e.publish(1, 0, 0, "batch")
		e.advance(20000)
	},
	"violations": func(e *endpoint) {
		for n, packet := range []string{
			"", "\x30", "\x30\x80\x80", "\x30\x02\x00\x09", "\x36\x02\x00\x00", "\xf0\x00",
			"\x20\x02\x00\x00", "\x60\x02\x00\x01", "\x82\x02\x00\x01", "\xa2\x02\x00\x01",
		} {
			e.connect(uint64(n), "a", 10, 0)
			e.sendRaw(uint64(n), packet)
			e.server.RemoveConnection(e.now, uint64(n))
		}
		e.sendRaw(99, "\xc0\x00")
	},
	"broken-publications": func(e *endpoint) {
		for n, change := range []func(*packets.Packet){
			setRetain,
			func(pk *packets.Packet) { pk.PacketID = 0 },
			func(pk *packets.Packet) { pk.TopicName = "a/#" },
			func(pk *packets.Packet) { pk.TopicName = "" },
		} {
			e.connect(uint64(n), "a", 10, 0)
			pk := packets.Packet{
				FixedHeader:     packets.FixedHeader{Type: packets.Publish, Qos: 1},
				ProtocolVersion: e.version,
				TopicName:       "readings",
				PacketID:        5,
				Payload:         []byte("batch"),
			}
			change(&pk)
			if pk.PacketID == 0 { // the library does not encode it
				e.sendRaw(uint64(n), "\x32\x06\x00\x01r\x00\x00\x00")
			} else {
				e.send(uint64(n), pk)
			}
			e.server.RemoveConnection(e.now, uint64(n))
		}
	},
	"number-in-use": func(e *endpoint) {
		e.connect(1, "a", 20, 30)
		e.publish(1, 1, 5, "batch")
		e.publish(1, 1, 5, "another batch")
	},
	"too-many-at-once": func(e *endpoint) {
		e.connect(1, "a", 20, 30)
		for number := range uint16(5) {
			e.publish(1, 1+byte(number%2), number+1, "batch")
		}
	},
	"stopping": func(e *endpoint) {
		e.connect(1, "a", 20, 30)
		e.publish(1, 1, 5, "batch")
		e.connect(2, "b", 20, 30)
		e.server.Drain()
		e.answer(intake.Recorded)
		e.connect(3, "c", 20, 30)
	},
}

// lengths returns the results of PacketLength, and the bytes that can begin a
// connection.
func lengths() (text string) {
	for _, b := range []string{
		"", "\x30", "\x30\x05", "\x30\x80", "\x30\xc8\x01", "\x30\xc9\x01",
		"\x30\xff\xff\xff\x7f", "\x30\xff\xff\xff\xff", "\x30\xff\xff\xff\xff\x01",
	} {
		n, err := mqtt.PacketLength([]byte(b), 200)
		failed := 0
		if err != nil {
			failed = 1
		}
		text += fmt.Sprintf("%d:%d ", n, failed)
	}
	for b := range 256 {
		if mqtt.IsConnectHeader(byte(b)) {
			text += fmt.Sprint(b)
		}
	}
	return text
}
