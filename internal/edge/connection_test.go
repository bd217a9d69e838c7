package edge

import (
	"bytes"
	"net"
	"testing"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/operatorconfig"
	"lotusbend/internal/slotmap"
)

// A connection that delivers one byte per second is closed after the progress
// window. Other connections are served meanwhile.
func TestStalledMessageClosesConnection(t *testing.T) {
	test := newTestEdge(t, nil)
	slow, other := test.dial().hello(), test.dial().hello()
	readings := []batch.Reading{{Seq: 1, Value: bytes.Repeat([]byte("v"), 200)}}
	encoded := frames.Append(nil, test.codec, frames.Readings{Kind: frames.KindReadings, ID: 1, Route: "readings",
		Batch: batch.Batch{Device: "slow", Epoch: 1, Readings: readings}})
	for i := range 11 {
		if _, err := slow.Write(encoded[i : i+1]); err != nil {
			break
		}
		test.waitFor("an unfinished message", func() bool { return test.edge.unfinished.Len() == 1 || i > 9 })
		test.waitForSent()
		test.advance(1000)
		other.sendReading(uint32(i), "usual", uint64(i))
		var a frames.Answer
		if err := other.receive(&a); err != nil || a.Ranges[0].Status != uint8(intake.Recorded) {
			t.Fatalf("answer on another connection = %+v, %v, want recorded", a, err)
		}
	}
	if !slow.closed() {
		t.Error("connection with one byte per second is open, want closed")
	}
	test.waitFor("the slow connection to be unregistered", func() bool {
		return test.edge.unfinished.Len() == 0 && test.edge.unfinished.Bytes() == 0 && test.edge.openConnections == 1
	})
}

// The slowest connections are closed if the unfinished messages of all
// connections together exceed their limit. A new connection is served.
func TestUnfinishedBytesAreLimited(t *testing.T) {
	test := newTestEdge(t, func(o *operatorconfig.Edge) { o.UnfinishedBytes = 20000 })
	var peers []*testGateway
	for range 20 {
		gateway := test.dial().hello()
		if _, err := gateway.Write(append([]byte{0, 0, 0x30, 0}, make([]byte, 3000)...)); err != nil {
			t.Fatal(err)
		}
		peers = append(peers, gateway)
	}
	test.waitFor("the slowest connections to be closed", func() bool {
		return test.edge.openConnections <= 6 && test.edge.unfinished.Bytes() <= 20000
	})
	last := test.dial().hello()
	last.sendReading(1, "d", 1)
	var a frames.Answer
	if err := last.receive(&a); err != nil {
		t.Errorf("receiving the answer on a new connection: %v", err)
	}
	_ = peers
}

// Two thousand connections that send nothing do not keep others from being
// served, and are closed after FirstMessageMs.
func TestSilentConnectionsTimeOut(t *testing.T) {
	test := newTestEdge(t, nil)
	for range 2000 {
		test.dial()
	}
	test.waitFor("2000 connections", func() bool { return test.edge.openConnections == 2000 })
	gateway := test.dial().hello()
	gateway.sendReading(1, "d", 1)
	var a frames.Answer
	if err := gateway.receive(&a); err != nil || a.Ranges[0].Status != uint8(intake.Recorded) {
		t.Fatalf("answer beside silent connections = %+v, %v, want recorded", a, err)
	}
	test.waitForSent()
	test.advance(test.edge.options.FirstMessageMs + 1)
	test.waitFor("the silent connections to be closed", func() bool { return test.edge.openConnections == 1 })
}

// A connection whose device sends requests but does not read the answers is
// closed, before more than maxUnreadBytes are queued for it.
func TestUnreadAnswersCloseConnection(t *testing.T) {
	test := newTestEdge(t, nil)
	gateway := test.dial().hello()
	ping := bytes.Repeat(frames.Append(nil, test.codec, frames.Signal{Kind: frames.KindPing}), 1000)
	ended := make(chan bool)
	go func() {
		for {
			if _, err := gateway.Write(ping); err != nil {
				close(ended)
				return
			}
		}
	}()
	maxUnread := 0
	test.waitFor("the connection to be closed", func() bool {
		test.edge.connections.Each(func(_ slotmap.Handle, conn *connection) { maxUnread = max(maxUnread, conn.unreadBytes) })
		return test.edge.openConnections == 0
	})
	if <-ended; maxUnread > maxUnreadBytes+1024 {
		t.Errorf("unread bytes = %d at most, want at most %d", maxUnread, maxUnreadBytes+1024)
	}
}

func TestUnknownProtocolClosesConnection(t *testing.T) {
	test := newTestEdge(t, nil)
	_, mqttAddress, framesAddress := test.edge.Addresses()
	for _, address := range []string{mqttAddress, framesAddress} {
		for _, b := range []string{
			"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x00", "\xff\xff\xff\xff\xff\xff",
			"\x16\x03\x01\x00\xa5\x01", "\x30\x02\x00\x00",
		} {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.Write([]byte(b)); err != nil {
				t.Fatal(err)
			}
			gateway := &testGateway{t, c, test.codec}
			if !gateway.closed() {
				t.Errorf("connection that sent %q to %s is open, want closed", b, address)
			}
			_ = c.Close()
		}
	}
	if test.router.statementCount() != 0 {
		t.Errorf("statements = %q, want none", test.router.statements)
	}
}
