package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"

	"lotusbend/internal/clock"
	"lotusbend/internal/discovery/polling"
)

// scriptedService runs a Watcher whose dials the test answers. The clock stands
// still until the test moves it to the next deadline.
type scriptedService struct {
	t        *testing.T
	clock    *clock.Clock
	loop     *clock.Loop
	updates  chan Update
	dials    chan chan net.Conn // to answer with a connection, nil to refuse it
	listener net.Listener
	conn     *net.TCPConn // the service's end
	in       *bufio.Reader
}

func newScriptedService(t *testing.T, config polling.Config) *scriptedService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedService{
		t:        t,
		clock:    clock.Manual(1e6),
		updates:  make(chan Update, 9),
		dials:    make(chan chan net.Conn),
		listener: listener,
	}
	s.loop = clock.NewLoop(s.clock)
	watcher := &Watcher{
		Loop:     s.loop,
		Log:      slog.New(slog.DiscardHandler),
		IDs:      NewEndpointIDs(nil),
		Schedule: polling.NewSchedule(config, 1),
		OnUpdate: func(update Update) { s.updates <- update },
		dial:     s.dial,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	go func() {
		defer close(ended)
		watcher.Run(ctx)
	}()
	return s
}

// dial is the watcher's: it waits for the test's answer.
func (s *scriptedService) dial(ctx context.Context, _ string) (net.Conn, error) {
	answer := make(chan net.Conn)
	select {
	case s.dials <- answer:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case conn := <-answer:
		if conn == nil {
			return nil, syscall.ECONNREFUSED
		}
		return conn, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect accepts the dial in progress.
func (s *scriptedService) connect() {
	s.t.Helper()
	answer := <-s.dials
	clientEnd, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	serverEnd, err := s.listener.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = serverEnd.Close() })
	s.conn = serverEnd.(*net.TCPConn)
	s.in = bufio.NewReader(serverEnd)
	answer <- clientEnd
}

// expect reads the next request, which must have the given URL.
func (s *scriptedService) expect(want string) {
	s.t.Helper()
	request, err := http.ReadRequest(s.in)
	if err != nil || request.URL.String() != want {
		s.t.Fatalf("requested %v, %v; want %s", request, err, want)
	}
}

func (s *scriptedService) write(format string, args ...any) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.conn, "HTTP/1.1 200 OK\r\n"+format, args...); err != nil {
		s.t.Fatal(err)
	}
}

// awaitRetry moves the clock to the end of the delay before the next request,
// past the deadlines of the dial and the request that began at began.
func (s *scriptedService) awaitRetry(began float64) {
	for {
		due, ok := s.loop.Next()
		if ok && due != began+dialTimeout && due != began+requestTimeout {
			s.clock.Set(due)
			s.loop.Fire()
			return
		}
		runtime.Gosched()
	}
}

// requestTimeout is the timeout of any request, in milliseconds.
const requestTimeout = 4000

// receive accepts the dial in progress and reads the request.
func (s *scriptedService) receive() {
	s.t.Helper()
	s.connect()
	if _, err := http.ReadRequest(s.in); err != nil {
		s.t.Fatal(err)
	}
}

// writeStatus answers without a list.
func (s *scriptedService) writeStatus(status string) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status); err != nil {
		s.t.Fatal(err)
	}
}

// writeSnapshot answers with an empty list, which must reach OnUpdate.
func (s *scriptedService) writeSnapshot(index int) {
	s.t.Helper()
	body := fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, index)
	s.write("Content-Length: %d\r\n\r\n%s", len(body), body)
	if update := <-s.updates; update.Index != uint64(index) {
		s.t.Fatalf("received %+v", update)
	}
}

// step moves the clock to the next deadline, once there is one within the given
// milliseconds.
func (s *scriptedService) step(within float64) {
	for {
		if due, ok := s.loop.Next(); ok && due <= s.clock.Now()+within {
			s.clock.Set(due)
			s.loop.Fire()
			return
		}
		runtime.Gosched()
	}
}

const (
	snapshotURL = "/v1/endpoints"
	after43URL  = "/v1/endpoints?after=43&wait_ms=3000"
)

