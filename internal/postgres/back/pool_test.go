package back

import (
	"runtime"
	"syscall"
	"testing"

	"github.com/cloudwego/netpoll"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/router"
)

// socketPair returns the descriptors of two connected sockets, which are closed at
// the end of the test.
func socketPair(t *testing.T) (near, far int) {
	t.Helper()
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = syscall.Close(pair[0])
		_ = syscall.Close(pair[1])
	})
	return pair[0], pair[1]
}

// TestConnectionThatIsNotQuietIsNotReused checks that no statement is written on an
// idle connection that has unread bytes or that the endpoint has ended: it would
// receive the answer to another statement, or be lost to a reset.
func TestConnectionThatIsNotQuietIsNotReused(t *testing.T) {
	for name, disturb := range map[string]func(far int, near *unpolledConn){
		"unread by the poller": func(far int, _ *unpolledConn) { _, _ = syscall.Write(far, []byte("Z")) },
		"unread by the pool": func(_ int, near *unpolledConn) {
			_, _ = near.in.WriteString("Z")
			_ = near.in.Flush()
		},
		"ended": func(far int, _ *unpolledConn) { _ = syscall.Shutdown(far, syscall.SHUT_WR) },
	} {
		nearFD, far := socketPair(t)
		near := &unpolledConn{fd: nearFD, in: netpoll.NewLinkBuffer()}
		loop := clock.NewLoop(clock.Manual(1000))
		p := New(loop, Options{}, netio.NewDescriptorBudget(100), ignoreEvents{})
		p.SetEndpoint(1, "127.0.0.1:1", true)
		e := p.endpoints[1]
		c := &conn{pool: p, endpoint: e, phase: idle, socket: netio.NewConn(near)}
		c.handle = p.conns.Add(c)
		e.idle = append(e.idle, c)
		if e.takeIdle(p) != c {
			t.Fatal("takeIdle() did not return the quiet connection")
		}
		e.idle = append(e.idle, c)
		if p.beginAnswer(c) == nil { // Quiet does not see bytes removed from the buffer
			t.Error("beginAnswer() = nil on an idle connection, want an error")
		}
		disturb(far, near)
		p.loop.Do(func() { // inside Do, the dial of the new connection cannot be reported as failed
			p.Send(1, router.AttemptID{}, router.Statement{}, 100)
			if c.phase != closed || e.pendingConns != 1 {
				t.Errorf("%s: phase = %d, pendingConns = %d, want the connection closed and a new one pending",
					name, c.phase, e.pendingConns)
			}
		})
	}
}

// recorder records the results of attempts and forbids sending one of them.
type recorder struct {
	ignoreEvents
	forbidden int // number of the attempt that may not be sent
	ended     []router.AttemptID
	outcomes  []decide.Outcome
}

func (r *recorder) MaySend(waited router.AttemptID) bool { return waited.Number != r.forbidden }

func (r *recorder) AttemptEnded(ended router.AttemptID, report router.AttemptReport) {
	r.ended = append(r.ended, ended)
	r.outcomes = append(r.outcomes, report.Outcome)
}

// TestAttemptThatMayNotBeSentIsNotWritten checks that an attempt that may no longer
// be sent when a connection becomes ready ends with NotSent, and that the next
// waiting attempt gets the connection.
func TestAttemptThatMayNotBeSentIsNotWritten(t *testing.T) {
	near, _ := socketPair(t)
	events := &recorder{forbidden: 1}
	p := New(clock.NewLoop(clock.Manual(1000)), Options{}, netio.NewDescriptorBudget(100), events)
	p.SetEndpoint(1, "127.0.0.1:1", true)
	e := p.endpoints[1]
	c := &conn{pool: p, endpoint: e, address: e.address, phase: opening}
	c.socket = netio.NewConn(&unpolledConn{fd: near, in: netpoll.NewLinkBuffer()})
	p.loop.Do(func() {
		c.handle = p.conns.Add(c)
		e.pendingConns = 9 // so that nothing is dialled for the waiting attempts
		for number := 1; number <= 2; number++ {
			text := []byte{'a' + byte(number)}
			p.Send(1, router.AttemptID{Number: number}, router.Statement{Text: text, WaitTo: 1}, 100)
		}
		p.ready(c)
		if c.job == nil || c.job.attempt.Number != 2 {
			t.Errorf("job of the connection: got %+v, want the second attempt", c.job)
		}
		if len(e.waiting) > 0 || e.pendingConns != 8 {
			t.Errorf("%d attempts waiting, pendingConns = %d, want 0 and 8", len(e.waiting), e.pendingConns)
		}
		if len(events.ended) != 1 || events.ended[0].Number != 1 || events.outcomes[0] != decide.NotSent {
			t.Errorf("ended attempts: got %+v with %v, want the first with NotSent", events.ended, events.outcomes)
		}
	})
	for written := false; !written; runtime.Gosched() {
		p.loop.Do(func() { written = !c.job.writing })
	}
}
