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

// script is a watch of which the test makes every connection, at a clock that
// stands still until the test moves it to the next deadline.
type script struct {
	t     *testing.T
	at    *clock.Clock
	loop  *clock.Loop
	news  chan Update
	dials chan chan net.Conn // a nil connection is a refusal
	l     net.Listener
	c     *net.TCPConn // discovery's end
	in    *bufio.Reader
}

func newScript(t *testing.T, config polling.Config) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &script{t: t, at: clock.Manual(1e6), news: make(chan Update, 9), dials: make(chan chan net.Conn), l: l}
	s.loop = clock.NewLoop(s.at)
	w := &Watcher{
		Loop: s.loop, Log: slog.New(slog.DiscardHandler), IDs: NewEndpointIDs(nil),
		Schedule: polling.NewSchedule(config, 1), OnUpdate: func(n Update) { s.news <- n },
		dial: func(ctx context.Context, _ string) (net.Conn, error) {
			to := make(chan net.Conn)
			select {
			case s.dials <- to:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			select {
			case c := <-to:
				if c == nil {
					return nil, syscall.ECONNREFUSED
				}
				return c, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	t.Cleanup(func() { cancel(); <-ended })
	go func() { defer close(ended); w.Run(ctx) }()
	return s
}

// connect lets the dial under way come up.
func (s *script) connect() {
	s.t.Helper()
	to := <-s.dials
	c, err := net.Dial("tcp", s.l.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	end, err := s.l.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = end.Close() })
	s.c, s.in = end.(*net.TCPConn), bufio.NewReader(end)
	to <- c
}

func (s *script) asked(want string) {
	s.t.Helper()
	r, err := http.ReadRequest(s.in)
	if err != nil || r.URL.String() != want {
		s.t.Fatalf("asked %v, %v; want %s", r, err, want)
	}
}

func (s *script) write(format string, args ...any) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.c, "HTTP/1.1 200 OK\r\n"+format, args...); err != nil {
		s.t.Fatal(err)
	}
}

// rest lets the rest before the next call pass, and leaves the deadlines of the
// dial and the call that began then.
func (s *script) rest(began float64) {
	for {
		due, ok := s.loop.Next()
		if ok && due != began+dialTimeout && due != began+callLimit {
			s.at.Set(due)
			s.loop.Fire()
			return
		}
		runtime.Gosched()
	}
}

// callLimit is when any call is given up.
const callLimit = 4000

// call lets the dial under way come up, and reads the call.
func (s *script) call() {
	s.t.Helper()
	s.connect()
	if _, err := http.ReadRequest(s.in); err != nil {
		s.t.Fatal(err)
	}
}

// status answers with no list.
func (s *script) status(status string) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status); err != nil {
		s.t.Fatal(err)
	}
}

func (s *script) list(index int) {
	s.t.Helper()
	body := fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, index)
	s.write("Content-Length: %d\r\n\r\n%s", len(body), body)
	if n := <-s.news; n.Index != uint64(index) {
		s.t.Fatalf("heard %+v", n)
	}
}

// step lets time pass to the next deadline, once there is one so soon.
func (s *script) step(within float64) {
	for {
		if due, ok := s.loop.Next(); ok && due <= s.at.Now()+within {
			s.at.Set(due)
			s.loop.Fire()
			return
		}
		runtime.Gosched()
	}
}

const (
	whole   = "/v1/endpoints"
	after43 = "/v1/endpoints?after=43&wait_ms=3000"
)

// A watch that falls silent, in a call that waits or in one that does not, is
// opened anew before what it misses counts as told.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	s := newScript(t, polling.Config{})
	s.connect()
	s.asked(whole)
	for range 2 { // for the whole list, then for changes
		silent := s.at.Now()
		s.step(6000) // the call is given up
		s.step(500)  // after a rest
		s.connect()
		if took := s.at.Now() - silent; took > 4500 {
			t.Errorf("opened anew after %.0f ms of silence", took)
		}
		r, err := http.ReadRequest(s.in)
		if err != nil {
			t.Fatal(err)
		}
		if r.URL.String() == whole {
			s.list(43)
			s.asked(after43)
		} else if r.URL.String() != after43 {
			t.Errorf("asked %s", r.URL)
		}
	}
}

