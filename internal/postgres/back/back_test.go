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

// link is a connection that no poller reads.
type link struct {
	netpoll.Connection
	fd int
	in *netpoll.LinkBuffer
}

func (l *link) Fd() int                     { return l.fd }
func (l *link) Reader() netpoll.Reader      { return l.in }
func (l *link) Close() error                { return nil }
func (l *link) Write(b []byte) (int, error) { return syscall.Write(l.fd, b) }

// noEvents hears of nothing.
type noEvents struct{}

func (noEvents) MaySend(router.Attempt) bool                       { return true }
func (noEvents) AttemptEnded(router.Attempt, router.AttemptReport) {}
func (noEvents) LateAnswer(uint32, router.AttemptReport)           {}
func (noEvents) HealthChecked(uint32, router.AttemptReport)        {}

// A statement is not written where the host has spoken unasked or hung up: it
// would get another's answer, or be lost to a reset.
func TestSpokenOnConnectionIsNotUsed(t *testing.T) {
	for name, speak := range map[string]func(far int, l *link){
		"unread by the poller": func(far int, _ *link) { _, _ = syscall.Write(far, []byte("Z")) },
		"unread by us":         func(_ int, l *link) { _, _ = l.in.WriteString("Z"); _ = l.in.Flush() },
		"ended":                func(far int, _ *link) { _ = syscall.Shutdown(far, syscall.SHUT_WR) },
	} {
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		l := &link{fd: pair[0], in: netpoll.NewLinkBuffer()}
		p := New(clock.NewLoop(clock.Manual(1000)), Options{}, netio.NewDescriptorBudget(100), noEvents{})
		p.SetHost(1, "127.0.0.1:1", true)
		h := p.hosts[1]
		c := &conn{pool: p, host: h, phase: idle, link: netio.NewConn(l)}
		c.ref = p.conns.Add(c)
		h.idle = append(h.idle, c)
		if h.takeIdle(p) != c {
			t.Fatal("a quiet connection is not used")
		}
		h.idle = append(h.idle, c)
		if p.beginAnswer(c) == nil { // what is taken off the buffer there, Quiet can't see
			t.Error("an answer may begin on an idle connection")
		}
		speak(pair[1], l)
		p.loop.Do(func() { // looked at before the new connection is refused
			p.Send(1, router.Attempt{}, router.Statement{}, 100)
			if c.phase != closed || h.coming != 1 {
				t.Errorf("%s: phase %d, %d connections come, want a new one instead", name, c.phase, h.coming)
			}
		})
		_, _ = syscall.Close(pair[0]), syscall.Close(pair[1])
	}
}

// recorder notes what becomes of attempts; some may not leave.
type recorder struct {
	noEvents
	stays int // the number of the attempt that may not
	ended []router.Attempt
	as    []decide.Outcome
}

func (c *recorder) MaySend(a router.Attempt) bool { return a.Number != c.stays }
func (c *recorder) AttemptEnded(a router.Attempt, rep router.AttemptReport) {
	c.ended, c.as = append(c.ended, a), append(c.as, rep.Outcome)
}

// An attempt whose right to be sent has ended while it waited is not written
// when its connection comes up: it never left. The next one gets the connection.
func TestWhatMayNotLeaveIsNotWritten(t *testing.T) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	events := &recorder{stays: 1}
	p := New(clock.NewLoop(clock.Manual(1000)), Options{}, netio.NewDescriptorBudget(100), events)
	p.SetHost(1, "127.0.0.1:1", true)
	h := p.hosts[1]
	c := &conn{pool: p, host: h, address: h.address, phase: opening}
	c.link = netio.NewConn(&link{fd: pair[0], in: netpoll.NewLinkBuffer()})
	p.loop.Do(func() {
		c.ref = p.conns.Add(c)
		h.coming = 9 // nothing is dialled for those that wait
		for n := 1; n <= 2; n++ {
			text := []byte{'a' + byte(n)}
			p.Send(1, router.Attempt{Number: n}, router.Statement{Text: text, WaitTo: 1}, 100)
		}
		p.ready(c)
		if c.job == nil || c.job.attempt.Number != 2 || len(h.waiting) > 0 || h.coming != 8 {
			t.Errorf("job %+v, %d wait, %d come", c.job, len(h.waiting), h.coming)
		}
		if len(events.ended) != 1 || events.ended[0].Number != 1 || events.as[0] != decide.NotSent {
			t.Errorf("ended %+v as %v", events.ended, events.as)
		}
	})
	for written := false; !written; runtime.Gosched() {
		p.loop.Do(func() { written = !c.job.writing })
	}
	_, _ = syscall.Close(pair[0]), syscall.Close(pair[1])
}
