package edge

import (
	"testing"

	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/operatorconfig"
)

func TestDrainDisconnectsIdleGateway(t *testing.T) {
	test := newTestEdge(t, nil)
	gateway := test.dial().hello()
	test.loop.Do(test.edge.Drain)
	var bye frames.Bye
	if err := gateway.receive(&bye); err != nil || bye.Kind != frames.KindBye {
		t.Errorf("last frame = %+v, %v, want Bye", bye, err)
	}
	if !gateway.closed() {
		t.Error("connection of a drained edge is open, want closed")
	}
}

// A reading that was stored but not yet recorded is recorded after a restart, and
// then removed from the store.
func TestStoredReadingIsDeliveredAfterRestart(t *testing.T) {
	path := t.TempDir() + "/store"
	durable := func(o *operatorconfig.Edge) { o.Store, o.Intake.Durable = path, true }
	test := newTestEdge(t, durable)
	test.router.silent = true // so that the reading is not recorded
	gateway := test.dial().hello()
	gateway.sendReading(1, "d", 1)
	var a frames.Answer
	if err := gateway.receive(&a); err != nil || a.Ranges[0].Status != uint8(intake.Stored) {
		t.Fatalf("answer = %+v, %v, want stored", a, err)
	}
	if err := test.edge.Close(); err != nil {
		t.Fatal(err)
	}
	test = newTestEdge(t, durable)
	test.waitFor("the stored reading to be recorded", func() bool { return test.router.rowCount() == 1 && test.edge.store.Bytes() == 0 })
}
