package discovery

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"lotusbend/internal/clock"
	"lotusbend/internal/discovery/polling"
)

// service is a discovery service whose responses the test writes.
type service struct {
	t        *testing.T
	listener net.Listener
	conn     net.Conn // nil once the connection has ended
	in       *bufio.Reader
	clock    *clock.Clock
	loop     *clock.Loop
}

// expect reads the next request, which must have the given URL. It accepts a new
// connection if the last one has ended.
func (s *service) expect(want string) {
	s.t.Helper()
	if s.conn == nil {
		conn, err := s.listener.Accept()
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = conn.Close() })
		s.conn = conn
		s.in = bufio.NewReader(conn)
	}
	request, err := http.ReadRequest(s.in)
	if err != nil || request.URL.String() != want {
		s.t.Fatalf("got request %v, %v, want URL %s", request, err, want)
	}
}

// answer writes a response. After a status other than 200 the watcher ends the
// connection.
func (s *service) answer(status, body string) {
	s.t.Helper()
	_, err := fmt.Fprintf(s.conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	if err != nil {
		s.t.Fatal(err)
	}
	if status != "200 OK" {
		s.endConnection()
	}
}

// endConnection forgets the connection and moves the clock past the delay that
// follows a failed request.
func (s *service) endConnection() {
	s.conn = nil
	for {
		if due, ok := s.loop.Next(); ok && due < s.clock.Now()+1000 {
			s.clock.Set(due)
			s.loop.Fire()
			return
		}
		runtime.Gosched()
	}
}

// A router that holds a list requests the changes since then, even after the
// service was overloaded. If the service does not know the list's index, or its
// response is malformed, the router requests the whole list.
func TestWatchResumesFromHeldList(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &service{t: t, listener: listener, clock: clock.Manual(1e6)}
	s.loop = clock.NewLoop(s.clock)
	updates := make(chan Update, 9)
	watcher := &Watcher{
		Loop:     s.loop,
		Log:      slog.New(slog.DiscardHandler),
		Address:  listener.Addr().String(),
		IDs:      NewEndpointIDs(nil),
		Schedule: polling.NewSchedule(polling.Config{}, 1),
		OnUpdate: func(update Update) { updates <- update },
	}
	watcher.Schedule.Resume(41)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go watcher.Run(ctx)

	for range 3 {
		s.expect(snapshotURL + "?after=41&wait_ms=3000")
		s.answer("503 Service Unavailable", "")
	}
	s.expect(snapshotURL + "?after=41&wait_ms=3000")
	s.answer("200 OK", `{"index":43,"snapshot":false,"endpoints":[{"name":"a","status":"ready"}]}`)
	if update := <-updates; update.Index != 43 || update.Snapshot || len(update.Endpoints) != 1 {
		t.Errorf("OnUpdate(%+v), want one change at index 43", update)
	}
	s.expect(snapshotURL + "?after=43&wait_ms=3000")
	s.answer("410 Gone", "")
	s.expect(snapshotURL)
	s.answer("200 OK", `{"index":7,"snapshot":true,"endpoints":[]}`)
	s.expect(snapshotURL + "?after=7&wait_ms=3000")
	s.answer("200 OK", `{"index":`)
	s.endConnection()
	s.expect(snapshotURL)
}

// A failed poll is logged as one event with its component, error and retry delay.
// Operators and the tests of cmd/lotusbend look for it.
func TestFailedPollIsLogged(t *testing.T) {
	loop := clock.NewLoop(clock.Manual(1e6))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lines := make(chan string, 1)
	watcher := &Watcher{
		Loop:     loop,
		Log:      slog.New(slog.NewTextHandler(lineWriter(lines), nil)),
		IDs:      NewEndpointIDs(nil),
		Schedule: polling.NewSchedule(polling.Config{}, 1),
		dial:     func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
	}
	go watcher.Run(ctx)
	line := <-lines
	for _, want := range []string{`level=WARN msg="endpoint poll failed" component=discovery error="`, "retry_ms="} {
		if !strings.Contains(line, want) {
			t.Errorf("logged %q, want it to contain %q", line, want)
		}
	}
}

// lineWriter sends each write to the channel as a line.
type lineWriter chan<- string

func (w lineWriter) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}
