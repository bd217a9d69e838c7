package back

import (
	"errors"
	"io"
	"net"
	"testing"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
)

// outcomes sends the outcomes of attempts to a channel.
type outcomes struct {
	ignoreEvents
	ended chan decide.Outcome
}

func (o outcomes) AttemptEnded(_ router.AttemptID, report router.AttemptReport) {
	o.ended <- report.Outcome
}

// TestTruncatedAnswerCountsOnlyIfComplete truncates an answer after each of its
// bytes, by EOF and by reset. The answer must count once all its messages before
// ReadyForQuery have arrived; before that the outcome must be Reset, as the
// statement may have been executed. A reset may also discard received bytes.
func TestTruncatedAnswerCountsOnlyIfComplete(t *testing.T) {
	served := wire.AppendRowDescription(nil, wire.Column{Name: []byte("doc"), Type: 17, Size: -1, Binary: true})
	served = wire.AppendDataRow(served, []byte("value"))
	served = wire.AppendCommandComplete(served, []byte("SELECT 1"))
	rejected := wire.AppendErrorResponse(nil, "ERROR", wire.CodeTooManyConnections, "no", "")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	for name, c := range map[string]struct {
		answer  []byte
		outcome decide.Outcome
	}{
		"served":   {served, decide.OK},
		"rejected": {rejected, decide.Overloaded},
	} {
		whole := wire.AppendReadyForQuery(wire.AppendParameterStatus(c.answer, "recovery", "off"))
		for _, reset := range []bool{false, true} {
			for cut := range len(whole) + 1 {
				got := outcomeOfAnswer(t, listener, whole[:cut], reset)
				complete := cut >= len(c.answer)
				lost := reset && got == decide.Reset
				if complete && got != c.outcome && !lost || !complete && got != decide.Reset {
					t.Errorf("%s truncated after %d of %d bytes, reset = %v: got outcome %v, want %v if complete (%v), otherwise %v",
						name, cut, len(whole), reset, got, c.outcome, complete, decide.Reset)
				}
			}
		}
	}
}

// outcomeOfAnswer returns the outcome of an attempt whose endpoint sends answer and
// then ends the connection, by a reset or by EOF.
func outcomeOfAnswer(t *testing.T, listener net.Listener, answer []byte, reset bool) decide.Outcome {
	t.Helper()
	events := outcomes{ended: make(chan decide.Outcome, 1)}
	p := New(clock.NewLoop(clock.Manual(1000)), Options{}, netio.NewDescriptorBudget(100), events)
	p.loop.Do(func() {
		p.SetEndpoint(1, listener.Addr().String(), true)
		p.Send(1, router.AttemptID{}, selectStatement(false), 100)
	})
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	endpoint := accepted.(*net.TCPConn)
	read := func(n int) {
		if _, err := io.ReadFull(endpoint, make([]byte, n)); err != nil {
			t.Fatal(err)
		}
	}
	write := func(b []byte) {
		if _, err := endpoint.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	read(len(wire.AppendStartup(nil, user, database)))
	write(wire.AppendReadyForQuery(wire.AppendAuthenticationOk(nil)))
	read(len(wire.AppendQuery(nil, []byte(sentStatement))))
	write(answer)
	if reset {
		err = endpoint.SetLinger(0)
	}
	if err := errors.Join(err, endpoint.Close()); err != nil {
		t.Fatal(err)
	}
	return <-events.ended
}
