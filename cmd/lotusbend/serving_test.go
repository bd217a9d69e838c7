package main

import (
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"

	"lotusbend/internal/deployconfig"
	"lotusbend/internal/postgres/wire"
)

// Startup and statement may arrive in one packet, or byte by byte. The router passes
// id and k on unchanged, and sets d to the time that is left: here still all of it.
func TestStartupAndStatementArriveInAnyChunks(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	both := wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), []byte(writeStatement))
	var endpoint *peer
	for _, size := range []int{len(both), 1} {
		client := bed.dial()
		client.write([]byte{0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f}) // SSLRequest
		if reply, _ := client.in.ReadByte(); reply != 'N' {
			t.Fatalf("answer to SSLRequest = %q, want N", reply)
		}
		for chunk := range slices.Chunk(both, size) {
			client.write(chunk)
		}
		client.want(client.answer(), "RKZ")
		if endpoint == nil {
			endpoint = accept(t, listener)
		}
		if got := endpoint.serve("value", "off"); got != writeStatement {
			t.Fatalf("endpoint got %q, want the statement unchanged", got)
		}
		client.want(client.answer(), "TDCZ")
		bed.advance(settleDelayMs)
	}
}

// A statement that is not sent to any endpoint must leave the client's connection
// usable.
func TestInvalidStatementsReachNoEndpoint(t *testing.T) {
	bed := newTestbed(t, 100)
	client := bed.connectClient()
	for sql, want := range map[string]string{
		"": "IZ", " ; ": "IZ", "SELECT 1": "42601", "SELECT 1 /* id=1,c=view,d=x,cluster=1 */": "42601",
		"SELECT 1 /* id=1,c=what,d=9,cluster=1 */": "unknown class", "SELECT 1 /* id=1,c=view,d=9 */": "42601",
		"SELECT 1 /* id=1,c=write,d=9,k=1,cluster=1 */": "not of its class",
		"INSERT 1 /* id=1,c=view,d=9,cluster=1 */":      "not of its class",
		"INSERT 1 /* id=1,c=write,d=9,cluster=1 */":     "idempotency key",
	} {
		client.query(sql)
		client.want(client.answer(), want)
	}
	client.write([]byte("P\x00\x00\x00\x08\x00\x00\x00\x00S\x00\x00\x00\x04")) // Parse and Sync
	client.want(client.answer(), "0A000")
	client.query("")
	client.want(client.answer(), "IZ")
}

// A message with a false length must end its own connection only.
func TestMalformedMessagesEndOnlyTheirConnection(t *testing.T) {
	bed := newTestbed(t, 100)
	good := bed.connectClient()
	for _, malformed := range []string{"Q\xff\xff\xff\xff", "Q\x00\x00\x00\x00"} {
		client := bed.connectClient()
		client.write([]byte(malformed))
		client.want(client.answer(), "08P01")
	}
	for _, malformed := range []string{"\x00\x00\x00\x00", "\x7f\xff\xff\xff", "\x00\x00\x00\x08\x00\x01\x00\x00"} {
		client := bed.dial()
		client.write([]byte(malformed))
		client.want(client.answer(), "closed")
	}
	good.query("")
	good.want(good.answer(), "IZ")
}

// A statement whose connection was refused has not run. The router holds the write
// for half of the time to its deadline, and then rejects it with a time after which
// to retry.
func TestRefusedConnectionHasNoEffect(t *testing.T) {
	bed := newTestbed(t, 100, endpointEntry("p", reservePort(t), "off", "ready"))
	client := bed.connectClient()
	client.query(writeStatement)
	bed.waitUntil(func() bool { return bed.node.router.PendingRequests() == 1 })
	got := bed.advanceToAnswer(client)
	client.want(got, "C53300")
	client.want(got, "D1000")
}