// Whatever became of the calls before, and however often, a change is asked for
// before it counts as told, 6 s after discovery had it and could be reached:
// at the earliest just after the last failing call had begun.
func TestChangeIsAskedForInTimeAfterAnyFailures(t *testing.T) {
	const inTime = 5000 // a turn at the service comes on top
	failures := map[string]func(s *script){
		"refused":   func(s *script) { <-s.dials <- nil },
		"hangs":     func(s *script) { <-s.dials; s.step(dialTimeout) },
		"ended":     func(s *script) { s.call(); _ = s.c.Close() },
		"reset":     func(s *script) { s.call(); _ = s.c.SetLinger(0); _ = s.c.Close() },
		"silent":    func(s *script) { s.call(); s.step(6000) },
		"error":     func(s *script) { s.call(); s.status("500 Internal Server Error") },
		"no list":   func(s *script) { s.call(); s.write("Content-Length: 1\r\n\r\n[") },
		"cut short": func(s *script) { s.call(); s.write("Content-Length: 9\r\n\r\n["); _ = s.c.Close() },
	}
	busy := func(s *script) { s.call(); s.status("503 Service Unavailable") }
	for mode, config := range map[string]polling.Config{
		"pushed": {Routers: 300}, "asked": {Routers: 300, PollOnly: true, PollInterval: 10000},
		"asked by many": {Routers: 3000, PollOnly: true, PollInterval: 60000}, "asked, untold": {Routers: 300, PollOnly: true},
		"asked by few": {Routers: 15, PollOnly: true, PollInterval: 10000},
	} {
		failures := maps.Clone(failures)
		if !config.PollOnly || config.Routers <= 15 { // one service can answer so many in this time, however busy
			failures["busy"] = busy
		}
		for name, fail := range failures {
			s := newScript(t, config)
			for range 12 {
				began := s.at.Now()
				fail(s)
				s.rest(began)
				if took := s.at.Now() - began; took > inTime {
					t.Errorf("%s, %s: the next call comes after %.0f ms", mode, name, took)
				}
			}
		}
	}
}

// A dial that hangs is given up, and another one comes soon.
func TestDialThatHangsIsGivenUp(t *testing.T) {
	s := newScript(t, polling.Config{})
	<-s.dials // and it hangs
	began := s.at.Now()
	s.step(500)
	s.step(500)
	s.connect()
	if took := s.at.Now() - began; took > 600 {
		t.Errorf("dialled anew after %.0f ms", took)
	}
	s.asked(whole)
}

// A list without a length is whole at its connection's end, and not where the
// connection was reset. The next call comes within 200 ms, so that the watch
// goes on.
func TestEndOfConnectionEndsAListAndAResetDoesNot(t *testing.T) {
	s := newScript(t, polling.Config{})
	s.connect()
	s.asked(whole)
	s.write("\r\n%s", `{"index":42,"snapshot":true,"endpoints":[]}`)
	if err := errors.Join(s.c.SetLinger(0), s.c.Close()); err != nil {
		t.Fatal(err)
	}
	reset := s.at.Now()
	s.step(500)
	s.connect()
	if rest := s.at.Now() - reset; rest > 200 {
		t.Errorf("the watch is opened anew after %.0f ms", rest)
	}
	s.asked(whole)
	s.write("\r\n%s", "{\n\t\"index\": 43,\n\t\"snapshot\": true,\n\t\"endpoints\": []\n}\n")
	if err := s.c.Close(); err != nil {
		t.Fatal(err)
	}
	if n := <-s.news; n.Index != 43 || !n.Snapshot {
		t.Errorf("heard %+v", n)
	}
	s.connect() // at once: it was no failure
	s.asked(after43)
	if s.at.Now() > reset+200 {
		t.Error("a list that ends its connection is followed by a rest")
	}
}
