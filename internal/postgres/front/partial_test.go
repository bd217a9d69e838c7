package front

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"lotusbend/internal/clock"
	"lotusbend/internal/netio"
	"lotusbend/internal/postgres/wire"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// nothing knows no class.
type nothing struct{}

func (nothing) Class([]byte) (router.Class, bool)                                       { return router.Class{}, false }
func (nothing) Submit(router.Request, router.Client, slotmap.Handle) (r slotmap.Handle) { return r }
func (nothing) ClientCancelled(slotmap.Handle)                                          {}

// A message of which a part never comes must hold its connection no longer
// than the limit, at a startup and after it; the time counts from that part.
func TestPartOfAMessageIsGivenUp(t *testing.T) {
	now := clock.Manual(1000)
	loop := clock.NewLoop(now)
	s, err := Listen("127.0.0.1:0", loop, netio.NewDescriptorBudget(100), testMemoryMB, nothing{})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	startup := string(wire.AppendStartup(nil, "app", "shop"))
	asked := startup + string(wire.AppendQuery(nil, []byte("SELECT 1")))
	for _, text := range []string{startup[:9], startup + "Q\x00", asked + "Q\x00\x00\x00\x40SELECT"} {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		for half := false; !half; runtime.Gosched() {
			loop.Do(func() { s.clients.Each(func(_ slotmap.Handle, c *client) { half = half || c.partial && !c.busy() }) })
		}
		now.Set(now.Now() + partialTimeout)
		loop.Fire()
		got, _ := io.ReadAll(c) // up to the end, however it comes
		if !strings.Contains(string(got), "08P01") {
			t.Errorf("%q: got %q", text, got)
		}
		_ = c.Close()
		for open := 1; open > 0; runtime.Gosched() {
			loop.Do(func() { open, _ = s.budget.Open() })
		}
	}
}
