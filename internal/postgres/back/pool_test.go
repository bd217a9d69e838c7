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

// socketPair returns both ends of a connection, for the test's duration.
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

// A statement is not written on a connection on which the endpoint has sent
// anything or that it has ended: it would get another's answer, or be lost to a
// reset.
func TestConnectionThatIsNotQuietIsNotUsed(t *testing.T) {
	for name, disturb := range map[string]func(far int, near *unpolled){
		"unread by the poller": func(far int, _ *unpolled) { _, _ = syscall.Write(far, []byte("Z")) },
		"unread by the pool": func(_ int, near *unpolled) {
			_, _ = near.in.WriteString("Z")
			_ = near.in.Flush()
		},
		"ended": func(far int, _ *unpolled) { _ = syscall.Shutdown(far, syscall.SHUT_WR) },
	} {
		nearFD, far := socketPair(t)
		near := &unpolled{fd: nearFD, in: netpoll.NewLinkBuffer()}
		loop := clock.NewLoop(clock.Manual(1000))
		p := New(loop, Options{}, netio.NewDescriptorBudget(100), ignoreEvents{})
		p.SetEndpoint(1, "127.0.0.1:1", true)
		e := p.endpoints[1]
		c := &conn{pool: p, endpoint: e, phase: idle, socket: netio.NewConn(near)}
		c.handle = p.conns.Add(c)
		e.idle = append(e.idle, c)
		if e.takeIdle(p) != c {
			t.Fatal("a quiet connection is not used")
		}
		e.idle = append(e.idle, c)
		if p.beginAnswer(c) == nil { // what is taken off the buffer there, Quiet cannot see
			t.Error("an answer may begin on an idle connection")
		}
		disturb(far, near)
		p.loop.Do(func() { // checked before the new connection is refused
			p.Send(1, router.AttemptID{}, router.Statement{}, 100)
			if c.phase != closed || e.pendingConns != 1 {
				t.Errorf("%s: phase %d, %d connections pending, want a new one instead", name, c.phase, e.pendingConns)
			}
		})
	}
}

// recorder records the ends of attempts; one of them may not be sent.
type recorder struct {
	ignoreEvents
	forbidden int // the number of the attempt that may not be sent
	ended     []router.AttemptID
	outcomes  []decide.Outcome
}

func (r *recorder) MaySend(waited router.AttemptID) bool { return waited.Number != r.forbidden }

func (r *recorder) AttemptEnded(ended router.AttemptID, report router.AttemptReport) {
	r.ended = append(r.ended, ended)
	r.outcomes = append(r.outcomes, report.Outcome)
}

// An attempt that may no longer be sent when its connection becomes ready is not
// written, and ends as not sent. The next one gets the connection.
func TestAttemptThatMayNotBeSentIsNotWritten(t *testing.T) {
	near, _ := socketPair(t)
	events := &recorder{forbidden: 1}
	p := New(clock.NewLoop(clock.Manual(1000)), Options{}, netio.NewDescriptorBudget(100), events)
	p.SetEndpoint(1, "127.0.0.1:1", true)
	e := p.endpoints[1]
	c := &conn{pool: p, endpoint: e, address: e.address, phase: opening}
	c.socket = netio.NewConn(&unpolled{fd: near, in: netpoll.NewLinkBuffer()})
	p.loop.Do(func() {
		c.handle = p.conns.Add(c)
		e.pendingConns = 9 // nothing is dialled for the attempts that wait
		for number := 1; number <= 2; number++ {
			text := []byte{'a' + byte(number)}
			p.Send(1, router.AttemptID{Number: number}, router.Statement{Text: text, WaitTo: 1}, 100)
		}
		p.ready(c)
		if c.job == nil || c.job.attempt.Number != 2 {
			t.Errorf("job %+v, want the second attempt", c.job)
		}
		if len(e.waiting) > 0 || e.pendingConns != 8 {
			t.Errorf("%d attempts wait, %d connections pending", len(e.waiting), e.pendingConns)
		}
		if len(events.ended) != 1 || events.ended[0].Number != 1 || events.outcomes[0] != decide.NotSent {
			t.Errorf("ended %+v as %v", events.ended, events.outcomes)
		}
	})
	for written := false; !written; runtime.Gosched() {
		p.loop.Do(func() { written = !c.job.writing })
	}
}
