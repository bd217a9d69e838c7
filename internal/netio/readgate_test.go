package netio

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// serveGated serves connections with a ReadGate on loopback and returns the address.
func serveGated(t *testing.T, onRequest netpoll.OnRequest) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events, err := netpoll.NewEventLoop(onRequest, netpoll.WithOnPrepare(
		func(nc netpoll.Connection) context.Context {
			gate := NewReadGate()
			_ = nc.AddCloseCallback(func(netpoll.Connection) error {
				gate.ConnectionClosed()
				return nil
			})
			return WithReadGate(context.Background(), gate)
		}))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = events.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = events.Shutdown(ctx)
	})
	return listener.Addr().String()
}

func dialTCP(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// While a callback has yet to account for the bytes of a read, the poller must not
// read more: the memory of a fast peer's bytes would grow without a bound.
func TestReadGateStopsReadingWhileCallbackRuns(t *testing.T) {
	const maxReadBytes = 8 << 10 // netpoll's read buffer
	entered := make(chan netpoll.Connection)
	proceed := make(chan struct{})
	var first sync.Once
	address := serveGated(t, func(_ context.Context, nc netpoll.Connection) error {
		first.Do(func() {
			entered <- nc
			<-proceed
		})
		in := nc.Reader()
		return errors.Join(in.Skip(in.Len()), in.Release())
	})
	conn := dialTCP(t, address)
	sent := make(chan error, 1)
	go func() {
		_ = conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := conn.Write(make([]byte, 64<<20))
		sent <- err
	}()
	nc := <-entered
	if err := <-sent; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("64 MiB were sent with %v while the callback ran, want a timeout", err)
	}
	if n := nc.Reader().Len(); n > maxReadBytes {
		t.Errorf("%d bytes were read while the callback ran, want at most %d", n, maxReadBytes)
	}
	close(proceed)
}

// A callback that closes its connection waits in netpoll for the poller, which must
// not wait for it at the same time.
func TestReadGateCallbackMayCloseConnection(t *testing.T) {
	address := serveGated(t, func(_ context.Context, nc netpoll.Connection) error { return nc.Close() })
	for range 200 {
		conn := dialTCP(t, address)
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("the connection was not closed in 10 s: the poller waits for the callback")
		}
		_ = conn.Close()
	}
}

// Closings must not fall behind: the poller accepts no connection while another is
// being closed. Without that, connections that close at once hold their memory
// until their goroutines have run.
func TestReadGateWaitsForClosings(t *testing.T) {
	address := serveGated(t, func(_ context.Context, nc netpoll.Connection) error {
		in := nc.Reader()
		_, err := nc.Write([]byte("x"))
		return errors.Join(err, in.Skip(in.Len()), in.Release())
	})
	closings.begin()
	conn := dialTCP(t, address)
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 1)
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := io.ReadFull(conn, answer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read = %v while a connection was being closed, want no answer", err)
	}
	closings.end()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.ReadFull(conn, answer); err != nil {
		t.Errorf("read = %v after the close, want an answer", err)
	}
}

// A dialled connection has no gate, but on one processor, as the router runs, its
// callback must run before the poller has read all that the peer has sent: a
// database host that floods its connections is then cut off at once.
func TestDialledConnectionIsReadAfterItsCallbackStarts(t *testing.T) {
	const maxReadBytes = 64 << 10 // some reads of growing size
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dialled, err := netpoll.DialConnection("tcp", listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close() })
	unread := make(chan int, 1)
	err = dialled.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error {
		unread <- nc.Reader().Len()
		return nc.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	_ = peer.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, _ = peer.Write(make([]byte, 64<<20)) // fails once the callback has closed the connection
	if n := <-unread; n > maxReadBytes {
		t.Errorf("%d bytes were read before the callback ran, want at most %d", n, maxReadBytes)
	}
}

// Under a flood the poller always has a callback to start. Goroutines that wait for the
// processor must run all the same: among them are the writes, closings and deadlines of
// other connections, which waited for seconds while their memory accumulated.
func TestOtherGoroutinesRunBetweenCallbacks(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const waiting, callbacks = 100, 20
	for name, ctx := range map[string]context.Context{
		"gated":   WithReadGate(context.Background(), NewReadGate()),
		"ungated": context.Background(),
	} {
		var ran atomic.Int32
		var running sync.WaitGroup
		for range waiting {
			running.Go(func() { ran.Add(1) })
		}
		for range callbacks {
			runCallback(ctx, func() {})
		}
		if ran.Load() < waiting {
			t.Errorf("%s: %d of %d waiting goroutines ran during %d callbacks, want all",
				name, ran.Load(), waiting, callbacks)
		}
		running.Wait()
	}
}

// A peer that reads fast and has much to receive must not keep the processor: other
// goroutines run between two writes of one queue.
func TestOtherGoroutinesRunBetweenWrites(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const writes = 50
	conn := NewConn(discardConn{})
	finished := make(chan struct{})
	var sent, ranAt atomic.Int32
	var next func(error)
	next = func(error) {
		count := sent.Add(1)
		if count == writes {
			close(finished)
			return
		}
		if count == 1 { // a goroutine that waits for the processor from now on
			go func() { ranAt.Store(sent.Load()) }()
		}
		conn.Send([]byte("x"), next)
	}
	conn.Send([]byte("x"), next)
	<-finished
	if after := ranAt.Load(); after == 0 || after > 5 {
		t.Errorf("a waiting goroutine ran after %d of %d writes, want at most 5", after, writes)
	}
}

// discardConn is a connection that accepts all writes at once.
type discardConn struct{ net.Conn }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }
