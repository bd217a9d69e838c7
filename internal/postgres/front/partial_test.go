package front

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// noClasses is a RequestHandler without request classes.
type noClasses struct{}

func (noClasses) Class([]byte) (router.Class, bool) { return router.Class{}, false }

func (noClasses) Submit(router.Request, router.Client, slotmap.Handle) (r slotmap.Handle) { return r }

func (noClasses) ClientCancelled(slotmap.Handle) {}
func (noClasses) GiveUp(slotmap.Handle)          {}

// TestPartialMessageTimesOut checks that a connection with an incomplete message is
// ended partialTimeoutMs after the first part arrived, both during the startup and
// later.
func TestPartialMessageTimesOut(t *testing.T) {
	manual := clock.Manual(1000)
	loop := clock.NewLoop(manual)
	server, err := Listen("127.0.0.1:0", loop, netio.NewDescriptorBudget(100), testMemoryMiB, noClasses{})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	startup := string(wire.AppendStartup(nil, "app", "shop"))
	queried := startup + string(wire.AppendQuery(nil, []byte("SELECT 1")))
	for _, text := range []string{startup[:9], startup + "Q\x00", queried + "Q\x00\x00\x00\x40SELECT"} {
		conn, err := net.Dial("tcp", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		for partial := false; !partial; runtime.Gosched() {
			loop.Do(func() {
				server.clients.Each(func(_ slotmap.Handle, c *client) {
					partial = partial || c.partial && !c.busy()
				})
			})
		}
		manual.Set(manual.Now() + partialTimeoutMs)
		loop.Fire()
		got, _ := io.ReadAll(conn) // up to EOF or a reset
		if !strings.Contains(string(got), "08P01") {
			t.Errorf("%q: got %q, want 08P01 in it", text, got)
		}
		_ = conn.Close()
		for open := 1; open > 0; runtime.Gosched() {
			loop.Do(func() { open, _ = server.budget.InUse() })
		}
	}
}

// TestTrickledMessageTimesOut checks that a message whose parts keep arriving ends
// its connection partialTimeoutMs after the first part.
func TestTrickledMessageTimesOut(t *testing.T) {
	stub := newStub(t, 100)
	remote := stub.connect()
	statement := largeQuery(1, 32<<10)
	remote.write(statement[:9])
	stub.waitUntil(func() bool { return stub.onlyClient().partial })
	stub.advance(partialTimeoutMs - 1)
	remote.write(statement[9:9000])
	stub.waitUntil(func() bool { return stub.onlyClient().input.Len() == 9000 })
	stub.advance(1)
	_ = remote.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	remote.expect(remote.readUntil(noSuchMessage), "08P01", endOfConnection)
}
