package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"lotusbend/internal/clock"
	"lotusbend/internal/deployconfig"
	"lotusbend/internal/operatorconfig"
	"lotusbend/internal/postgres/wire"
)

// beginShutdown stops the router and waits until it has logged that.
func (bed *testbed) beginShutdown() {
	bed.stop()
	for line := ""; !strings.Contains(line, "stopping"); {
		line = <-bed.logged
	}
}

// beginDraining stops the router and lets the drain delay pass.
func (bed *testbed) beginDraining() {
	bed.beginShutdown()
	bed.advance(drainDelayMs + shutdownCheckMs)
}

// awaitEnd waits until no client and no request is left, lets the time for rejected
// clients pass, and waits until the router ends.
func (bed *testbed) awaitEnd() {
	bed.t.Helper()
	bed.waitUntil(func() bool {
		clients, _ := bed.node.server.ClientCounts()
		return clients == 0 && bed.node.router.PendingRequests() == 0
	})
	bed.advance(rejectedClientsMs + shutdownCheckMs)
	if err := <-bed.ended; err != nil {
		bed.t.Error(err)
	}
}

// A client may read its last answer late: if the process ended before, the system
// would reset the connection and the answer would be lost.
func TestShutdownWaitsUntilTheLastAnswerIsRead(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	client := bed.connectClient()
	client.query(writeStatement)
	endpoint := accept(t, listener)
	endpoint.message()
	bed.beginDraining()
	endpoint.write(rowAnswer(writeStatement, "late", "off"))
	bed.waitUntil(func() bool { return bed.node.router.PendingRequests() == 0 })
	bed.advance(500) // half of the time that the client has
	for range 1000 {
		runtime.Gosched()
	}
	if len(bed.ended) > 0 {
		t.Fatal("the router ended before the answer was read")
	}
	client.want(client.answer(), "late")
	client.want(client.answer(), "closed")
	_ = client.conn.Close()
	bed.awaitEnd()
}

// A client that reads nothing and stays connected, or one that asks for a deadline
// of a minute, must not delay the shutdown beyond the longest deadline in the
// settings and the timeouts of the front.
func TestShutdownIsBounded(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	bed.connectClient() // reads nothing, and stays
	client := bed.connectClient()
	client.query(strings.Replace(writeStatement, "d=2000", "d=60000", 1))
	endpoint := accept(t, listener)
	endpoint.message()
	bed.beginDraining()
	bed.advance(5000 - 2*shutdownCheckMs) // just before the longest deadline in the settings
	bed.loop.Do(func() {
		if bed.node.router.PendingRequests() != 1 {
			t.Error("the request ended before the longest deadline had passed")
		}
	})
	bed.advance(3 * shutdownCheckMs)
	client.want(client.answer(), "57014")
	client.want(client.answer(), "closed")
	bed.advance(1000) // the time that each client has to disconnect
	bed.awaitEnd()
}

// A request that is sent behind statements to a hung endpoint after the drain began must
// be answered before the earliest SIGKILL: its answer must not wait for their deadlines.
func TestRequestSentInDrainIsAnsweredBeforeSIGKILL(t *testing.T) {
	const sigkillMs = maxGraceMs + 700 // after SIGTERM, with deadlines of 3 s and more
	late := wire.AppendQuery(nil, []byte(viewStatement))
	for name, c := range map[string]struct {
		writes int    // sent before SIGTERM, to a primary that hangs
		late   []byte // sent during the drain
		want   string // code in the answer to late
	}{
		"read behind a write":             {writes: 1, late: late, want: "57P03"},
		"reads behind queued writes":      {writes: 40, late: bytes.Repeat(late, 3), want: "57P03"},
		"extended protocol behind writes": {writes: 2, late: []byte("P\x00\x00\x00\x08\x00\x00\x00\x00"), want: "0A000"},
		"unsound message behind a write":  {writes: 1, late: []byte("Q\xff\xff\xff\xff"), want: "08P01"},
	} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
			client := bed.connectClient()
			for n := range c.writes {
				client.query(strings.NewReplacer("9b20", fmt.Sprintf("9c%02x", n), "d=2000", "d=5000").Replace(writeStatement))
			}
			endpoint := accept(t, listener)
			endpoint.message()
			bed.beginDraining()
			bed.advance(400)
			client.write(c.late)
			bed.waitForInput()
			bed.advance(sigkillMs - drainDelayMs - 400 - 2*shutdownCheckMs)
			_ = client.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			for range c.writes {
				client.want(client.answer(), "E")
			}
			client.want(client.answer(), c.want)
		})
	}
}

// A connection that is not used after the drain began waits for its answer up to the
// longest deadline, although SIGKILL may come earlier: no later request is lost with it.
func TestUnusedConnectionWaitsForItsAnswerInDrain(t *testing.T) {
	listener := listen(t)
	bed := newTestbed(t, 100, endpointEntry("p", listener, "off", "ready"))
	client := bed.connectClient()
	client.query(strings.Replace(writeStatement, "d=2000", "d=5000", 1))
	endpoint := accept(t, listener)
	endpoint.message()
	bed.beginDraining()
	bed.advance(maxGraceMs + 700)
	endpoint.write(rowAnswer(writeStatement, "late", "off"))
	client.want(client.answer(), "late")
}

// waitForInput waits until a client's input has arrived during the drain.
func (bed *testbed) waitForInput() {
	bed.t.Helper()
	bed.waitUntil(func() bool { return bed.node.server.LateClients() > 0 })
}

// SIGTERM may arrive before the router serves, and twice: the router must still
// shut down gracefully.
func TestSIGTERMWhileStartingEndsInOrder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0])
	log := startWithLog(t, program, "GW_CONFIG="+path)
	configFile, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the program opens it for reading
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := program.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := configFile.Write(configuration(listen(t), 100)); err != nil {
		t.Fatal(err)
	}
	_ = configFile.Close()
	text, err := io.ReadAll(bufio.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Wait(); err != nil || !strings.Contains(string(text), "msg=stopped") {
		t.Errorf("program ended with %v, want success and a line msg=stopped in its log:\n%s", err, text)
	}
}

// A reload before the start applies from the start on: the watch must use the new
// address, and none may run at the first one.
func TestReloadBeforeStartReplacesAddress(t *testing.T) {
	oldDiscovery, newDiscovery := listen(t), listen(t)
	loop := clock.NewLoop(clock.Manual(startMs))
	var configs [2]*deployconfig.Config
	for i, listener := range []net.Listener{oldDiscovery, newDiscovery} {
		var err error
		if configs[i], err = deployconfig.Parse(configuration(listener, 100), func(string) string { return "" }); err != nil {
			t.Fatal(err)
		}
	}
	n, err := newNode(configs[0], &operatorconfig.Options{}, loop, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.reload(configs[1])
	n.start()
	acceptWatch(t, newDiscovery).answerWatch("/v1/endpoints", `{"index":4,"snapshot":true,"endpoints":[]}`)
	loop.Do(func() {
		if len(n.watches) != 1 {
			t.Errorf("%d watches run, want 1", len(n.watches))
		}
		for _, watch := range n.watches {
			watch.stop()
		}
	})
}
