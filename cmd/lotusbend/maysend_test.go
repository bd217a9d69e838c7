package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"lotusbend/internal/postgres/wire"
)

// acceptUnready takes a router's connection to a host that does not come up until told.
func acceptUnready(t *testing.T, l net.Listener) *peer {
	t.Helper()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	p := newPeer(t, c)
	n := make([]byte, wire.StartupHeaderLen)
	if _, err := io.ReadFull(p.in, n); err != nil {
		t.Fatal(err)
	}
	if _, err := p.in.Discard(int(binary.BigEndian.Uint32(n)) - len(n)); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *peer) sendReady() { p.write(wire.AppendReadyForQuery(wire.AppendAuthenticationOk(nil))) }

// An attempt may wait for its connection while the list tells that its host
// drains: it must not be written there then.
func TestQueuedAttemptIsNotWrittenToDrainingEndpoint(t *testing.T) {
	primary, replica := listen(t), listen(t)
	w := newTestbed(t, 100, endpoint("p", primary, "off", "ready"), endpoint("r", replica, "on", "ready"))
	d := acceptWatch(t, w.discovery)
	d.answerWatch("/v1/endpoints", fmt.Sprintf(`{"index":4,"snapshot":true,"endpoints":[%s,%s]}`,
		endpoint("p", primary, "off", "ready"), endpoint("r", replica, "on", "ready")))
	p := w.client()
	p.query(viewQuery)
	r := acceptUnready(t, replica)
	d.answerWatch("/v1/endpoints?after=4&wait_ms=3000", fmt.Sprintf(`{"index":5,"snapshot":false,"endpoints":[%s]}`,
		endpoint("r", replica, "on", "draining")))
	if _, err := d.in.Peek(1); err != nil { // the next call: the news was taken
		t.Fatal(err)
	}
	r.sendReady()
	if kind, _ := r.message(); kind != 0 {
		t.Error("the draining host got the statement")
	}
	accept(t, primary).serve("fresh", "off")
	p.wantContains(p.answer(), "fresh")
}

// Nor is it written for a client that has gone: the connection is there for the
// next one.
func TestQueuedAttemptIsNotWrittenForDisconnectedClient(t *testing.T) {
	l := listen(t)
	w := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	gone, next := w.client(), w.client()
	gone.query(writeQuery)
	h := acceptUnready(t, l)
	_ = gone.c.Close()
	w.waitUntil(func() bool { return w.node.router.PendingRequests() == 0 })
	h.sendReady()
	next.query(strings.Replace(writeQuery, "9b20", "9b21", 1))
	next.wantContains(h.serve("next", "off"), "9b21")
	next.wantContains(next.answer(), "next")
}

// Nor is a repeat sent for it, that waits for a primary to be found.
func TestRetryIsNotSentForDisconnectedClient(t *testing.T) {
	l := listen(t)
	w := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	gone, next := w.client(), w.client()
	gone.query(writeQuery)
	h := accept(t, l)
	h.refuse(wire.CodeReadOnlyTransaction)
	for rests := false; !rests; runtime.Gosched() { // the refusal was taken: the connection rests after it
		due, _ := w.loop.Next()
		rests = due <= startMs+settleDelayMs
	}
	_ = gone.c.Close()
	w.waitUntil(func() bool { return w.node.router.PendingRequests() == 0 })
	w.advance(1000)
	next.query(strings.Replace(writeQuery, "9b20", "9b21", 1))
	for tries := 0; !h.hasInput(); tries++ { // the primary is looked for every 0.1 s
		if w.advance(10); tries > 200 {
			t.Fatal("the next statement does not come")
		}
	}
	next.wantContains(h.serve("next", "off"), "9b21")
	next.wantContains(next.answer(), "next")
}

// hasInput tells whether the peer has been sent something.
func (p *peer) hasInput() bool {
	_ = p.c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := p.in.Peek(1)
	_ = p.c.SetReadDeadline(time.Time{})
	return err == nil
}
