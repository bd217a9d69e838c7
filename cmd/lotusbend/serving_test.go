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
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	both := wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), []byte(write))
	var h *peer
	for _, size := range []int{len(both), 1} {
		p := bed.dial()
		p.write([]byte{0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f}) // SSLRequest
		if no, _ := p.in.ReadByte(); no != 'N' {
			t.Fatalf("answer to SSLRequest = %q, want N", no)
		}
		for chunk := range slices.Chunk(both, size) {
			p.write(chunk)
		}
		p.want(p.answer(), "RKZ")
		if h == nil {
			h = accept(t, l)
		}
		if got := h.serve("value", "off"); got != write {
			t.Fatalf("endpoint got %q, want the statement unchanged", got)
		}
		p.want(p.answer(), "TDCZ")
		bed.advance(settleDelayMs)
	}
}

// A statement that is not sent to any endpoint must leave the client's connection
// usable.
func TestInvalidStatementsReachNoEndpoint(t *testing.T) {
	bed := newTestbed(t, 100)
	p := bed.client()
	for sql, want := range map[string]string{
		"": "IZ", " ; ": "IZ", "SELECT 1": "42601", "SELECT 1 /* id=1,c=view,d=x,cluster=1 */": "42601",
		"SELECT 1 /* id=1,c=what,d=9,cluster=1 */": "unknown class", "SELECT 1 /* id=1,c=view,d=9 */": "42601",
		"SELECT 1 /* id=1,c=write,d=9,k=1,cluster=1 */": "not of its class",
		"INSERT 1 /* id=1,c=view,d=9,cluster=1 */":      "not of its class",
		"INSERT 1 /* id=1,c=write,d=9,cluster=1 */":     "idempotency key",
	} {
		p.query(sql)
		p.want(p.answer(), want)
	}
	p.write([]byte("P\x00\x00\x00\x08\x00\x00\x00\x00S\x00\x00\x00\x04")) // Parse and Sync
	p.want(p.answer(), "0A000")
	p.query("")
	p.want(p.answer(), "IZ")
}

// A message with a false length must end its own connection only.
func TestMalformedMessagesEndOnlyTheirConnection(t *testing.T) {
	bed := newTestbed(t, 100)
	good := bed.client()
	for _, b := range []string{"Q\xff\xff\xff\xff", "Q\x00\x00\x00\x00"} {
		p := bed.client()
		p.write([]byte(b))
		p.want(p.answer(), "08P01")
	}
	for _, b := range []string{"\x00\x00\x00\x00", "\x7f\xff\xff\xff", "\x00\x00\x00\x08\x00\x01\x00\x00"} {
		p := bed.dial()
		p.write([]byte(b))
		p.want(p.answer(), "closed")
	}
	good.query("")
	good.want(good.answer(), "IZ")
}

// A statement whose connection was refused has not run. The router holds the write,
// and rejects it with a time to retry after half of its deadline.
func TestRefusedConnectionHasNoEffect(t *testing.T) {
	bed := newTestbed(t, 100, endpoint("p", reservePort(t), "off", "ready"))
	p := bed.client()
	p.query(write)
	bed.waitUntil(func() bool { return bed.node.router.PendingRequests() == 1 })
	got := bed.advanceToAnswer(p)
	p.want(got, "C53300")
	p.want(got, "D1000")
}

// If the connection breaks after the statement is written, the statement may have
// run: a write must not be reported as rejected, after which the client may send
// it again elsewhere.
func TestConnectionBrokenAfterTheLastByteMayHaveExecuted(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	p := bed.client()
	p.query(write)
	h := accept(t, l)
	h.message()
	_ = h.c.Close()
	bed.waitUntil(func() bool { _, hosts := bed.node.budget.InUse(); return hosts == 0 })
	p.want(bed.advanceToAnswer(p), "57014")
}

// At the deadline the router closes the attempt's connection and answers the
// client; a late answer of the endpoint must not reach the client.
func TestDeadlineEndsTheAttempt(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	p := bed.client()
	p.query(write)
	h := accept(t, l)
	h.message()
	bed.advance(2000)
	p.want(p.answer(), "57014")
	if kind, _ := h.message(); kind != 0 {
		t.Errorf("endpoint got a message %q, want its connection closed", kind)
	}
	p.query("")
	p.want(p.answer(), "IZ")
}