// If the connection breaks after the statement is written, the statement may have
// run: a write must not be reported as rejected, after which the client may send
// it again elsewhere.
func TestConnectionBrokenAfterTheLastByteMayHaveExecuted(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	client := bed.connectClient()
	client.query(writeStatement)
	endpoint := accept(t, listener)
	endpoint.message()
	_ = endpoint.conn.Close()
	bed.waitUntil(func() bool { _, endpoints := bed.node.budget.InUse(); return endpoints == 0 })
	client.want(bed.advanceToAnswer(client), "57014")
}

// At the deadline the router closes the attempt's connection and answers the
// client; a late answer of the endpoint must not reach the client.
func TestDeadlineEndsTheAttempt(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	client := bed.connectClient()
	client.query(writeStatement)
	endpoint := accept(t, listener)
	endpoint.message()
	bed.advance(2000)
	client.want(client.answer(), "57014")
	if kind, _ := endpoint.message(); kind != 0 {
		t.Errorf("endpoint got a message %q, want its connection closed", kind)
	}
	client.query("")
	client.want(client.answer(), "IZ")
}

// When a client disconnects, the connection of its attempt must be closed, which
// cancels the work at the endpoint.
func TestDisconnectedClientCancelsItsAttempt(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	client := bed.connectClient()
	client.query(writeStatement)
	endpoint := accept(t, listener)
	endpoint.message()
	_ = client.conn.Close()
	if kind, _ := endpoint.message(); kind != 0 {
		t.Errorf("endpoint got a message %q, want its connection closed", kind)
	}
}

// A read that a replica rejects as too far behind is retried at the primary. Both
// connections stay open and are used again, until they are idle for too long.
func TestIneligibleAnswerIsRetriedElsewhereAndConnectionsAreReused(t *testing.T) {
	primaryListener, replicaListener := listen(t), listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", primaryListener, "off", "ready"), endpointEntry("r", replicaListener, "on", "ready"))
	client := bed.connectClient()
	client.query(viewStatement)
	replica := accept(t, replicaListener)
	replica.refuse(wire.CodeTooFarBehind)
	primary := accept(t, primaryListener)
	primary.serve("fresh", "off")
	client.want(client.answer(), "fresh")
	bed.advance(settleDelayMs)
	client.query(writeStatement)
	client.want(primary.serve("again", "off"), "c=write")
	client.want(client.answer(), "again")
	// The router closes idle connections shortly before the endpoints would.
	bed.advance(25000)
	for _, endpoint := range []*peer{replica, primary} {
		if kind, _ := endpoint.message(); kind != 0 {
			t.Errorf("endpoint got a message %q, want its idle connection closed", kind)
		}
	}
}

// Bytes that an endpoint sends after its answer must not be taken for the next
// answer: the connection ends, whether they come with the answer or later.
func TestBytesAfterAnswerEndConnection(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	client := bed.connectClient()
	twice := func(value string) []byte {
		return append(rowAnswer(writeStatement, value, "off"), rowAnswer(writeStatement, value, "off")...)
	}
	for _, late := range []bool{false, true} {
		client.query(writeStatement)
		endpoint := accept(t, listener)
		endpoint.message()
		if late {
			endpoint.write(rowAnswer(writeStatement, "own", "off"))
			client.want(client.answer(), "own")
			bed.advance(settleDelayMs)
			endpoint.write(rowAnswer(writeStatement, "again", "off"))
		} else {
			endpoint.write(twice("own"))
			client.want(client.answer(), "own")
		}
		if kind, _ := endpoint.message(); kind != 0 {
			t.Fatalf("late %v: endpoint got a message %q, want its connection closed", late, kind)
		}
	}
	client.query(writeStatement)
	accept(t, listener).serve("its own", "off")
	client.want(client.answer(), "its own")
}

