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

// scriptedService runs a Watcher and lets the test answer its dials and requests.
// The clock stands still until the test moves it to the next deadline.
type scriptedService struct {
	t        *testing.T
	clock    *clock.Clock
	loop     *clock.Loop
	updates  chan Update
	dials    chan chan net.Conn // each dial sends a channel for its connection, nil to refuse it
	listener net.Listener
	conn     *net.TCPConn // the service's end of the connection
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

// dial is the Watcher's dial function. It waits for the test's answer.
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
		s.t.Fatalf("got request %v, %v, want URL %s", request, err, want)
	}
}

func (s *scriptedService) write(format string, args ...any) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.conn, "HTTP/1.1 200 OK\r\n"+format, args...); err != nil {
		s.t.Fatal(err)
	}
}

// awaitRetry moves the clock to the end of the delay before the next request. It
// ignores the timeouts of a dial and a request that began at beganAt.
func (s *scriptedService) awaitRetry(beganAt float64) {
	for {
		due, ok := s.loop.Next()
		if ok && due != beganAt+dialTimeoutMs && due != beganAt+requestTimeoutMs {
			s.clock.Set(due)
			s.loop.Fire()
			return
		}
		runtime.Gosched()
	}
}

// requestTimeoutMs is the timeout of every request, in milliseconds.
const requestTimeoutMs = 4000

// receive accepts the dial in progress and reads a request.
func (s *scriptedService) receive() {
	s.t.Helper()
	s.connect()
	if _, err := http.ReadRequest(s.in); err != nil {
		s.t.Fatal(err)
	}
}

// writeStatus answers a request with a status and an empty body.
func (s *scriptedService) writeStatus(status string) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status); err != nil {
		s.t.Fatal(err)
	}
}

// writeSnapshot answers a request with an empty list, which must reach OnUpdate.
func (s *scriptedService) writeSnapshot(index int) {
	s.t.Helper()
	body := fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, index)
	s.write("Content-Length: %d\r\n\r\n%s", len(body), body)
	if update := <-s.updates; update.Index != uint64(index) {
		s.t.Fatalf("OnUpdate(%+v), want the index of the response", update)
	}
}

// step waits until there is a deadline within the given milliseconds and moves the
// clock to it.
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

// A connection that falls silent, in a long poll or in a request for the whole
// list, is reopened before the router must know the changes that it misses.
func TestSilentWatchIsReopened(t *testing.T) {
	s := newScriptedService(t, polling.Config{})
	s.connect()
	s.expect(snapshotURL)
	for range 2 { // a request for the whole list, then one for changes
		silentFrom := s.clock.Now()
		s.step(6000) // the request times out
		s.step(500)  // the delay before the next request
		s.connect()
		if took := s.clock.Now() - silentFrom; took > 4500 {
			t.Errorf("reopened after %.0f ms of silence, want at most 4500", took)
		}
		request, err := http.ReadRequest(s.in)
		if err != nil {
			t.Fatal(err)
		}
		if request.URL.String() == snapshotURL {
			s.writeSnapshot(43)
			s.expect(after43URL)
		} else if request.URL.String() != after43URL {
			t.Errorf("got request for %s, want the snapshot or the changes after 43", request.URL)
		}
	}
}

// However earlier requests failed, and however often, a change is requested before
// the router must know it: 6 s after discovery has it and can be reached. That can
// be as early as just after the last failed request began.
func TestChangeIsRequestedInTimeAfterFailures(t *testing.T) {
	const limit = 5000 // leaves time for queueing at the service
	failures := map[string]func(s *scriptedService){
		"refused":   func(s *scriptedService) { <-s.dials <- nil },
		"hangs":     func(s *scriptedService) { <-s.dials; s.step(dialTimeoutMs) },
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
		if !config.PollOnly || config.Routers <= 15 { // an overloaded service can answer that many routers in time
			failures["overloaded"] = overloaded
		}
		for name, fail := range failures {
			s := newScriptedService(t, config)
			for range 12 {
				beganAt := s.clock.Now()
				fail(s)
				s.awaitRetry(beganAt)
				if took := s.clock.Now() - beganAt; took > limit {
					t.Errorf("%s, %s: next request after %.0f ms, want at most %d", mode, name, took, limit)
				}
			}
		}
	}
}

// A dial that hangs times out, and the next one follows soon.
func TestHangingDialTimesOut(t *testing.T) {
	s := newScriptedService(t, polling.Config{})
	<-s.dials // the dial hangs
	beganAt := s.clock.Now()
	s.step(500)
	s.step(500)
	s.connect()
	if took := s.clock.Now() - beganAt; took > 600 {
		t.Errorf("dialled again after %.0f ms, want at most 600", took)
	}
	s.expect(snapshotURL)
}

// A list without a length is complete at EOF but not at a reset. In both cases the
// next request follows within 200 ms.
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
		t.Errorf("reopened %.0f ms after a reset, want at most 200", delay)
	}
	s.expect(snapshotURL)
	s.write("\r\n%s", "{\n\t\"index\": 43,\n\t\"snapshot\": true,\n\t\"endpoints\": []\n}\n")
	if err := s.conn.Close(); err != nil {
		t.Fatal(err)
	}
	if update := <-s.updates; update.Index != 43 || !update.Snapshot {
		t.Errorf("OnUpdate(%+v), want a snapshot at index 43", update)
	}
	s.connect() // without a delay, because EOF is no failure
	s.expect(after43URL)
	if s.clock.Now() > resetAt+200 {
		t.Error("reopened with a delay after a list that ended with its connection")
	}
}
