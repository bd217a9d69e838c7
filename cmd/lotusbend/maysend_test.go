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
func acceptUnready(t *testing.T, listener net.Listener) *peer {
	t.Helper()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	endpoint := newPeer(t, conn)
	length := make([]byte, wire.StartupHeaderLen)
	if _, err := io.ReadFull(endpoint.in, length); err != nil {
		t.Fatal(err)
	}
	if _, err := endpoint.in.Discard(int(binary.BigEndian.Uint32(length)) - len(length)); err != nil {
		t.Fatal(err)
	}
	return endpoint
}

// sendReady answers a startup with ReadyForQuery.
func (p *peer) sendReady() { p.write(wire.AppendReadyForQuery(wire.AppendAuthenticationOk(nil))) }

// While an attempt waits for its connection, the endpoint list may put its endpoint
// into draining: the statement must not be written there any more.
func TestQueuedAttemptIsNotWrittenToDrainingEndpoint(t *testing.T) {
	primaryListener, replicaListener := listen(t), listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", primaryListener, "off", "ready"), endpointEntry("r", replicaListener, "on", "ready"))
	watch := acceptWatch(t, bed.discovery)
	watch.answerWatch("/v1/endpoints", fmt.Sprintf(`{"index":4,"snapshot":true,"endpoints":[%s,%s]}`,
		endpointEntry("p", primaryListener, "off", "ready"), endpointEntry("r", replicaListener, "on", "ready")))
	client := bed.connectClient()
	client.query(viewStatement)
	replica := acceptUnready(t, replicaListener)
	watch.answerWatch("/v1/endpoints?after=4&wait_ms=3000", fmt.Sprintf(`{"index":5,"snapshot":false,"endpoints":[%s]}`,
		endpointEntry("r", replicaListener, "on", "draining")))
	if _, err := watch.in.Peek(1); err != nil { // the next request: the update has been applied
		t.Fatal(err)
	}
	replica.sendReady()
	if kind, _ := replica.message(); kind != 0 {
		t.Errorf("the draining endpoint got a message %q, want a closed connection", kind)
	}
	accept(t, primaryListener).serve("fresh", "off")
	client.want(client.answer(), "fresh")
}

// While an attempt waits for its connection, its client may disconnect: the
// statement must not be written, and the connection serves the next client.
func TestQueuedAttemptIsNotWrittenForDisconnectedClient(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	gone, next := bed.connectClient(), bed.connectClient()
	gone.query(writeStatement)
	endpoint := acceptUnready(t, listener)
	_ = gone.conn.Close()
	bed.waitUntil(func() bool { return bed.node.router.PendingRequests() == 0 })
	endpoint.sendReady()
	next.query(strings.Replace(writeStatement, "9b20", "9b21", 1))
	next.want(endpoint.serve("next", "off"), "9b21")
	next.want(next.answer(), "next")
}

// While a retry waits for a primary to be found, its client may disconnect: the
// statement must not be sent again.
func TestRetryIsNotSentForDisconnectedClient(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	gone, next := bed.connectClient(), bed.connectClient()
	gone.query(writeStatement)
	endpoint := accept(t, listener)
	endpoint.refuse(wire.CodeReadOnlyTransaction)
	for paused := false; !paused; runtime.Gosched() { // ends once the router has processed the error: its next timer is then the end of the connection's pause
		timerAt, _ := bed.loop.Next()
		paused = timerAt <= startMs+settleDelayMs
	}
	_ = gone.conn.Close()
	bed.waitUntil(func() bool { return bed.node.router.PendingRequests() == 0 })
	bed.advance(1000)
	next.query(strings.Replace(writeStatement, "9b20", "9b21", 1))
	for tries := 0; !endpoint.hasInput(); tries++ { // the router looks for the primary every 0.1 s
		if bed.advance(10); tries > 200 {
			t.Fatal("the next client's statement was not sent within 2 s")
		}
	}
	next.want(endpoint.serve("next", "off"), "9b21")
	next.want(next.answer(), "next")
}

// hasInput reports whether the peer has received something.
func (p *peer) hasInput() bool {
	_ = p.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := p.in.Peek(1)
	_ = p.conn.SetReadDeadline(time.Time{})
	return err == nil
}