// An answer that is malformed, or cannot be one to the statement, fails the attempt,
// which may have run, and the connection must be closed.
func TestMalformedAnswersFailAttemptAndEndConnection(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	valid := string(rowAnswer(writeStatement, "value", "off"))
	for _, malformed := range []string{
		"\r\nnoise\r\n\r\n", strings.Repeat("x", 1<<16), "D\xc0\x00\x00\x00", "T\x00\x00\x00\x03",
		strings.Replace(valid, "D\x00\x00\x00\x0f", "d\x00\x00\x00\x0f", 1), // a message of an unknown type
		strings.Replace(valid, "\x00\x00\x00\x05value", "\x00\x00\x00\x04value", 1),
		strings.Replace(valid, "D\x00\x00\x00\x0f\x00\x01\x00\x00\x00\x05", "D\x00\x01\x00\x0f\x00\x01\x00\x00\x00\x05", 1),
		strings.Replace(valid, "INSERT 0 1", "SELECT 1\x00\x00", 1), strings.Replace(valid, "INSERT 0 1", "INSERT 0 2", 1),
		valid[strings.Index(valid, "D\x00"):], valid[strings.Index(valid, "C\x00"):], valid[strings.Index(valid, "Z"):],
		strings.Replace(valid, "Z\x00\x00\x00\x05I", "Z\x00\x00\x00\x05x", 1),
	} {
		client := bed.connectClient()
		client.query(writeStatement)
		endpoint := accept(t, listener)
		endpoint.message()
		endpoint.write([]byte(malformed))
		if kind, _ := endpoint.message(); kind != 0 {
			t.Fatalf("after %.40q the endpoint got a message %q, want its connection closed", malformed, kind)
		}
		_ = client.conn.Close()
		bed.waitUntil(func() bool { return bed.node.router.PendingRequests() == 0 })
		bed.advance(10000) // the endpoint is selected again after this time
	}
}

// A client that sends statements without waiting for answers gets the answers in
// the order of the statements.
func TestPipelinedStatementsAreAnsweredInOrder(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	client := bed.connectClient()
	client.write(wire.AppendQuery(wire.AppendQuery(wire.AppendQuery(nil, []byte(writeStatement)), nil), []byte(writeStatement)))
	endpoint := accept(t, listener)
	endpoint.serve("one", "off")
	client.want(client.answer(), "one")
	client.want(client.answer(), "IZ")
	bed.advance(settleDelayMs)
	endpoint.serve("two", "off")
	client.want(client.answer(), "two")
}

