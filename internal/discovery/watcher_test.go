package discovery

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"

	"lotusbend/internal/clock"
	"lotusbend/internal/discovery/polling"
)

// service is the list's end of a watch, scripted.
type service struct {
	t       *testing.T
	l       net.Listener
	c       net.Conn
	in      *bufio.Reader
	advance func()
}

// asked reads the next call, on a new connection if the last one was ended.
func (s *service) asked(want string) {
	s.t.Helper()
	if s.c == nil {
		c, err := s.l.Accept()
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = c.Close() })
		s.c, s.in = c, bufio.NewReader(c)
	}
	r, err := http.ReadRequest(s.in)
	if err != nil || r.URL.String() != want {
		s.t.Fatalf("asked %v, %v; want %s", r, err, want)
	}
}

func (s *service) answer(status, body string) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body); err != nil {
		s.t.Fatal(err)
	}
	if status != "200 OK" {
		s.c = nil
		s.advance()
	}
}

// A router that holds a list asks for what has changed since, also after the
// service was too busy for it; a service that does not know the list's index,
// or tells what is no list, is asked for the whole.
func TestWatchGoesOnFromTheListItHolds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	at := clock.Manual(1e6)
	loop := clock.NewLoop(at)
	s := &service{t: t, l: l, advance: func() {
		for { // until the router waits for its next call
			if due, ok := loop.Next(); ok && due < at.Now()+1000 {
				at.Set(due)
				loop.Fire()
				return
			}
			runtime.Gosched()
		}
	}}
	news := make(chan Update, 9)
	w := &Watcher{
		Loop: loop, Log: slog.New(slog.DiscardHandler), Address: l.Addr().String(), IDs: NewEndpointIDs(nil),
		Schedule: polling.NewSchedule(polling.Config{}, 1), OnUpdate: func(n Update) { news <- n },
	}
	w.Schedule.Resume(41)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx)
	const whole = "/v1/endpoints"
	for range 3 {
		s.asked(whole + "?after=41&wait_ms=3000")
		s.answer("503 Service Unavailable", "")
	}
	s.asked(whole + "?after=41&wait_ms=3000")
	s.answer("200 OK", `{"index":43,"snapshot":false,"endpoints":[{"name":"a","status":"ready"}]}`)
	if n := <-news; n.Index != 43 || n.Snapshot || len(n.Endpoints) != 1 {
		t.Errorf("heard %+v", n)
	}
	s.asked(whole + "?after=43&wait_ms=3000")
	s.answer("410 Gone", "")
	s.asked(whole)
	s.answer("200 OK", `{"index":7,"snapshot":true,"endpoints":[]}`)
	s.asked(whole + "?after=7&wait_ms=3000")
	s.answer("200 OK", `{"index":`)
	s.c = nil
	s.advance()
	s.asked(whole)
}
