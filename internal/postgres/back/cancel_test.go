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

// reportChannels sends the reports to channels.
type reportChannels struct {
	ignoreEvents
	late  chan router.AttemptReport // of cancelled attempts
	ended chan router.AttemptReport
}

func (r reportChannels) AttemptEnded(_ router.AttemptID, report router.AttemptReport) {
	r.ended <- report
}

func (r reportChannels) LateAnswer(endpoint uint32, report router.AttemptReport) {
	report.Row = nil // valid only during the call
	if endpoint == 1 {
		r.late <- report
	}
}

// inFlight is an attempt that its endpoint has received and not answered.
type inFlight struct {
	t        *testing.T
	clock    *clock.Clock
	pool     *Pool
	events   reportChannels
	sent     slotmap.Handle
	endpoint *net.TCPConn // the endpoint's end of the connection
}

// selectStatement returns a statement in which the client's timeout is the first
// byte.
func selectStatement(write bool) router.Statement {
	return router.Statement{Text: []byte("SELECT 1"), WaitTo: 1, Write: write}
}

// sentStatement is the text that an endpoint receives for selectStatement with
// 100 ms left.
const sentStatement = "100ELECT 1"

// newInFlight starts an endpoint, and sends it a read or a write with 100 ms left.
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

// waitUntil blocks until holds, called inside Do, returns true.
func (f *inFlight) waitUntil(holds func() bool) {
	for ok := false; !ok; runtime.Gosched() {
		f.pool.loop.Do(func() { ok = holds() })
	}
}

// openConns returns how many connections count against the descriptor budget. It
// must be called inside Do.
func (f *inFlight) openConns() int {
	_, conns := f.pool.budget.InUse()
	return conns
}

// read reads n bytes from the endpoint's end.
func (f *inFlight) read(n int) {
	f.t.Helper()
	if _, err := io.ReadFull(f.endpoint, make([]byte, n)); err != nil {
		f.t.Fatal(err)
	}
}

// write writes b at the endpoint's end.
func (f *inFlight) write(b []byte) {
	f.t.Helper()
	if _, err := f.endpoint.Write(b); err != nil {
		f.t.Fatal(err)
	}
}

// cancel cancels the attempt and checks that the endpoint receives EOF.
func (f *inFlight) cancel() {
	f.t.Helper()
	f.pool.loop.Do(func() {
		if !f.pool.Cancel(f.sent) {
			f.t.Error("Cancel() = false, want true")
		}
	})
	if n, err := f.endpoint.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		f.t.Fatalf("endpoint read %d bytes, %v, want EOF", n, err)
	}
}

// replicaError returns the answer of a replica that is too far behind, without the
// ReadyForQuery.
func replicaError() []byte {
	return wire.AppendParameterStatus(
		wire.AppendErrorResponse(nil, "ERROR", wire.CodeTooFarBehind, "behind", ""), "recovery", "on")
}

// TestLateAnswerIsReported checks that an answer in transit when its attempt is
// cancelled still reports the role of its endpoint.
func TestLateAnswerIsReported(t *testing.T) {
	f := newInFlight(t, false)
	f.cancel()
	f.write(wire.AppendReadyForQuery(replicaError()))
	report := <-f.events.late
	if report.Outcome != decide.Ineligible || report.Status.Role != decide.RoleReplica {
		t.Errorf("late answer: got %+v, want Ineligible from a replica", report)
	}
	f.waitUntil(func() bool { return f.openConns() == 0 && f.pool.loop.Pending() == 0 })
}

// TestLateAnswerBeforeEOFIsReported checks that a late answer is reported even if
// the endpoint closes the connection before its ReadyForQuery.
func TestLateAnswerBeforeEOFIsReported(t *testing.T) {
	f := newInFlight(t, false)
	f.cancel()
	f.write(replicaError())
	_ = f.endpoint.Close()
	if report := <-f.events.late; report.Status.Role != decide.RoleReplica {
		t.Errorf("late answer: got %+v, want the role of a replica", report)
	}
}

// TestMalformedLateAnswerIsNotReported checks that a malformed late answer closes
// the connection without a report, as the attempt has already ended.
func TestMalformedLateAnswerIsNotReported(t *testing.T) {
	f := newInFlight(t, false)
	f.cancel()
	f.write([]byte("Z\x00\x00\x00\x00"))
	f.waitUntil(func() bool { return f.openConns() == 0 })
	f.pool.loop.Do(func() {
		if len(f.events.late)+len(f.events.ended) > 0 {
			t.Errorf("reported %d late answers and %d ended attempts, want none", len(f.events.late), len(f.events.ended))
		}
	})
}

// TestAttemptBeingWrittenIsCancelledByClose checks that cancelling an attempt that
// may be written in part closes its connection, so that the rest is not written.
func TestAttemptBeingWrittenIsCancelledByClose(t *testing.T) {
	f := newInFlight(t, false)
	f.pool.loop.Do(func() {
		f.pool.jobs.Get(f.sent).writing = true
		f.pool.Cancel(f.sent)
		if f.openConns() != 0 {
			t.Error("connection is open after the cancellation")
		}
	})
}

// TestConnectionOfCancelledAttemptIsClosed checks that the connection of a cancelled
// read is closed after lateAnswerWindowMs or when its descriptor is needed, and that
// of a cancelled write immediately.
func TestConnectionOfCancelledAttemptIsClosed(t *testing.T) {
	f := newInFlight(t, false)
	f.cancel()
	f.clock.Set(f.clock.Now() + lateAnswerWindowMs)
	f.pool.loop.Fire()
	f.pool.loop.Do(func() {
		if f.openConns() != 0 {
			t.Error("read: connection is open after lateAnswerWindowMs")
		}
	})
	f = newInFlight(t, true)
	f.cancel()
	f.pool.loop.Do(func() {
		if f.openConns() != 0 {
			t.Error("write: connection is open after the cancellation")
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
			t.Error("read: connection holds a descriptor that another attempt needs")
		}
	})
}
