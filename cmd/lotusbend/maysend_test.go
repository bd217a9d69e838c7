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

// acceptUnready accepts a router's connection to an endpoint and reads its startup,
// which is not answered until sendReady.
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

// sendReady answers a startup with ReadyForQuery.
func (p *peer) sendReady() { p.write(wire.AppendReadyForQuery(wire.AppendAuthenticationOk(nil))) }

// While an attempt waits for its connection, the endpoint list may put its endpoint
// into draining: the statement must not be written there any more.
func TestQueuedAttemptIsNotWrittenToDrainingEndpoint(t *testing.T) {
	primary, replica := listen(t), listen(t)
	bed := newTestbed(t, 100, endpoint("p", primary, "off", "ready"), endpoint("r", replica, "on", "ready"))
	d := acceptWatch(t, bed.discovery)
	d.answerWatch("/v1/endpoints", fmt.Sprintf(`{"index":4,"snapshot":true,"endpoints":[%s,%s]}`,
		endpoint("p", primary, "off", "ready"), endpoint("r", replica, "on", "ready")))
	p := bed.client()
	p.query(view)
	r := acceptUnready(t, replica)
	d.answerWatch("/v1/endpoints?after=4&wait_ms=3000", fmt.Sprintf(`{"index":5,"snapshot":false,"endpoints":[%s]}`,
		endpoint("r", replica, "on", "draining")))
	if _, err := d.in.Peek(1); err != nil { // the next request: the update has been applied
		t.Fatal(err)
	}
	r.sendReady()
	if kind, _ := r.message(); kind != 0 {
		t.Errorf("the draining endpoint got a message %q, want a closed connection", kind)
	}
	accept(t, primary).serve("fresh", "off")
	p.want(p.answer(), "fresh")
}

// While an attempt waits for its connection, its client may disconnect: the
// statement must not be written, and the connection serves the next client.
func TestQueuedAttemptIsNotWrittenForDisconnectedClient(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	gone, next := bed.client(), bed.client()
	gone.query(write)
	h := acceptUnready(t, l)
	_ = gone.c.Close()
	bed.waitUntil(func() bool { return bed.node.router.PendingRequests() == 0 })
	h.sendReady()
	next.query(strings.Replace(write, "9b20", "9b21", 1))
	next.want(h.serve("next", "off"), "9b21")
	next.want(next.answer(), "next")
}

// While a retry waits for a primary to be found, its client may disconnect: the
// statement must not be sent again.
func TestRetryIsNotSentForDisconnectedClient(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	gone, next := bed.client(), bed.client()
	gone.query(write)
	h := accept(t, l)
	h.refuse(wire.CodeReadOnlyTransaction)
	for rests := false; !rests; runtime.Gosched() { // ends once the error is processed: a timer then ends the connection's pause
		due, _ := bed.loop.Next()
		rests = due <= start+settleDelayMs
	}
	_ = gone.c.Close()
	bed.waitUntil(func() bool { return bed.node.router.PendingRequests() == 0 })
	bed.advance(1000)
	next.query(strings.Replace(write, "9b20", "9b21", 1))
	for tries := 0; !h.hasInput(); tries++ { // the router looks for the primary every 0.1 s
		if bed.advance(10); tries > 200 {
			t.Fatal("the next client's statement was not sent within 2 s")
		}
	}
	next.want(h.serve("next", "off"), "9b21")
	next.want(next.answer(), "next")
}

// hasInput reports whether the peer has received something.
func (p *peer) hasInput() bool {
	_ = p.c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := p.in.Peek(1)
	_ = p.c.SetReadDeadline(time.Time{})
	return err == nil
}
