package edge

import (
	"testing"

	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/intake"
	edgeoptions "lotusbend/internal/operatorconfig"
)

func TestDrainEndsIdleConnections(t *testing.T) {
	w := newTestEdge(t, nil)
	p := w.dial().hello()
	w.loop.Do(w.edge.Drain)
	var bye frames.Bye
	if err := p.receive(&bye); err != nil || bye.Kind != frames.KindBye {
		t.Errorf("%+v, %v", bye, err)
	}
	if !p.closed() {
		t.Error("it stays")
	}
}

// A stored reading is delivered after a restart, although nothing was delivered
// before.
func TestStoredReadingIsDeliveredAfterRestart(t *testing.T) {
	path := t.TempDir() + "/store"
	durable := func(o *edgeoptions.Edge) { o.Store, o.Intake.Durable = path, true }
	w := newTestEdge(t, durable)
	w.router.silent = true // nothing can be delivered
	p := w.dial().hello()
	p.sendReading(1, "d", 1)
	var a frames.Answer
	if err := p.receive(&a); err != nil || a.Ranges[0].Status != uint8(intake.Stored) {
		t.Fatalf("%+v, %v", a, err)
	}
	if err := w.edge.Close(); err != nil {
		t.Fatal(err)
	}
	w = newTestEdge(t, durable)
	w.waitFor("its delivery", func() bool { return w.router.rowCount() == 1 && w.edge.store.Bytes() == 0 })
}
