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

// listener notes what hosts answer to attempts that were given up.
type listener struct {
	noEvents
	heard chan router.AttemptReport
	ended chan router.AttemptReport
}

func (l listener) AttemptEnded(_ router.Attempt, rep router.AttemptReport) { l.ended <- rep }

func (l listener) LateAnswer(host uint32, rep router.AttemptReport) {
	rep.Row = nil // valid during the call only
	if host == 1 {
		l.heard <- rep
	}
}

// under is an attempt that a host has read and not answered.
type under struct {
	t      *testing.T
	clock  *clock.Clock
	pool   *Pool
	events listener
	sent   slotmap.Handle
	host   *net.TCPConn
}

func underWay(t *testing.T, write bool) *under {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &under{t: t, clock: clock.Manual(1000), events: listener{heard: make(chan router.AttemptReport, 9), ended: make(chan router.AttemptReport, 9)}}
	u.pool = New(clock.NewLoop(u.clock), Options{}, netio.NewDescriptorBudget(100), u.events)
	u.pool.loop.Do(func() {
		u.pool.SetHost(1, l.Addr().String(), true)
		u.sent = u.pool.Send(1, router.Attempt{}, router.Statement{Text: []byte("SELECT 1"), WaitTo: 1, Write: write}, 100)
	})
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	u.host = c.(*net.TCPConn)
	t.Cleanup(func() { _, _ = u.host.Close(), l.Close() })
	u.read(len(wire.AppendStartup(nil, user, database)))
	u.write(wire.AppendReady(wire.AppendAuthenticationOk(nil)))
	u.read(len(wire.AppendQuery(nil, []byte("100ELECT 1"))))
	u.until(func() bool { j := u.pool.jobs.Get(u.sent); return j != nil && !j.writing })
	return u
}

func (u *under) until(holds func() bool) {
	for ok := false; !ok; runtime.Gosched() {
		u.pool.loop.Do(func() { ok = holds() })
	}
}

func (u *under) read(n int) {
	u.t.Helper()
	if _, err := io.ReadFull(u.host, make([]byte, n)); err != nil {
		u.t.Fatal(err)
	}
}

func (u *under) write(b []byte) {
	u.t.Helper()
	if _, err := u.host.Write(b); err != nil {
		u.t.Fatal(err)
	}
}

// cancel gives the attempt up; the host hears so.
func (u *under) cancel() {
	u.t.Helper()
	u.pool.loop.Do(func() {
		if !u.pool.Cancel(u.sent) {
			u.t.Error("said not to have begun")
		}
	})
	if n, err := u.host.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		u.t.Fatalf("the host reads %d bytes, %v; want the end", n, err)
	}
}

// An answer that was on its way when its attempt was given up still tells of
// its host: what it says of the role counts as known.
func TestAnswerToAnAttemptGivenUpTellsOfItsHost(t *testing.T) {
	u := underWay(t, false)
	u.cancel()
	u.write(wire.AppendReady(wire.AppendParameter(
		wire.AppendError(nil, "ERROR", wire.CodeTooFarBehind, "behind", ""), "recovery", "on")))
	if rep := <-u.events.heard; rep.Outcome != decide.Ineligible || rep.Status.Role != decide.RoleReplica {
		t.Errorf("heard %+v", rep)
	}
	u.until(func() bool { _, hosts := u.pool.budget.Open(); return hosts == 0 && u.pool.loop.Pending() == 0 })
}

// The host may end its connection right behind the answer's last message.
func TestAnswerBeforeAnEndTellsOfItsHost(t *testing.T) {
	u := underWay(t, false)
	u.cancel()
	u.write(wire.AppendParameter(wire.AppendError(nil, "ERROR", wire.CodeTooFarBehind, "behind", ""), "recovery", "on"))
	_ = u.host.Close()
	if rep := <-u.events.heard; rep.Status.Role != decide.RoleReplica {
		t.Errorf("heard %+v", rep)
	}
}

// What is no answer ends such a connection and tells nothing: the attempt has
// ended already.
func TestSpoiltAnswerToAnAttemptGivenUpTellsNothing(t *testing.T) {
	u := underWay(t, false)
	u.cancel()
	u.write([]byte("Z\x00\x00\x00\x00"))
	u.until(func() bool { _, hosts := u.pool.budget.Open(); return hosts == 0 })
	u.pool.loop.Do(func() {
		if len(u.events.heard)+len(u.events.ended) > 0 {
			t.Errorf("%d heard, %d ended", len(u.events.heard), len(u.events.ended))
		}
	})
}

// An attempt of which a part may not have left is given up by closing: what is
// written on must not follow.
func TestAttemptThatIsBeingWrittenIsClosed(t *testing.T) {
	u := underWay(t, false)
	u.pool.loop.Do(func() {
		u.pool.jobs.Get(u.sent).writing = true
		u.pool.Cancel(u.sent)
		if _, hosts := u.pool.budget.Open(); hosts != 0 {
			t.Error("its connection is listened to")
		}
	})
}

// Nobody waits longer for such an answer than it may take, nor for one to a
// write, nor where the socket is wanted.
func TestConnectionOfAnAttemptGivenUpIsClosedSoon(t *testing.T) {
	u := underWay(t, false)
	u.cancel()
	u.clock.Set(u.clock.Now() + lateAnswerWindow)
	u.pool.loop.Fire()
	u.pool.loop.Do(func() {
		if _, hosts := u.pool.budget.Open(); hosts != 0 {
			t.Error("open after the time for its answer")
		}
	})
	u = underWay(t, true)
	u.cancel()
	u.pool.loop.Do(func() {
		if _, hosts := u.pool.budget.Open(); hosts != 0 {
			t.Error("a write's connection is listened to")
		}
	})
	u = underWay(t, false)
	u.cancel()
	u.pool.loop.Do(func() {
		for u.pool.budget.TakeHost() {
		}
		u.pool.Send(1, router.Attempt{}, router.Statement{Text: []byte("SELECT 1"), WaitTo: 1}, 100)
		coming := 0
		u.pool.conns.Each(func(_ slotmap.Handle, c *conn) {
			if c.phase == opening {
				coming++
			}
		})
		if coming != 1 {
			t.Error("it holds a socket that is wanted")
		}
	})
}