// When a client disconnects, the connection of its attempt must be closed, which
// cancels the work at the endpoint.
func TestDisconnectedClientCancelsItsAttempt(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	p := bed.client()
	p.query(write)
	h := accept(t, l)
	h.message()
	_ = p.c.Close()
	if kind, _ := h.message(); kind != 0 {
		t.Errorf("endpoint got a message %q, want its connection closed", kind)
	}
}

// A read that a replica rejects as too far behind is retried at the primary. Both
// connections stay open and are used again, until they are idle for too long.
func TestIneligibleAnswerIsRetriedElsewhereAndConnectionsAreReused(t *testing.T) {
	primary, replica := listen(t), listen(t)
	bed := newTestbed(t, 100, endpoint("p", primary, "off", "ready"), endpoint("r", replica, "on", "ready"))
	p := bed.client()
	p.query(view)
	r := accept(t, replica)
	r.refuse(wire.CodeTooFarBehind)
	h := accept(t, primary)
	h.serve("fresh", "off")
	p.want(p.answer(), "fresh")
	bed.advance(settleDelayMs)
	p.query(write)
	p.want(h.serve("again", "off"), "c=write")
	p.want(p.answer(), "again")
	// The router closes idle connections shortly before the endpoints would.
	bed.advance(25000)
	for _, c := range []*peer{r, h} {
		if kind, _ := c.message(); kind != 0 {
			t.Errorf("endpoint got a message %q, want its idle connection closed", kind)
		}
	}
}

// Bytes that an endpoint sends after its answer must not be taken for the next
// answer: the connection ends, whether they come with the answer or later.
func TestBytesAfterAnswerEndConnection(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	p := bed.client()
	twice := func(value string) []byte {
		return append(rowAnswer(write, value, "off"), rowAnswer(write, value, "off")...)
	}
	for _, late := range []bool{false, true} {
		p.query(write)
		h := accept(t, l)
		h.message()
		if late {
			h.write(rowAnswer(write, "own", "off"))
			p.want(p.answer(), "own")
			bed.advance(settleDelayMs)
			h.write(rowAnswer(write, "again", "off"))
		} else {
			h.write(twice("own"))
			p.want(p.answer(), "own")
		}
		if kind, _ := h.message(); kind != 0 {
			t.Fatalf("late %v: endpoint got a message %q, want its connection closed", late, kind)
		}
	}
	p.query(write)
	accept(t, l).serve("its own", "off")
	p.want(p.answer(), "its own")
}

// An answer that is malformed, or cannot be one to the statement, fails the attempt,
// which may have run, and the connection must be closed.
func TestMalformedAnswersFailAttemptAndEndConnection(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	good := string(rowAnswer(write, "value", "off"))
	for _, spoilt := range []string{
		"\r\nnoise\r\n\r\n", strings.Repeat("x", 1<<16), "D\xc0\x00\x00\x00", "T\x00\x00\x00\x03",
		strings.Replace(good, "D\x00\x00\x00\x0f", "d\x00\x00\x00\x0f", 1), // a message of an unknown type
		strings.Replace(good, "\x00\x00\x00\x05value", "\x00\x00\x00\x04value", 1),
		strings.Replace(good, "D\x00\x00\x00\x0f\x00\x01\x00\x00\x00\x05", "D\x00\x01\x00\x0f\x00\x01\x00\x00\x00\x05", 1),
		strings.Replace(good, "INSERT 0 1", "SELECT 1\x00\x00", 1), strings.Replace(good, "INSERT 0 1", "INSERT 0 2", 1),
		good[strings.Index(good, "D\x00"):], good[strings.Index(good, "C\x00"):], good[strings.Index(good, "Z"):],
		strings.Replace(good, "Z\x00\x00\x00\x05I", "Z\x00\x00\x00\x05x", 1),
	} {
		p := bed.client()
		p.query(write)
		h := accept(t, l)
		h.message()
		h.write([]byte(spoilt))
		if kind, _ := h.message(); kind != 0 {
			t.Fatalf("after %.40q the endpoint got a message %q, want its connection closed", spoilt, kind)
		}
		_ = p.c.Close()
		bed.waitUntil(func() bool { return bed.node.router.PendingRequests() == 0 })
		bed.advance(10000) // the endpoint is selected again after this time
	}
}