// A reload moves the watch to a new address without a gap: updates from the old
// address apply until the new address has sent a list, and not after.
func TestReloadMovesWatchWithoutGap(t *testing.T) {
	oldEndpoint, newEndpoint, newDiscovery := listen(t), listen(t), listen(t)
	bed := newTestbed(t, 100, endpointEntry("old", oldEndpoint, "off", "ready"))
	oldWatch := acceptWatch(t, bed.discovery)
	whole := `{"index":4,"snapshot":true,"endpoints":[` + endpointEntry("old", oldEndpoint, "off", "ready") + `]}`
	oldWatch.answerWatch("/v1/endpoints", whole)
	config, err := deployconfig.Parse(configuration(newDiscovery, 200), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	bed.node.reload(config)
	newWatch := acceptWatch(t, newDiscovery)
	oldWatch.answerWatch("/v1/endpoints?after=4&wait_ms=3000", `{"index":5,"snapshot":false,"endpoints":[`+
		endpointEntry("old", oldEndpoint, "off", "draining")+","+endpointEntry("new", newEndpoint, "off", "ready")+`]}`)
	// The next request comes once the list is applied: a statement sent sooner may go to the old endpoint.
	if request, err := http.ReadRequest(oldWatch.in); err != nil || request.URL.RawQuery != "after=5&wait_ms=3000" {
		t.Fatalf("discovery got request %v, %v; want after=5&wait_ms=3000", request, err)
	}
	client := bed.connectClient()
	client.query(writeStatement)
	endpoint := accept(t, newEndpoint)
	endpoint.serve("new", "off")
	client.want(client.answer(), "new")
	newWatch.answerWatch("/v1/endpoints", `{"index":6,"snapshot":true,"endpoints":[`+endpointEntry("old", oldEndpoint, "off", "ready")+`]}`)
	if _, err := http.ReadRequest(oldWatch.in); err == nil {
		t.Error("the old address got another request, want its connection closed")
	}
	client.query(writeStatement)
	accept(t, oldEndpoint).serve("old", "off")
	client.want(client.answer(), "old")
	newWatch.answerWatch("/v1/endpoints?after=6&wait_ms=3000", `{"index":6,"snapshot":false,"endpoints":[]}`)
}

// When the endpoint list changes, a draining endpoint gets no new statements, its
// successor does, and the watch continues from the index of the list.
func TestEndpointListUpdatesAreFollowed(t *testing.T) {
	oldEndpoint, newEndpoint := listen(t), listen(t)
	bed := newTestbed(t, 100, endpointEntry("old", oldEndpoint, "off", "ready"))
	watch := acceptWatch(t, bed.discovery)
	answer := watch.answerWatch
	answer("/v1/endpoints", `{"index":4,"snapshot":true,"endpoints":[`+endpointEntry("old", oldEndpoint, "off", "ready")+`]}`)
	client := bed.connectClient()
	client.query(writeStatement)
	endpoint := accept(t, oldEndpoint)
	endpoint.serve("old", "off")
	client.want(client.answer(), "old")
	answer("/v1/endpoints?after=4&wait_ms=3000", `{"index":5,"snapshot":false,"endpoints":[`+
		endpointEntry("old", oldEndpoint, "off", "draining")+","+endpointEntry("new", newEndpoint, "off", "ready")+`]}`)
	answer("/v1/endpoints?after=5&wait_ms=3000", `{"index":5,"snapshot":false,"endpoints":[]}`)
	client.query(writeStatement)
	accept(t, newEndpoint).serve("new", "off")
	client.want(client.answer(), "new")
	bed.advance(settleDelayMs)
	if kind, _ := endpoint.message(); kind != 0 {
		t.Errorf("draining endpoint got a message %q, want its idle connection closed", kind)
	}
}

// After SIGTERM new clients are served during the drain delay, and then rejected;
// pending requests are finished before the router ends.
func TestShutdownFinishesPendingRequests(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	idle := bed.connectClient()
	bed.beginShutdown()
	client := bed.connectClient()
	client.query(writeStatement)
	endpoint := accept(t, listener)
	endpoint.message()
	bed.advance(drainDelayMs + shutdownCheckMs)
	idle.want(idle.answer(), "closed")
	late := bed.dial()
	late.want(late.answer(), "57P03")
	for range 10 { // longer than the router waits for unsent answers
		bed.advance(shutdownCheckMs)
		runtime.Gosched()
	}
	if len(bed.ended) > 0 {
		t.Error("the router ended while a request was pending")
	}
	endpoint.write(rowAnswer(writeStatement, "held", "off"))
	client.want(client.answer(), "held")
	client.want(client.answer(), "closed")
	for {
		select {
		case err := <-bed.ended:
			if err != nil {
				t.Error(err)
			}
			return
		default:
			bed.advance(shutdownCheckMs)
			runtime.Gosched()
		}
	}
}

// Clients beyond their share of the descriptors are rejected with an error.
// Connections without a statement, and those idle for long, are closed first to
// make room.
func TestTooManyClientsAreRejected(t *testing.T) {
	bed := newTestbed(t, 28) // room for 2 clients
	activeClient := func() *peer {
		client := bed.connectClient()
		client.query("SELECT 1")
		client.want(client.answer(), "42601")
		return client
	}
	silent := []*peer{bed.connectClient(), bed.dial()}
	active := []*peer{activeClient(), activeClient()}
	for _, client := range silent {
		client.want(client.answer(), "closed")
	}
	// The client has sent its first statement before it is rejected: closing the
	// socket with unread input would reset it, and the answer would be lost.
	client := bed.dial()
	client.write(wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), []byte(writeStatement)))
	got := client.answer()
	client.want(got, "53300")
	client.want(got, "closed")
	active[1].query("")
	active[1].want(active[1].answer(), "IZ")
	bed.advance(2100)
	activeClient()
	for _, client := range active[:1] {
		client.want(client.answer(), "closed")
	}
}

