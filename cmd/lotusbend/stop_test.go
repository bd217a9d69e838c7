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
	"lotusbend/internal/config"
	"lotusbend/internal/options"
)

// stopped tells the router to stop and waits until it does; the linger is over.
func (w *world) stopped() {
	w.stop()
	for line := ""; !strings.Contains(line, "stopping"); {
		line = <-w.logged
	}
	w.pass(lingerFor)
}

// endsWithin lets up to so many milliseconds pass until the router has ended,
// and returns how many did.
func (w *world) endsWithin(ms float64) (took float64) {
	w.t.Helper()
	for began := w.clock.Now(); took <= ms; took = w.clock.Now() - began {
		select {
		case err := <-w.ended:
			if err != nil {
				w.t.Error(err)
			}
			return took
		default:
			w.pass(stopBeat)
			for range 100 { // the router's own goroutines take their turns
				runtime.Gosched()
			}
		}
	}
	w.t.Fatalf("the router has not ended within %.0f ms", ms)
	return took
}

// A client may take its time to read its last answer: the end of the process
// would reset its connection.
func TestStopWaitsUntilTheLastAnswerIsRead(t *testing.T) {
	l := listen(t)
	w := newWorld(t, 100, endpoint("p", l, "off", "ready"))
	p := w.client()
	p.query(write)
	h := accept(t, l)
	h.message()
	w.stopped()
	h.write(row(write, "late", "off"))
	w.until(func() bool { return w.node.router.Open() == 0 })
	for range 25 { // half of the time that it has
		w.pass(stopBeat)
		for range 100 {
			runtime.Gosched()
		}
	}
	if len(w.ended) > 0 {
		t.Fatal("ended before the answer was read")
	}
	p.want(p.answer(), "late")
	p.want(p.answer(), "closed")
	_ = p.c.Close()
	w.endsWithin(2000)
}

// Neither a client that reads nothing and stays, nor one that says it would
// wait for a minute, holds the stop up beyond the settings' longest wait and
// the limits of the front.
func TestStopIsBounded(t *testing.T) {
	l := listen(t)
	w := newWorld(t, 100, endpoint("p", l, "off", "ready"))
	w.client() // reads nothing, and stays
	p := w.client()
	p.query(strings.Replace(write, "d=2000", "d=60000", 1))
	h := accept(t, l)
	h.message()
	w.stopped()
	took := w.endsWithin(5000 + 2000)
	p.want(p.answer(), "57014")
	p.want(p.answer(), "closed")
	if took < 5000 {
		t.Errorf("a request was given up after %.0f ms", took)
	}
}

// SIGTERM may come before the router serves, and twice: it ends in good order.
func TestSIGTERMWhileStarting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+path)
	log, err := program.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
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
func TestReloadBeforeTheStart(t *testing.T) {
	old, moved := listen(t), listen(t)
	loop := clock.NewLoop(clock.Manual(start))
	var configs [2]*config.Config
	for i, l := range []net.Listener{old, moved} {
		var err error
		if configs[i], err = config.Parse(configuration(l, 100), func(string) string { return "" }); err != nil {
			t.Fatal(err)
		}
	}
	n, err := newNode(configs[0], &options.Options{}, loop, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.reload(configs[1])
	n.start()
	agent(t, moved).tell("/v1/endpoints", `{"index":4,"snapshot":true,"endpoints":[]}`)
	loop.Do(func() {
		if len(n.watches) != 1 {
			t.Errorf("%d watches", len(n.watches))
		}
		for _, w := range n.watches {
			w.stop()
		}
	})
}
