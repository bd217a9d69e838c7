package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"

	"lotusbend/internal/clock"
	"lotusbend/internal/discovery/polling"
	"lotusbend/internal/netio"
)

// dialTimeoutMs is the timeout of a dial, in milliseconds. It is short because a
// connection is established at once or not at all.
const dialTimeoutMs = 500

// Watcher watches the endpoint list of the discovery service at one address. It
// uses connections of the standard library, unlike the rest of the program, which
// uses netpoll: a response may end at EOF, and netpoll does not distinguish EOF
// from a reset.
type Watcher struct {
	Loop     *clock.Loop
	Log      *slog.Logger
	Address  string // host:port of the discovery service
	IDs      *EndpointIDs
	Schedule *polling.Schedule
	OnUpdate func(Update) // called inside the loop's Do

	dial func(ctx context.Context, address string) (net.Conn, error) // nil for a TCP dial
}

// Run watches the endpoint list until ctx is done. It first requests the whole
// list, unless the schedule resumes from a list that the router holds, and then
// the changes. It blocks. It uses IDs and Schedule outside the loop's Do; no one else
// may use the Schedule until it returns.
func (w *Watcher) Run(ctx context.Context) {
	delay := w.Schedule.InitialDelay()
	for {
		if delay > 0 {
			select {
			case <-ctx.Done():
			case <-w.Loop.After(delay):
			}
		}
		if ctx.Err() != nil {
			return
		}
		var err error
		delay, err = w.pollConnection(ctx)
		if err != nil && ctx.Err() == nil {
			w.Log.Warn("endpoint poll failed",
				"component", "discovery", "error", err, "retry_ms", math.Round(delay))
		}
	}
}

// pollConnection opens a connection and polls on it until the connection ends, a
// request fails or the schedule requires a delay. It returns the delay before the
// next connection, in milliseconds.
func (w *Watcher) pollConnection(ctx context.Context) (delay float64, err error) {
	nc, err := w.connect(ctx)
	if err != nil {
		return w.Schedule.Failed(polling.ConnectionFailed), err
	}
	conn := netio.NewConn(nc)
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	in := bufio.NewReader(nc)
	for {
		poll := w.Schedule.NextPoll()
		answer, took, err := w.poll(conn, in, poll)
		if err != nil {
			return w.Schedule.Failed(classifyFailure(err)), err
		}
		update, err := w.IDs.ParseBytes(answer.body)
		if err != nil {
			return w.Schedule.Failed(polling.Malformed), err
		}
		updated := len(update.Endpoints) > 0 || update.Index != poll.Index
		delay = w.Schedule.Answered(poll, update.Index, update.Snapshot, updated, took)
		w.Loop.Do(func() { w.OnUpdate(update) })
		if answer.last || delay > 0 {
			return delay, nil
		}
	}
}

// poll sends a request and reads its response. If the request times out, it closes
// the connection and returns errTimeout. took is the time from the request to the
// response, in milliseconds.
func (w *Watcher) poll(
	conn *netio.Conn, in *bufio.Reader, poll polling.Poll,
) (answer response, took float64, err error) {
	var sentAt float64
	var timeout *clock.Deadline
	timedOut := false
	w.Loop.Do(func() {
		sentAt = w.Loop.Now()
		timeout = w.Loop.At(sentAt+poll.Timeout, func() {
			timedOut = true
			conn.Close()
		})
	})
	conn.Send(w.request(poll), nil)
	answer, err = readResponse(in)
	w.Loop.Do(func() {
		w.Loop.Cancel(timeout)
		took = w.Loop.Now() - sentAt
		if timedOut {
			err = errTimeout
		}
	})
	return answer, took, err
}

// connect dials the discovery service. It gives up after dialTimeoutMs.
func (w *Watcher) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var timeout *clock.Deadline
	w.Loop.Do(func() { timeout = w.Loop.At(w.Loop.Now()+dialTimeoutMs, cancel) })
	defer w.Loop.Do(func() { w.Loop.Cancel(timeout) })
	if w.dial != nil {
		return w.dial(ctx, w.Address)
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", w.Address)
}

// request returns the HTTP request of a poll.
func (w *Watcher) request(poll polling.Poll) []byte {
	b := []byte("GET /v1/endpoints")
	if poll.Incremental {
		b = fmt.Appendf(b, "?after=%d&wait_ms=%.0f", poll.Index, poll.LongPoll)
	}
	return fmt.Appendf(b, " HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", w.Address)
}

// errTimeout is the error of a request without a response within its timeout.
var errTimeout = errors.New("discovery: request timed out")

// classifyFailure returns the kind of failure that the schedule distinguishes.
func classifyFailure(err error) polling.Failure {
	switch {
	case errors.Is(err, errTimeout):
		return polling.TimedOut
	case errors.Is(err, errOverloaded):
		return polling.Overloaded
	case errors.Is(err, errStatus):
		return polling.ErrorStatus
	}
	return polling.ConnectionFailed
}
