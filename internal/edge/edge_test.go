package edge

import (
	"testing"

	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/intake"
	edgeoptions "lotusbend/internal/operatorconfig"
)

func TestDrainEndsIdleConnections(t *testing.T) {
	test := newTestEdge(t, nil)
	gateway := test.dial().hello()
	test.loop.Do(test.edge.Drain)
	var bye frames.Bye
	if err := gateway.receive(&bye); err != nil || bye.Kind != frames.KindBye {
		t.Errorf("%+v, %v", bye, err)
	}
	if !gateway.closed() {
		t.Error("it stays")
	}
}

// A stored reading is delivered after a restart, although nothing was delivered
// before.
func TestStoredReadingIsDeliveredAfterRestart(t *testing.T) {
	path := t.TempDir() + "/store"
	durable := func(o *edgeoptions.Edge) { o.Store, o.Intake.Durable = path, true }
	test := newTestEdge(t, durable)
	test.router.silent = true // nothing can be delivered
	gateway := test.dial().hello()
	gateway.sendReading(1, "d", 1)
	var a frames.Answer
	if err := gateway.receive(&a); err != nil || a.Ranges[0].Status != uint8(intake.Stored) {
		t.Fatalf("%+v, %v", a, err)
	}
	if err := test.edge.Close(); err != nil {
		t.Fatal(err)
	}
	test = newTestEdge(t, durable)
	test.waitFor("its delivery", func() bool { return test.router.rowCount() == 1 && test.edge.store.Bytes() == 0 })
}
