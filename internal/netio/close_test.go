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

// socketConnection is a netpoll connection on one end of a socket pair. No poller
// reads it.
type socketConnection struct {
	netpoll.Connection
	fd           int
	in           *netpoll.LinkBuffer
	allowWriting chan struct{} // writes block until it is closed
}

func (s *socketConnection) Fd() int                { return s.fd }
func (s *socketConnection) Reader() netpoll.Reader { return s.in }
func (s *socketConnection) Close() error           { return nil }
func (s *socketConnection) Write(b []byte) (int, error) {
	<-s.allowWriting
	return syscall.Write(s.fd, b)
}

// newPair returns a Conn, the connection below it and the descriptor of its peer.
func newPair(t *testing.T) (c *Conn, local *socketConnection, peer int) {
	t.Helper()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = syscall.Close(fds[0]), syscall.Close(fds[1]) })
	local = &socketConnection{fd: fds[0], in: netpoll.NewLinkBuffer(), allowWriting: make(chan struct{})}
	return NewConn(local), local, fds[1]
}

// receivedEOF reports whether the peer's socket has received the end of the stream.
func receivedEOF(peer int) bool {
	n, _, err := syscall.Recvfrom(peer, make([]byte, 9), syscall.MSG_DONTWAIT)
	return n == 0 && err == nil
}

// An attempt is cancelled by closing its connection, and its retry may be written
// to another connection right after. The endpoint must receive the end of the
// first connection before the retry.
func TestClosePeerReceivesEOFBeforeReturn(t *testing.T) {
	c, _, peer := newPair(t)
	if receivedEOF(peer) {
		t.Fatal("the peer received EOF before Close")
	}
	c.Close()
	if !receivedEOF(peer) {
		t.Error("the peer had not received EOF when Close returned")
	}
}

// Bytes that the peer has sent must be read before the connection is finished,
// whether they are in the socket's receive queue or in the read buffer.
func TestFinishIfQuietOnlyWithoutUnreadBytes(t *testing.T) {
	for name, send := range map[string]func(local *socketConnection, peer int){
		"bytes in the receive queue": func(_ *socketConnection, peer int) { _, _ = syscall.Write(peer, []byte("Q")) },
		"bytes in the read buffer":   func(local *socketConnection, _ int) { _, _ = local.in.WriteString("Q"); _ = local.in.Flush() },
		"EOF from the peer":          func(_ *socketConnection, peer int) { _ = syscall.Shutdown(peer, syscall.SHUT_WR) },
	} {
		c, local, peer := newPair(t)
		send(local, peer)
		if c.FinishIfQuiet() || c.Finishing() || receivedEOF(peer) {
			t.Errorf("%s: the connection was finished", name)
		}
	}
	c, _, peer := newPair(t)
	if !c.FinishIfQuiet() || !c.Finishing() || !receivedEOF(peer) {
		t.Error("a quiet connection was not finished")
	}
}

// Bytes queued before Finish are still written, and bytes sent after it are not.
func TestFinishWritesQueuedBytes(t *testing.T) {
	c, local, peer := newPair(t)
	done := make(chan error, 2)
	c.Send([]byte("answer"), func(err error) { done <- err })
	c.Finish()
	if receivedEOF(peer) {
		t.Error("the peer received EOF before the queued bytes")
	}
	c.Send([]byte("more"), func(err error) { done <- err })
	if err := <-done; !errors.Is(err, ErrUnsent) {
		t.Errorf("Send after Finish: %v, want ErrUnsent", err)
	}
	close(local.allowWriting)
	if err := <-done; err != nil {
		t.Errorf("Send before Finish: %v, want nil", err)
	}
	b := make([]byte, 99)
	n, err := syscall.Read(peer, b)
	if string(b[:max(n, 0)]) != "answer" || err != nil {
		t.Errorf("the peer read %q, %v, want \"answer\"", b[:max(n, 0)], err)
	}
	if n, err := syscall.Read(peer, b); n != 0 || err != nil { // blocks until EOF
		t.Errorf("the peer then read %d bytes, %v, want EOF", n, err)
	}
}

// Small writes must be sent at once: bytes that the operating system delays are
// lost if the connection is reset. netpoll sets TCP_NODELAY on dialled and on
// accepted connections.
func TestNetpollConnectionsHaveNoDelay(t *testing.T) {
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
			t.Errorf("%s connection: TCP_NODELAY = %d, %v, want set", side, on, err)
		}
	}
}