// Clients that each send one statement and stay connected must not use up the
// clients' share of the descriptors: those idle longest are closed, and none that
// has a pending request.
func TestIdleClientsAreClosedForTheNextRequest(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 60, endpointEntry("p", listener, "off", "ready"))
	var endpoint *peer
	var clients []*peer
	for range 17 { // 20 descriptors are for active clients; above 15 of them an idle client is evicted
		client := bed.connectClient()
		client.query(writeStatement)
		if endpoint == nil {
			endpoint = accept(t, listener)
		}
		endpoint.serve("value", "off")
		client.want(client.answer(), "value")
		clients = append(clients, client)
		bed.advance(settleDelayMs)
	}
	for _, client := range clients[:2] {
		client.want(client.answer(), "closed")
	}
	clients[2].query("")
	clients[2].want(clients[2].answer(), "IZ")
}

// A client without a complete startup or statement is closed within 2 s, and an
// idle one later, while a pending statement may take longer.
func TestIdleClientsAreClosed(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	busy := bed.connectClient()
	busy.query(writeStatement)
	endpoint := accept(t, listener)
	endpoint.message()
	silent, started, idle := bed.dial(), bed.connectClient(), bed.connectClient()
	idle.query("SELECT 1")
	idle.want(idle.answer(), "42601")
	bed.waitUntil(func() bool { clients, _ := bed.node.budget.InUse(); return clients == 4 })
	bed.advance(1990)
	endpoint.write(rowAnswer(writeStatement, "late", "off"))
	busy.want(busy.answer(), "late")
	bed.advance(20)
	silent.want(silent.answer(), "closed")
	started.want(started.answer(), "closed")
	idle.query("")
	idle.want(idle.answer(), "IZ")
	bed.advance(10000)
	idle.want(idle.answer(), "closed")
	busy.want(busy.answer(), "closed")
	bed.advance(1000) // the time to disconnect after the error, which none of them uses
	bed.waitUntil(func() bool { clients, _ := bed.node.budget.InUse(); return clients == 0 })
}

// A statement with the id of a pending request is rejected, as their answers could
// not be told apart. The id is free again once the request has ended.
func TestRequestIDsInUseAreRejected(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	first, second := bed.connectClient(), bed.connectClient()
	first.query(writeStatement)
	endpoint := accept(t, listener)
	endpoint.message()
	second.query(writeStatement)
	second.want(second.answer(), "42601")
	endpoint.write(rowAnswer(writeStatement, "own", "off"))
	first.want(first.answer(), "own")
	bed.advance(settleDelayMs)
	second.query(writeStatement)
	endpoint.serve("next", "off")
	second.want(second.answer(), "next")
}

// A client that keeps sending after an error must not take up the router's time or
// memory: the router closes the connection.
func TestClientThatKeepsSendingAfterErrorIsDisconnected(t *testing.T) {
	bed := newTestbed(t, 100)
	client := bed.connectClient()
	input := append([]byte("Q\x7f\xff\xff\xff"), make([]byte, 1<<16)...)
	for range 1 << 12 { // 256 MiB, more than the system's buffers hold
		if _, err := client.conn.Write(input); err != nil {
			return
		}
	}
	t.Error("the router read 256 MiB, want the connection closed")
}

// An answered request must leave no timer behind: they would fill the memory over
// time.
func TestAnsweredRequestsLeaveNoDeadline(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	client := bed.connectClient()
	var endpoint *peer
	for range 10 {
		client.query(writeStatement)
		if endpoint == nil {
			endpoint = accept(t, listener)
		}
		endpoint.serve("value", "off")
		client.want(client.answer(), "value")
		bed.advance(settleDelayMs)
	}
	// The remaining timers: the client, the endpoint's connection, the decisions, the watch.
	bed.waitUntil(func() bool { return bed.loop.Pending() <= 4 })
}