// A client that sends statements without waiting for answers gets the answers in
// the order of the statements.
func TestPipelinedStatementsAreAnsweredInOrder(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	p := bed.client()
	p.write(wire.AppendQuery(wire.AppendQuery(wire.AppendQuery(nil, []byte(write)), nil), []byte(write)))
	h := accept(t, l)
	h.serve("one", "off")
	p.want(p.answer(), "one")
	p.want(p.answer(), "IZ")
	bed.advance(settleDelayMs)
	h.serve("two", "off")
	p.want(p.answer(), "two")
}

// A reload moves the watch to a new address without a gap: updates from the old
// address apply until the new address has sent a list, and not after.
func TestReloadMovesWatchWithoutGap(t *testing.T) {
	old, fresh, moved := listen(t), listen(t), listen(t)
	bed := newTestbed(t, 100, endpoint("old", old, "off", "ready"))
	before := acceptWatch(t, bed.discovery)
	whole := `{"index":4,"snapshot":true,"endpoints":[` + endpoint("old", old, "off", "ready") + `]}`
	before.answerWatch("/v1/endpoints", whole)
	c, err := deployconfig.Parse(configuration(moved, 200), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	bed.node.reload(c)
	after := acceptWatch(t, moved)
	before.answerWatch("/v1/endpoints?after=4&wait_ms=3000", `{"index":5,"snapshot":false,"endpoints":[`+
		endpoint("old", old, "off", "draining")+","+endpoint("new", fresh, "off", "ready")+`]}`)
	// The next request comes once the list is applied: a statement sent sooner may go to the old endpoint.
	if r, err := http.ReadRequest(before.in); err != nil || r.URL.RawQuery != "after=5&wait_ms=3000" {
		t.Fatalf("discovery got request %v, %v; want after=5&wait_ms=3000", r, err)
	}
	p := bed.client()
	p.query(write)
	h := accept(t, fresh)
	h.serve("new", "off")
	p.want(p.answer(), "new")
	after.answerWatch("/v1/endpoints", `{"index":6,"snapshot":true,"endpoints":[`+endpoint("old", old, "off", "ready")+`]}`)
	if _, err := http.ReadRequest(before.in); err == nil {
		t.Error("the old address got another request, want its connection closed")
	}
	p.query(write)
	accept(t, old).serve("old", "off")
	p.want(p.answer(), "old")
	after.answerWatch("/v1/endpoints?after=6&wait_ms=3000", `{"index":6,"snapshot":false,"endpoints":[]}`)
}

// When the endpoint list changes, a draining endpoint gets no new statements, its
// successor does, and the watch continues from the index of the list.
func TestEndpointListUpdatesAreFollowed(t *testing.T) {
	old, fresh := listen(t), listen(t)
	bed := newTestbed(t, 100, endpoint("old", old, "off", "ready"))
	d := acceptWatch(t, bed.discovery)
	answer := d.answerWatch
	answer("/v1/endpoints", `{"index":4,"snapshot":true,"endpoints":[`+endpoint("old", old, "off", "ready")+`]}`)
	p := bed.client()
	p.query(write)
	h := accept(t, old)
	h.serve("old", "off")
	p.want(p.answer(), "old")
	answer("/v1/endpoints?after=4&wait_ms=3000", `{"index":5,"snapshot":false,"endpoints":[`+
		endpoint("old", old, "off", "draining")+","+endpoint("new", fresh, "off", "ready")+`]}`)
	answer("/v1/endpoints?after=5&wait_ms=3000", `{"index":5,"snapshot":false,"endpoints":[]}`)
	p.query(write)
	accept(t, fresh).serve("new", "off")
	p.want(p.answer(), "new")
	bed.advance(settleDelayMs)
	if kind, _ := h.message(); kind != 0 {
		t.Errorf("draining endpoint got a message %q, want its idle connection closed", kind)
	}
}

// After SIGTERM new clients are served during the drain delay, and then rejected;
// pending requests are finished before the router ends.
func TestShutdownFinishesPendingRequests(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	idle := bed.client()
	bed.beginShutdown()
	p := bed.client()
	p.query(write)
	h := accept(t, l)
	h.message()
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
	h.write(rowAnswer(write, "held", "off"))
	p.want(p.answer(), "held")
	p.want(p.answer(), "closed")
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
	bed := newTestbed(t, 28)
	ask := func() *peer {
		p := bed.client()
		p.query("SELECT 1")
		p.want(p.answer(), "42601")
		return p
	}
	silent := []*peer{bed.client(), bed.dial()}
	held := []*peer{ask(), ask()}
	for _, p := range silent {
		p.want(p.answer(), "closed")
	}
	// The client has sent its first statement before it is rejected: closing the
	// socket with unread input would reset it, and the answer would be lost.
	p := bed.dial()
	p.write(wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), []byte(write)))
	got := p.answer()
	p.want(got, "53300")
	p.want(got, "closed")
	held[1].query("")
	held[1].want(held[1].answer(), "IZ")
	bed.advance(2100)
	ask()
	for _, p := range held[:1] {
		p.want(p.answer(), "closed")
	}
}

