package main

import (
	"bufio"
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

	"lotusbend/internal/clock"
	"lotusbend/internal/deployconfig"
	"lotusbend/internal/operatorconfig"
)

// beginShutdown tells the router to stop and waits until it has heard.
func (w *testbed) beginShutdown() {
	w.stop()
	for line := ""; !strings.Contains(line, "stopping"); {
		line = <-w.logged
	}
}

// beginDraining is told, with the linger over.
func (w *testbed) beginDraining() {
	w.beginShutdown()
	w.advance(drainDelayMs + shutdownCheckMs)
}

// awaitEnd waits for the router's end, once every limit on clients is over.
func (w *testbed) awaitEnd() {
	w.t.Helper()
	w.waitUntil(func() bool {
		clients, _ := w.node.server.ClientCounts()
		return clients == 0 && w.node.router.PendingRequests() == 0
	})
	w.advance(rejectedClientsMs + shutdownCheckMs)
	if err := <-w.ended; err != nil {
		w.t.Error(err)
	}
}

// A client may take its time to read its last answer: the end of the process
// would reset its connection.
func TestShutdownWaitsUntilTheLastAnswerIsRead(t *testing.T) {
	l := listen(t)
	w := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	p := w.client()
	p.query(writeQuery)
	h := accept(t, l)
	h.message()
	w.beginDraining()
	h.write(rowAnswer(writeQuery, "late", "off"))
	w.waitUntil(func() bool { return w.node.router.PendingRequests() == 0 })
	w.advance(500) // half of the time that it has
	for range 1000 {
		runtime.Gosched()
	}
	if len(w.ended) > 0 {
		t.Fatal("ended before the answer was read")
	}
	p.wantContains(p.answer(), "late")
	p.wantContains(p.answer(), "closed")
	_ = p.c.Close()
	w.awaitEnd()
}

// Neither a client that reads nothing and stays, nor one that says it would
// wait for a minute, holds the stop up beyond the settings' longest wait and
// the limits of the front.
func TestShutdownIsBounded(t *testing.T) {
	l := listen(t)
	w := newTestbed(t, 100, endpoint("p", l, "off", "ready"))
	w.client() // reads nothing, and stays
	p := w.client()
	p.query(strings.Replace(writeQuery, "d=2000", "d=60000", 1))
	h := accept(t, l)
	h.message()
	w.beginDraining()
	w.advance(5000 - 2*shutdownCheckMs) // of the settings' longest wait
	w.loop.Do(func() {
		if w.node.router.PendingRequests() != 1 {
			t.Error("a request was given up before the longest wait was over")
		}
	})
	w.advance(3 * shutdownCheckMs)
	p.wantContains(p.answer(), "57014")
	p.wantContains(p.answer(), "closed")
	w.advance(1000) // that each has to go
	w.awaitEnd()
}

// SIGTERM may come before the router serves, and twice: it ends in good order.
func TestSIGTERMWhileStartingEndsInOrder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0])
	log := startWithLog(t, program, "GW_CONFIG="+path)
	to, err := os.OpenFile(path, os.O_WRONLY, 0) // open once the program reads it
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := program.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := to.Write(configuration(listen(t), 100)); err != nil {
		t.Fatal(err)
	}
	_ = to.Close()
	text, err := io.ReadAll(bufio.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Wait(); err != nil || !strings.Contains(string(text), "msg=stopped") {
		t.Errorf("%v: %s", err, text)
	}
}

// A new configuration that comes before the start is in force from the start
// on: it must not be undone by the first one's address.
func TestReloadBeforeStartReplacesAddress(t *testing.T) {
	old, moved := listen(t), listen(t)
	loop := clock.NewLoop(clock.Manual(startMs))
	var configs [2]*deployconfig.Config
	for i, l := range []net.Listener{old, moved} {
		var err error
		if configs[i], err = deployconfig.Parse(configuration(l, 100), func(string) string { return "" }); err != nil {
			t.Fatal(err)
		}
	}
	n, err := newNode(configs[0], &operatorconfig.Options{}, loop, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.reload(configs[1])
	n.start()
	acceptWatch(t, moved).answerWatch("/v1/endpoints", `{"index":4,"snapshot":true,"endpoints":[]}`)
	loop.Do(func() {
		if len(n.watches) != 1 {
			t.Errorf("%d watches", len(n.watches))
		}
		for _, w := range n.watches {
			w.stop()
		}
	})
}
