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

// outcomes takes what becomes of attempts.
type outcomes chan decide.Outcome

func (outcomes) MaySend(router.Attempt) bool                             { return true }
func (outcomes) LateAnswer(uint32, router.AttemptReport)                 {}
func (outcomes) HealthChecked(uint32, router.AttemptReport)              {}
func (o outcomes) AttemptEnded(_ router.Attempt, r router.AttemptReport) { o <- r.Outcome }

// An answer may be cut after any of its bytes, by an end or a reset. It counts
// once its last message but ReadyForQuery is whole; before that the attempt may
// have run, whatever the bytes look like. A reset may take with it what had come.
func TestAnswerCutAnywhere(t *testing.T) {
	served := wire.AppendRowDescription(nil, wire.Column{Name: []byte("doc"), Type: 17, Size: -1, Binary: true})
	served = wire.AppendDataRow(served, []byte("value"))
	served = wire.AppendComplete(served, []byte("SELECT 1"))
	refused := wire.AppendError(nil, "ERROR", wire.CodeTooManyConnections, "no", "")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	for name, c := range map[string]struct {
		answer []byte
		counts decide.Outcome
	}{"served": {served, decide.OK}, "refused": {refused, decide.Overloaded}} {
		whole := wire.AppendReady(wire.AppendParameter(c.answer, "recovery", "off"))
		for _, reset := range []bool{false, true} {
			for cut := range len(whole) + 1 {
				ended := make(outcomes, 1)
				p := New(clock.NewLoop(clock.Manual(1000)), Options{}, netio.NewDescriptorBudget(100), ended)
				p.loop.Do(func() {
					p.SetHost(1, l.Addr().String(), true)
					p.Send(1, router.Attempt{}, router.Statement{Text: []byte("SELECT 1"), WaitTo: 1}, 100)
				})
				host, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				h := host.(*net.TCPConn)
				read := func(n int) {
					if _, err := io.ReadFull(h, make([]byte, n)); err != nil {
						t.Fatal(err)
					}
				}
				write := func(b []byte) {
					if _, err := h.Write(b); err != nil {
						t.Fatal(err)
					}
				}
				read(len(wire.AppendStartup(nil, user, database)))
				write(wire.AppendReady(wire.AppendAuthenticationOk(nil)))
				read(len(wire.AppendQuery(nil, []byte("100ELECT 1")))) // the wait takes the place of the digit
				write(whole[:cut])
				if reset {
					err = h.SetLinger(0)
				}
				if err := errors.Join(err, h.Close()); err != nil {
					t.Fatal(err)
				}
				got := <-ended
				counts := cut >= len(c.answer)
				if counts && got != c.counts && !(reset && got == decide.Reset) || !counts && got != decide.Reset {
					t.Errorf("%s, cut after %d of %d bytes, reset %v: %v", name, cut, len(whole), reset, got)
				}
			}
		}
	}
}
