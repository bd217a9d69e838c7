package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"strconv"

	"lotusbend/internal/clock"
	"lotusbend/internal/discovery/polling"
	"lotusbend/internal/netio"
)

const (
	dialTimeout = 500     // milliseconds; a connection comes up at once or never
	maxBody     = 4 << 20 // of a list
	maxHead     = 64 << 10
)

// Watcher follows the list. It is the one place that uses the standard
// library's connections instead of netpoll's: a list may end with its
// connection, and netpoll does not tell an end from a reset.
type Watcher struct {
	Loop     *clock.Loop
	Log      *slog.Logger
	Address  string
	IDs      *EndpointIDs
	Schedule *polling.Schedule
	OnUpdate func(Update) // called inside the loop's Do

	dial func(ctx context.Context, address string) (net.Conn, error) // nil for the system's
}

// Run follows the list until ctx ends: the whole of it first, unless the
// router holds one to go on from, then what changes. It waits for news in the
// goroutine that calls it.
func (w *Watcher) Run(ctx context.Context) {
	rest := w.Schedule.InitialDelay()
	for {
		if rest > 0 {
			select {
			case <-ctx.Done():
			case <-w.Loop.After(rest):
			}
		}
		if ctx.Err() != nil {
			return
		}
		var err error
		if rest, err = w.follow(ctx); err != nil && ctx.Err() == nil {
			w.Log.Warn("discovery", "error", err, "retry_ms", math.Round(rest))
		}
	}
}

// follow makes one connection and calls until it ends or something fails. It
// returns how long to rest before the next.
func (w *Watcher) follow(ctx context.Context) (rest float64, err error) {
	nc, err := w.connect(ctx)
	if err != nil {
		return w.Schedule.Failed(polling.ConnectionFailed), err
	}
	link := netio.NewConn(nc)
	defer link.Close()
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	in := bufio.NewReader(nc)
	for {
		call := w.Schedule.NextPoll()
		var since float64
		var overdue *clock.Deadline
		silent := false
		w.Loop.Do(func() {
			since = w.Loop.Now()
			overdue = w.Loop.At(since+call.Timeout, func() {
				silent = true
				link.Close()
			})
		})
		link.Send(w.request(call), nil)
		body, last, err := readResponse(in)
		var took float64
		w.Loop.Do(func() {
			w.Loop.Cancel(overdue)
			took = w.Loop.Now() - since
			if silent {
				err = errSilent
			}
		})
		if err != nil {
			return w.Schedule.Failed(failure(err)), err
		}
		list, err := w.IDs.ParseBytes(body)
		if err != nil {
			return w.Schedule.Failed(polling.Malformed), err
		}
		rest = w.Schedule.Answered(call, list.Index, list.Snapshot, len(list.Endpoints) > 0 || list.Index != call.Index, took)
		w.Loop.Do(func() { w.OnUpdate(list) })
		if last || rest > 0 {
			return rest, nil
		}
	}
}

// connect dials within dialTimeout.
func (w *Watcher) connect(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var overdue *clock.Deadline
	w.Loop.Do(func() { overdue = w.Loop.At(w.Loop.Now()+dialTimeout, cancel) })
	defer w.Loop.Do(func() { w.Loop.Cancel(overdue) })
	if w.dial != nil {
		return w.dial(ctx, w.Address)
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", w.Address)
}

func (w *Watcher) request(c polling.Poll) []byte {
	b := []byte("GET /v1/endpoints")
	if c.Incremental {
		b = fmt.Appendf(b, "?after=%d&wait_ms=%.0f", c.Index, c.LongPoll)
	}
	return fmt.Appendf(b, " HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", w.Address)
}

func failure(err error) polling.Failure {
	switch {
	case errors.Is(err, errSilent):
		return polling.TimedOut
	case errors.Is(err, errBusy):
		return polling.Overloaded
	case errors.Is(err, errStatus):
		return polling.ErrorStatus
	}
	return polling.ConnectionFailed
}

var (
	errHTTP   = errors.New("discovery: malformed response")
	errStatus = errors.New("discovery: no list")
	errBusy   = errors.New("busy")
	errSilent = errors.New("discovery: no answer in time")
)

// readResponse reads one HTTP/1.1 response; last tells that none can follow. A
// body without a length ends with the connection: with its end, as a reset says
// that something is missing.
func readResponse(in *bufio.Reader) (body []byte, last bool, err error) {
	line, err := readLine(in)
	if err != nil {
		return nil, false, err
	}
	switch {
	case bytes.HasPrefix(line, []byte("HTTP/1.1 200")):
	case bytes.HasPrefix(line, []byte("HTTP/1.1 503")):
		return nil, false, fmt.Errorf("%w: %w", errStatus, errBusy)
	case bytes.HasPrefix(line, []byte("HTTP/1.")):
		return nil, false, fmt.Errorf("%w: %.40q", errStatus, line)
	default:
		return nil, false, fmt.Errorf("%w: %.40q", errHTTP, line)
	}
	length, chunked := -1, false
	for head := 0; ; {
		if line, err = readLine(in); err != nil {
			return nil, false, err
		}
		if len(line) == 0 {
			break
		}
		if head += len(line); head > maxHead {
			return nil, false, fmt.Errorf("%w: a head of over %d bytes", errHTTP, maxHead)
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 || length > maxBody {
				return nil, false, fmt.Errorf("%w: length %q", errHTTP, value)
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			chunked = bytes.EqualFold(value, []byte("chunked"))
		case bytes.EqualFold(name, []byte("Connection")):
			last = bytes.EqualFold(value, []byte("close"))
		}
	}
	switch {
	case chunked:
		body, err = readChunks(in)
	case length < 0:
		last = true
		if body, err = io.ReadAll(io.LimitReader(in, maxBody+1)); err == nil && len(body) > maxBody {
			err = fmt.Errorf("%w: over %d bytes", errHTTP, maxBody)
		}
	default:
		body, err = readFull(in, length)
	}
	if err != nil {
		return nil, false, err
	}
	return body, last, nil
}

// readLine reads a line, as long as the reader's buffer at most, which holds it
// up to the next read.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("%w: a line of over %d bytes", errHTTP, len(line))
	}
	if err != nil {
		return nil, cut(err)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readFull reads n bytes. What does not come takes no memory.
func readFull(in *bufio.Reader, n int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in, int64(n)))
	if err == nil && len(body) < n {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// cut says that an end came too early.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readChunks(in *bufio.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
		if err != nil || len(body)+int(n) > maxBody {
			return nil, fmt.Errorf("%w: chunk %.40q", errHTTP, line)
		}
		if n == 0 {
			return body, readTrailers(in)
		}
		chunk, err := readFull(in, int(n))
		if err != nil {
			return nil, err
		}
		body = append(body, chunk...)
		if end, err := readLine(in); err != nil || len(end) > 0 {
			return nil, cmp.Or(err, fmt.Errorf("%w: a chunk without its end", errHTTP))
		}
	}
}

// readTrailers passes over what may follow the last chunk, up to an empty line.
func readTrailers(in *bufio.Reader) error {
	for head := 0; head <= maxHead; {
		line, err := readLine(in)
		if err != nil || len(line) == 0 {
			return err
		}
		head += len(line)
	}
	return fmt.Errorf("%w: trailers of over %d bytes", errHTTP, maxHead)
}
