package back

import (
	"syscall"
	"testing"

	"github.com/cloudwego/netpoll"

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

func (l *link) Fd() int                { return l.fd }
func (l *link) Reader() netpoll.Reader { return l.in }
func (l *link) Close() error           { return nil }

// deaf hears of nothing.
type deaf struct{}

func (deaf) Ended(router.Attempt, router.Report) {}
func (deaf) Probed(uint32, router.Report)        {}

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
		p := New(clock.NewLoop(clock.Manual(1000)), Options{}, netio.NewBudget(100), deaf{})
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
