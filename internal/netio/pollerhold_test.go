package netio

import (
	"context"
	"errors"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// dialNetpoll dials a new listener with netpoll and returns both ends.
func dialNetpoll(t *testing.T) (dialled netpoll.Connection, peer net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	if dialled, err = netpoll.DialConnection("tcp", listener.Addr().String(), time.Second); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close() })
	if peer, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	return dialled, peer
}

// While a callback holds the poller, only the callback reads: what it reads from the
// socket directly must follow what netpoll had read, in order and without a gap.
func TestHeldPollerLeavesBytesToCallback(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const total = 8 << 20
	dialled, peer := dialNetpoll(t)
	done := make(chan error, 1)
	received, held := 0, 0
	check := func(b []byte) error {
		for _, got := range b {
			if got != byte(received%251) {
				return errors.New("bytes out of order")
			}
			received++
		}
		return nil
	}
	buffer := make([]byte, 64<<10)
	SetOnRequest(dialled, func(_ context.Context, nc netpoll.Connection) error {
		hold := HoldPoller()
		defer hold.Release()
		var err error
		for nc.Reader().Len() > 0 && err == nil {
			n, readErr := nc.Read(buffer)
			err = errors.Join(readErr, check(buffer[:n]))
		}
		for hold != nil && err == nil {
			n := hold.ReadSocket(nc, buffer)
			if n == 0 {
				break
			}
			held++
			runtime.Gosched() // the poller must not run meanwhile
			err = check(buffer[:n])
		}
		if err != nil || received == total {
			done <- err
		}
		return nil
	})
	sent := make([]byte, total)
	for i := range sent {
		sent[i] = byte(i % 251)
	}
	go func() { _, _ = peer.Write(sent) }() // fails if the test ends early
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("not all bytes were received in 20 s")
	}
	if held == 0 {
		t.Error("no callback has read from the socket, want most to")
	}
}

// A callback may close its connection while it holds the poller, and one that takes no
// hold must not keep the poller waiting: both would end the service of all connections.
func TestPollerGoesOnAfterCallbackThatCloses(t *testing.T) {
	for name, takesHold := range map[string]bool{"held": true, "not held": false} {
		for range 100 {
			dialled, peer := dialNetpoll(t)
			SetOnRequest(dialled, func(_ context.Context, nc netpoll.Connection) error {
				if takesHold {
					hold := HoldPoller()
					defer hold.Release()
				}
				return nc.Close()
			})
			if _, err := peer.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			_ = peer.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := peer.Read(make([]byte, 1)); err == nil || isTimeout(err) {
				t.Fatalf("%s: read = %v, want the end of the connection", name, err)
			}
			_ = peer.Close()
		}
	}
}

// isTimeout reports whether a deadline has passed.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// An idle goroutine of the pool takes the next task, and a task that waits does not
// keep others from running.
func TestWorkersRunTasksConcurrently(t *testing.T) {
	pool := newWorkerPool()
	const tasks = 3 * maxIdleWorkers
	proceed := make(chan struct{})
	finished := make(chan struct{}, tasks)
	for range tasks {
		pool.run(func() {
			<-proceed
			finished <- struct{}{}
		})
	}
	close(proceed)
	for range tasks {
		<-finished
	}
	for deadline := time.Now().Add(10 * time.Second); pool.idle.Load() != maxIdleWorkers; runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("%d idle goroutines remain, want %d", pool.idle.Load(), maxIdleWorkers)
		}
	}
}