// Clients that each send one statement and stay connected must not use up the
// clients' share of the descriptors: those idle longest are closed, and none that
// has a pending request.
func TestIdleClientsAreClosedForTheNextRequest(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 60, endpoint("p", l, "off", "ready"))
	var h *peer
	var clients []*peer
	for range 17 { // of 20 descriptors
		p := bed.client()
		p.query(write)
		if h == nil {
			h = accept(t, l)
		}
		h.serve("value", "off")
		p.want(p.answer(), "value")
		clients = append(clients, p)
		bed.advance(settleDelayMs)
	}
	for _, p := range clients[:2] {
		p.want(p.answer(), "closed")
	}
	clients[2].query("")
	clients[2].want(clients[2].answer(), "IZ")
}

// A client without a complete startup or statement is closed within 2 s, and an
// idle one later, while a pending statement may take longer.
func TestIdleClientsAreClosed(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	busy := bed.client()
	busy.query(write)
	h := accept(t, l)
	h.message()
	nothing, begun, idle := bed.dial(), bed.client(), bed.client()
	idle.query("SELECT 1")
	idle.want(idle.answer(), "42601")
	bed.waitUntil(func() bool { clients, _ := bed.node.budget.InUse(); return clients == 4 })
	bed.advance(1990)
	h.write(rowAnswer(write, "late", "off"))
	busy.want(busy.answer(), "late")
	bed.advance(20)
	nothing.want(nothing.answer(), "closed")
	begun.want(begun.answer(), "closed")
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
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	first, second := bed.client(), bed.client()
	first.query(write)
	h := accept(t, l)
	h.message()
	second.query(write)
	second.want(second.answer(), "42601")
	h.write(rowAnswer(write, "own", "off"))
	first.want(first.answer(), "own")
	bed.advance(settleDelayMs)
	second.query(write)
	h.serve("next", "off")
	second.want(second.answer(), "next")
}

// A client that keeps sending after an error must not take up the router's time or
// memory: the router closes the connection.
func TestClientThatKeepsSendingAfterErrorIsDisconnected(t *testing.T) {
	bed := newTestbed(t, 100)
	p := bed.client()
	b := append([]byte("Q\x7f\xff\xff\xff"), make([]byte, 1<<16)...)
	for range 1 << 12 { // 256 MiB, more than the system's buffers hold
		if _, err := p.c.Write(b); err != nil {
			return
		}
	}
	t.Error("the router read 256 MiB, want the connection closed")
}

// An answered request must leave no timer behind: they would fill the memory over
// time.
func TestAnsweredRequestsLeaveNoDeadline(t *testing.T) {
	l := listen(t)
	bed := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	p := bed.client()
	var h *peer
	for range 10 {
		p.query(write)
		if h == nil {
			h = accept(t, l)
		}
		h.serve("value", "off")
		p.want(p.answer(), "value")
		bed.advance(settleDelayMs)
	}
	// The remaining timers: the client, the endpoint's connection, the decisions, the watch.
	bed.waitUntil(func() bool { return bed.loop.Pending() <= 4 })
}