// A watch that falls silent, in a long poll or in a request for the snapshot, is
// opened anew before what it misses counts as known.
func TestSilentWatchIsReopened(t *testing.T) {
	s := newScriptedService(t, polling.Config{})
	s.connect()
	s.expect(snapshotURL)
	for range 2 { // for the snapshot, then for changes
		silentFrom := s.clock.Now()
		s.step(6000) // the request times out
		s.step(500)  // the delay before the next
		s.connect()
		if took := s.clock.Now() - silentFrom; took > 4500 {
			t.Errorf("opened anew after %.0f ms of silence", took)
		}
		request, err := http.ReadRequest(s.in)
		if err != nil {
			t.Fatal(err)
		}
		if request.URL.String() == snapshotURL {
			s.writeSnapshot(43)
			s.expect(after43URL)
		} else if request.URL.String() != after43URL {
			t.Errorf("requested %s", request.URL)
		}
	}
}

// Whatever became of earlier requests, and however often, a change is requested
// before it counts as known: 6 s after discovery had it and could be reached,
// at the earliest just after the last failed request had begun.
func TestChangeIsRequestedInTimeAfterFailures(t *testing.T) {
	const limit = 5000 // queueing at the service comes on top
	failures := map[string]func(s *scriptedService){
		"refused":   func(s *scriptedService) { <-s.dials <- nil },
		"hangs":     func(s *scriptedService) { <-s.dials; s.step(dialTimeout) },
		"ended":     func(s *scriptedService) { s.receive(); _ = s.conn.Close() },
		"reset":     func(s *scriptedService) { s.receive(); _ = s.conn.SetLinger(0); _ = s.conn.Close() },
		"silent":    func(s *scriptedService) { s.receive(); s.step(6000) },
		"error":     func(s *scriptedService) { s.receive(); s.writeStatus("500 Internal Server Error") },
		"no list":   func(s *scriptedService) { s.receive(); s.write("Content-Length: 1\r\n\r\n[") },
		"cut short": func(s *scriptedService) { s.receive(); s.write("Content-Length: 9\r\n\r\n["); _ = s.conn.Close() },
	}
	overloaded := func(s *scriptedService) { s.receive(); s.writeStatus("503 Service Unavailable") }
	for mode, config := range map[string]polling.Config{
		"pushed":                   {Routers: 300},
		"polled":                   {Routers: 300, PollOnly: true, PollInterval: 10000},
		"polled by many":           {Routers: 3000, PollOnly: true, PollInterval: 60000},
		"polled, unknown interval": {Routers: 300, PollOnly: true},
		"polled by few":            {Routers: 15, PollOnly: true, PollInterval: 10000},
	} {
		failures := maps.Clone(failures)
		if !config.PollOnly || config.Routers <= 15 { // one service can answer so many in this time, however busy
			failures["overloaded"] = overloaded
		}
		for name, fail := range failures {
			s := newScriptedService(t, config)
			for range 12 {
				began := s.clock.Now()
				fail(s)
				s.awaitRetry(began)
				if took := s.clock.Now() - began; took > limit {
					t.Errorf("%s, %s: the next request comes after %.0f ms", mode, name, took)
				}
			}
		}
	}
}

// A dial that hangs times out, and the next one comes soon.
func TestHangingDialTimesOut(t *testing.T) {
	s := newScriptedService(t, polling.Config{})
	<-s.dials // and it hangs
	began := s.clock.Now()
	s.step(500)
	s.step(500)
	s.connect()
	if took := s.clock.Now() - began; took > 600 {
		t.Errorf("dialled anew after %.0f ms", took)
	}
	s.expect(snapshotURL)
}

// A list without a length is whole at EOF, and not at a reset. The next request
// comes within 200 ms, so that the watch goes on.
func TestEOFEndsListAndResetDoesNot(t *testing.T) {
	s := newScriptedService(t, polling.Config{})
	s.connect()
	s.expect(snapshotURL)
	s.write("\r\n%s", `{"index":42,"snapshot":true,"endpoints":[]}`)
	if err := errors.Join(s.conn.SetLinger(0), s.conn.Close()); err != nil {
		t.Fatal(err)
	}
	resetAt := s.clock.Now()
	s.step(500)
	s.connect()
	if delay := s.clock.Now() - resetAt; delay > 200 {
		t.Errorf("the watch is opened anew after %.0f ms", delay)
	}
	s.expect(snapshotURL)
	s.write("\r\n%s", "{\n\t\"index\": 43,\n\t\"snapshot\": true,\n\t\"endpoints\": []\n}\n")
	if err := s.conn.Close(); err != nil {
		t.Fatal(err)
	}
	if update := <-s.updates; update.Index != 43 || !update.Snapshot {
		t.Errorf("received %+v", update)
	}
	s.connect() // at once: it was no failure
	s.expect(after43URL)
	if s.clock.Now() > resetAt+200 {
		t.Error("a list that ends its connection is followed by a delay")
	}
}
