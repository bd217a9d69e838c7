package back

import (
	"io"
	"net"
	"runtime"
	"testing"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// reportChannels passes reports on.
type reportChannels struct {
	ignoreEvents
	late  chan router.AttemptReport // of cancelled attempts
	ended chan router.AttemptReport
}

func (r reportChannels) AttemptEnded(_ router.AttemptID, report router.AttemptReport) {
	r.ended <- report
}

func (r reportChannels) LateAnswer(endpoint uint32, report router.AttemptReport) {
	report.Row = nil // valid during the call only
	if endpoint == 1 {
		r.late <- report
	}
}

// inFlight is an attempt that its endpoint has read and not answered.
type inFlight struct {
	t        *testing.T
	clock    *clock.Clock
	pool     *Pool
	events   reportChannels
	sent     slotmap.Handle
	endpoint *net.TCPConn // the endpoint's end of the connection
}

// selectStatement is a statement whose wait is its first byte.
func selectStatement(write bool) router.Statement {
	return router.Statement{Text: []byte("SELECT 1"), WaitTo: 1, Write: write}
}

// sentStatement is what an endpoint receives of it, 100 ms before its deadline.
const sentStatement = "100ELECT 1"

func newInFlight(t *testing.T, write bool) *inFlight {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &inFlight{
		t:     t,
		clock: clock.Manual(1000),
		events: reportChannels{
			late:  make(chan router.AttemptReport, 9),
			ended: make(chan router.AttemptReport, 9),
		},
	}
	f.pool = New(clock.NewLoop(f.clock), Options{}, netio.NewDescriptorBudget(100), f.events)
	f.pool.loop.Do(func() {
		f.pool.SetEndpoint(1, listener.Addr().String(), true)
		f.sent = f.pool.Send(1, router.AttemptID{}, selectStatement(write), 100)
	})
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	f.endpoint = accepted.(*net.TCPConn)
	t.Cleanup(func() {
		_ = f.endpoint.Close()
		_ = listener.Close()
	})
	f.read(len(wire.AppendStartup(nil, user, database)))
	f.write(wire.AppendReadyForQuery(wire.AppendAuthenticationOk(nil)))
	f.read(len(wire.AppendQuery(nil, []byte(sentStatement))))
	f.waitUntil(func() bool {
		j := f.pool.jobs.Get(f.sent)
		return j != nil && !j.writing
	})
	return f
}

func (f *inFlight) waitUntil(holds func() bool) {
	for ok := false; !ok; runtime.Gosched() {
		f.pool.loop.Do(func() { ok = holds() })
	}
}

// openConns returns how many connections are counted. It runs inside Do.
func (f *inFlight) openConns() int {
	_, conns := f.pool.budget.Open()
	return conns
}

func (f *inFlight) read(n int) {
	f.t.Helper()
	if _, err := io.ReadFull(f.endpoint, make([]byte, n)); err != nil {
		f.t.Fatal(err)
	}
}

func (f *inFlight) write(b []byte) {
	f.t.Helper()
	if _, err := f.endpoint.Write(b); err != nil {
		f.t.Fatal(err)
	}
}

// cancel cancels the attempt; the endpoint sees the end of the connection.
func (f *inFlight) cancel() {
	f.t.Helper()
	f.pool.loop.Do(func() {
		if !f.pool.Cancel(f.sent) {
			f.t.Error("reported not to have begun")
		}
	})
	if n, err := f.endpoint.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		f.t.Fatalf("the endpoint reads %d bytes, %v; want EOF", n, err)
	}
}

// replicaError is an answer of a replica that is too far behind, up to its
// ReadyForQuery.
func replicaError() []byte {
	return wire.AppendParameterStatus(
		wire.AppendErrorResponse(nil, "ERROR", wire.CodeTooFarBehind, "behind", ""), "recovery", "on")
}

// An answer that was on its way when its attempt was cancelled still reports its
// endpoint's role.
func TestLateAnswerIsReported(t *testing.T) {
	f := newInFlight(t, false)
	f.cancel()
	f.write(wire.AppendReadyForQuery(replicaError()))
	report := <-f.events.late
	if report.Outcome != decide.Ineligible || report.Status.Role != decide.RoleReplica {
		t.Errorf("reported %+v", report)
	}
	f.waitUntil(func() bool { return f.openConns() == 0 && f.pool.loop.Pending() == 0 })
}

// The endpoint may end its connection right behind the answer's last message.
func TestLateAnswerBeforeEOFIsReported(t *testing.T) {
	f := newInFlight(t, false)
	f.cancel()
	f.write(replicaError())
	_ = f.endpoint.Close()
	if report := <-f.events.late; report.Status.Role != decide.RoleReplica {
		t.Errorf("reported %+v", report)
	}
}

// A malformed late answer ends its connection and is not reported: the attempt
// has ended already.
func TestMalformedLateAnswerIsNotReported(t *testing.T) {
	f := newInFlight(t, false)
	f.cancel()
	f.write([]byte("Z\x00\x00\x00\x00"))
	f.waitUntil(func() bool { return f.openConns() == 0 })
	f.pool.loop.Do(func() {
		if len(f.events.late)+len(f.events.ended) > 0 {
			t.Errorf("%d late answers, %d ends", len(f.events.late), len(f.events.ended))
		}
	})
}

// An attempt that may not be written whole is cancelled by closing its
// connection: the rest must not be written.
func TestAttemptBeingWrittenIsCancelledByClose(t *testing.T) {
	f := newInFlight(t, false)
	f.pool.loop.Do(func() {
		f.pool.jobs.Get(f.sent).writing = true
		f.pool.Cancel(f.sent)
		if f.openConns() != 0 {
			t.Error("its connection is still read")
		}
	})
}

// A late answer is awaited no longer than its window, not at all for a write,
// and not where the descriptor is needed.
func TestConnectionOfCancelledAttemptIsClosedSoon(t *testing.T) {
	f := newInFlight(t, false)
	f.cancel()
	f.clock.Set(f.clock.Now() + lateAnswerWindow)
	f.pool.loop.Fire()
	f.pool.loop.Do(func() {
		if f.openConns() != 0 {
			t.Error("open after the window for its answer")
		}
	})
	f = newInFlight(t, true)
	f.cancel()
	f.pool.loop.Do(func() {
		if f.openConns() != 0 {
			t.Error("a write's connection is still read")
		}
	})
	f = newInFlight(t, false)
	f.cancel()
	f.pool.loop.Do(func() {
		for f.pool.budget.AcquireEndpoint() {
		}
		f.pool.Send(1, router.AttemptID{}, selectStatement(false), 100)
		dialling := 0
		f.pool.conns.Each(func(_ slotmap.Handle, c *conn) {
			if c.phase == opening {
				dialling++
			}
		})
		if dialling != 1 {
			t.Error("it occupies a descriptor that is needed")
		}
	})
}
