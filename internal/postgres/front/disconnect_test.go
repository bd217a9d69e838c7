package front

import (
	"errors"
	"net"
	"testing"

	"lotusbend/internal/postgres/wire"
)

// What a client sends may be cut after any of its bytes, by an end or a reset.
// Nothing but a whole statement is taken; its request lapses, and of the client
// nothing is left, at a clock that stands still.
func TestClientCutAnywhere(t *testing.T) {
	d := newStub(t, 100)
	whole := append(wire.AppendStartup(nil, "app", "shop"), read(1)...)
	for _, linger := range []int{-1, 0} { // an end, a reset
		for cut := range len(whole) + 1 {
			d.loop.Do(func() { d.taken, d.lapsed = nil, 0 })
			c, err := net.Dial("tcp", d.server.Address())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.Write(whole[:cut]); err != nil {
				t.Fatal(err)
			}
			if cut == len(whole) {
				d.submitted(1)
			} else {
				d.until(func() bool { clients, _ := d.server.Open(); return clients == 1 })
			}
			if err := errors.Join(c.(*net.TCPConn).SetLinger(linger), c.Close()); err != nil {
				t.Fatal(err)
			}
			d.until(func() bool { clients, leaving := d.server.Open(); return clients+leaving == 0 })
			d.loop.Do(func() {
				if len(d.taken) != d.lapsed || len(d.taken) > 0 != (cut == len(whole)) {
					t.Errorf("cut after %d of %d bytes, linger %d: %d taken, %d lapsed", cut, len(whole), linger, len(d.taken), d.lapsed)
				}
				if n, _ := d.server.budget.Open(); n != 0 || len(d.server.runningIDs) > 0 || d.held() != 0 {
					t.Errorf("cut after %d of %d bytes: %d clients are counted, %d bytes held", cut, len(whole), n, d.held())
				}
			})
		}
	}
}
