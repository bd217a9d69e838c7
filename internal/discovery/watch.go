package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"strconv"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/clock"
	"lotusbend/internal/discovery/pace"
	"lotusbend/internal/netio"
)

const (
	watchWait   = 10000 // milliseconds that one call may wait for news
	silence     = 2000  // more than that, and the call is given up
	dialTimeout = 1000
	maxBody     = 4 << 20
)

// Watcher follows the list.
type Watcher struct {
	Loop    *clock.Loop
	Log     *slog.Logger
	Address string
	Names   *Names
	Pace    *pace.Pace
	News    func(List) // called inside the loop's Do
	// Index is that of the list the router holds, if Resumes: then only what
	// has changed since is asked for. A whole list is more work for the
	// service, and all ask for it at once after a restart of many.
	Index   uint64
	Resumes bool
}

// Run follows the list until ctx ends: the whole of it first, unless the
// router holds one to go on from, then what changes. It waits for news in the goroutine that calls it.
func (w *Watcher) Run(ctx context.Context) {
	wait := w.Pace.First(w.Resumes)
	for {
		if wait > 0 {
			select {
			case <-ctx.Done():
			case <-w.Loop.After(wait):
			}
		}
		if ctx.Err() != nil {
			return
		}
		err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		wait = w.Pace.Failed()
		w.Log.Warn("discovery", "error", err, "retry_ms", math.Round(wait))
	}
}

// follow makes one connection and calls until something fails.
func (w *Watcher) follow(ctx context.Context) error {
	nc, err := netpoll.DialConnection("tcp", w.Address, clock.Duration(dialTimeout))
	if err != nil {
		return err
	}
	link := netio.NewConn(nc)
	defer link.Close()
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	for {
		path := "/v1/endpoints"
		if w.Resumes {
			path += fmt.Sprintf("?after=%d&wait_ms=%d", w.Index, watchWait)
		}
		var overdue *clock.Deadline
		w.Loop.Do(func() { overdue = w.Loop.At(w.Loop.Now()+watchWait+silence, link.Close) })
		link.Send([]byte("GET "+path+" HTTP/1.1\r\nHost: "+w.Address+"\r\nAccept: application/json\r\n\r\n"), nil)
		body, last, err := readResponse(nc.Reader())
		w.Loop.Do(func() { w.Loop.Cancel(overdue) })
		if errors.Is(err, errStatus) { // busy is what every call may hear; else the index may be at fault
			w.Resumes = w.Resumes && errors.Is(err, errBusy)
		}
		if err != nil {
			return err
		}
		list, err := w.Names.ParseBytes(body)
		if err != nil {
			w.Resumes = false
			return err
		}
		if err := nc.Reader().Release(); err != nil {
			return err
		}
		w.Pace.Heard()
		w.Index, w.Resumes = list.Index, true
		w.Loop.Do(func() { w.News(list) })
		if last {
			return errors.New("discovery: the connection ends")
		}
	}
}

var (
	errHTTP   = errors.New("discovery: malformed response")
	errStatus = errors.New("discovery: no list")
	errBusy   = errors.New("busy")
)

// readResponse reads one HTTP/1.1 response; last tells that none can follow.
// The body is a slice of the read buffer unless it came in chunks.
func readResponse(in netpoll.Reader) (body []byte, last bool, err error) {
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
	for {
		if line, err = readLine(in); err != nil {
			return nil, false, err
		}
		if len(line) == 0 {
			break
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
		err = fmt.Errorf("%w: no length", errHTTP)
	case length > 0:
		body, err = in.Next(length)
	}
	return body, last, err
}

// maxLine bounds a header line.
const maxLine = 8 << 10

func readLine(in netpoll.Reader) ([]byte, error) {
	line, err := in.Until('\n')
	if err != nil {
		return nil, err
	}
	if len(line) > maxLine {
		return nil, fmt.Errorf("%w: a line of %d bytes", errHTTP, len(line))
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func readChunks(in netpoll.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
		if err != nil || len(body)+int(n) > maxBody {
			return nil, fmt.Errorf("%w: chunk %q", errHTTP, line)
		}
		if n == 0 {
			for len(line) > 0 { // what may trail, up to an empty line
				if line, err = readLine(in); err != nil {
					return nil, err
				}
			}
			return body, nil
		}
		chunk, err := in.Next(int(n))
		if err != nil {
			return nil, err
		}
		body = append(body, chunk...)
		if _, err := readLine(in); err != nil {
			return nil, err
		}
	}
}
