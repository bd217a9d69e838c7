package netio

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// pair is a connection that no poller reads, and the descriptor of its peer.
type pair struct {
	netpoll.Connection
	fd   int
	in   *netpoll.LinkBuffer
	gate chan struct{} // writes block until it closes
}

func (p *pair) Fd() int                { return p.fd }
func (p *pair) Reader() netpoll.Reader { return p.in }
func (p *pair) Close() error           { return nil }
func (p *pair) Write(b []byte) (int, error) {
	<-p.gate
	return syscall.Write(p.fd, b)
}

func newPair(t *testing.T) (c *Conn, near *pair, far int) {
	t.Helper()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = syscall.Close(fds[0]), syscall.Close(fds[1]) })
	near = &pair{fd: fds[0], in: netpoll.NewLinkBuffer(), gate: make(chan struct{})}
	return NewConn(near), near, fds[1]
}

// ended reports whether the peer's system was notified of the end.
func ended(far int) bool {
	n, _, err := syscall.Recvfrom(far, make([]byte, 9), syscall.MSG_DONTWAIT)
	return n == 0 && err == nil
}

// An attempt is abandoned by closing its connection, and its retry may be written
// to another at once: the host must be notified of the first end first.
func TestCloseNotifiesPeerBeforeReturning(t *testing.T) {
	c, _, far := newPair(t)
	if ended(far) {
		t.Fatal("it ends by itself")
	}
	c.Close()
	if !ended(far) {
		t.Error("the peer was not notified")
	}
}

// What the peer has sent by then is read before the connection ends, whether it
// is in the system's receive queue or already in the buffer.
func TestFinishQuietOnlyWithoutUnreadBytes(t *testing.T) {
	for name, speak := range map[string]func(near *pair, far int){
		"unread by the poller": func(_ *pair, far int) { _, _ = syscall.Write(far, []byte("Q")) },
		"unread by us":         func(near *pair, _ int) { _, _ = near.in.WriteString("Q"); _ = near.in.Flush() },
		"its end":              func(_ *pair, far int) { _ = syscall.Shutdown(far, syscall.SHUT_WR) },
	} {
		c, near, far := newPair(t)
		speak(near, far)
		if c.FinishIfQuiet() || c.Finishing() || ended(far) {
			t.Errorf("%s: the connection was ended", name)
		}
	}
	c, _, far := newPair(t)
	if !c.FinishIfQuiet() || !c.Finishing() || !ended(far) {
		t.Error("a quiet connection was not ended")
	}
}

// What was sent before the end is still written; nothing after it is.
func TestFinishFlushesWhatWasSent(t *testing.T) {
	c, near, far := newPair(t)
	done := make(chan error, 2)
	c.Send([]byte("answer"), func(err error) { done <- err })
	c.Finish()
	if ended(far) {
		t.Error("the end overtakes what was sent")
	}
	c.Send([]byte("more"), func(err error) { done <- err })
	if err := <-done; !errors.Is(err, ErrUnsent) {
		t.Errorf("after the end: %v", err)
	}
	close(near.gate)
	if err := <-done; err != nil {
		t.Error(err)
	}
	b := make([]byte, 99)
	n, err := syscall.Read(far, b)
	if string(b[:max(n, 0)]) != "answer" || err != nil {
		t.Errorf("the peer reads %q, %v", b[:max(n, 0)], err)
	}
	if n, err := syscall.Read(far, b); n != 0 || err != nil { // it waits for the end
		t.Errorf("then %d bytes, %v", n, err)
	}
}

// Small writes must leave at once: those that the system delays are lost with a
// reset. netpoll sees to that, on both sides.
func TestConnectionsDoNotDelayWrites(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan netpoll.Connection, 1)
	events, err := netpoll.NewEventLoop(func(context.Context, netpoll.Connection) error { return nil },
		netpoll.WithOnPrepare(func(c netpoll.Connection) context.Context {
			accepted <- c
			return context.Background()
		}))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = events.Serve(l) }()
	dialled, err := netpoll.DialConnection("tcp", l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close() })
	for side, c := range map[string]netpoll.Connection{"dialled": dialled, "accepted": <-accepted} {
		on, err := syscall.GetsockoptInt(c.(interface{ Fd() int }).Fd(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		if err != nil || on == 0 {
			t.Errorf("%s: TCP_NODELAY is %d, %v", side, on, err)
		}
	}
}
