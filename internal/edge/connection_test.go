package edge

import (
	"bytes"
	"net"
	"testing"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/intake"
	edgeoptions "lotusbend/internal/operatorconfig"
	"lotusbend/internal/slotmap"
)

// A link that delivers one byte a second is closed after the progress window;
// others are served meanwhile.
func TestStalledMessageClosesConnection(t *testing.T) {
	w := newTestEdge(t, nil)
	slow, usual := w.dial().hello(), w.dial().hello()
	readings := []batch.Reading{{Seq: 1, Value: bytes.Repeat([]byte("v"), 200)}}
	whole := frames.Append(nil, w.codec, frames.Readings{Kind: frames.KindReadings, ID: 1, Route: "readings",
		Batch: batch.Batch{Device: "slow", Epoch: 1, Readings: readings}})
	for i := range 11 {
		if _, err := slow.Write(whole[i : i+1]); err != nil {
			break
		}
		w.waitFor("a byte", func() bool { return w.edge.unfinished.Len() == 1 || i > 9 })
		w.advance(1000)
		usual.sendReading(uint32(i), "usual", uint64(i))
		var a frames.Answer
		if err := usual.receive(&a); err != nil || a.Ranges[0].Status != uint8(intake.Recorded) {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	if !slow.closed() {
		t.Error("a connection of one byte a second stays")
	}
	w.waitFor("nothing left of it", func() bool {
		return w.edge.unfinished.Len() == 0 && w.edge.unfinished.Bytes() == 0 && w.edge.openConnections == 1
	})
}

// Unfinished messages together take no more than their limit.
func TestLimitOfUnfinishedBytes(t *testing.T) {
	w := newTestEdge(t, func(o *edgeoptions.Edge) { o.UnfinishedBytes = 20000 })
	var peers []*testGateway
	for range 20 {
		p := w.dial().hello()
		if _, err := p.Write(append([]byte{0, 0, 0x30, 0}, make([]byte, 3000)...)); err != nil {
			t.Fatal(err)
		}
		peers = append(peers, p)
	}
	w.waitFor("the slowest went", func() bool { return w.edge.openConnections <= 6 && w.edge.unfinished.Bytes() <= 20000 })
	last := w.dial().hello()
	last.sendReading(1, "d", 1)
	var a frames.Answer
	if err := last.receive(&a); err != nil {
		t.Error(err)
	}
	_ = peers
}

// Two thousand silent connections do not affect others, and time out.
func TestSilentConnectionsTimeOut(t *testing.T) {
	w := newTestEdge(t, nil)
	for range 2000 {
		w.dial()
	}
	w.waitFor("all of them", func() bool { return w.edge.openConnections == 2000 })
	p := w.dial().hello()
	p.sendReading(1, "d", 1)
	var a frames.Answer
	if err := p.receive(&a); err != nil || a.Ranges[0].Status != uint8(intake.Recorded) {
		t.Fatalf("%+v, %v", a, err)
	}
	w.advance(w.edge.options.FirstMessageMs + 1)
	w.waitFor("their end", func() bool { return w.edge.openConnections == 1 })
}

// The connection of a device that does not read its answers is closed.
func TestUnreadAnswersCloseConnection(t *testing.T) {
	w := newTestEdge(t, nil)
	p := w.dial().hello()
	ping := bytes.Repeat(frames.Append(nil, w.codec, frames.Signal{Kind: frames.KindPing}), 1000)
	ended := make(chan bool)
	go func() {
		for {
			if _, err := p.Write(ping); err != nil {
				close(ended)
				return
			}
		}
	}()
	most := 0
	w.waitFor("its end", func() bool {
		w.edge.connections.Each(func(_ slotmap.Handle, c *connection) { most = max(most, c.unreadBytes) })
		return w.edge.openConnections == 0
	})
	if <-ended; most > maxUnreadBytes+1024 {
		t.Errorf("%d bytes were kept for it", most)
	}
}

func TestUnknownProtocolClosesConnection(t *testing.T) {
	w := newTestEdge(t, nil)
	_, mqttAddress, framesAddress := w.edge.Addresses()
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
			p := &testGateway{t, c, w.codec}
			if !p.closed() {
				t.Errorf("%q at %s: it stays", b, address)
			}
			_ = c.Close()
		}
	}
	if w.router.statementCount() != 0 {
		t.Errorf("%q went on", w.router.statements)
	}
}
