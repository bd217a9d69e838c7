package lab

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
)

const (
	baselineWriters    = 4
	baselineAttempts   = 3 // per write
	baselineQueueLimit = 10000
)

// baselineEdge is a simple edge that the drill compares the router's edge with. It
// acknowledges readings on receipt and writes them later, each attempt with a new
// idempotency key. It connects to a router's PostgreSQL front and keeps running when
// the router is killed.
type baselineEdge struct {
	address  string // host:port that devices connect to
	listener net.Listener
	router   string // host:port of the router's PostgreSQL front
	codec    *batch.Codec
	queue    chan string // values to write
	stop     context.CancelFunc

	mu   sync.Mutex
	rand *rand.Rand
}

// startBaselineEdge starts a baseline edge in front of a router. The caller must call
// close.
func startBaselineEdge(ctx context.Context, router string, seed uint64) (*baselineEdge, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("lab: starting the baseline edge: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	e := &baselineEdge{
		address:  listener.Addr().String(),
		listener: listener,
		router:   router,
		codec:    batch.NewCodec(),
		queue:    make(chan string, baselineQueueLimit),
		rand:     rand.New(rand.NewPCG(seed, 0x97a1)),
		stop:     cancel,
	}
	go e.accept()
	for range baselineWriters {
		go e.writeQueued(ctx)
	}
	return e, nil
}

func (e *baselineEdge) close() {
	e.stop()
	_ = e.listener.Close()
}

// accept serves connections of devices until close is called.
func (e *baselineEdge) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// serve answers the frames of a device until the connection ends.
func (e *baselineEdge) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
			return
		}
		body, err := readFrame(in, 1<<16)
		if err != nil || len(body) < 2 {
			return
		}
		answer, err := e.answer(body)
		if err != nil {
			return
		}
		if _, err := conn.Write(frames.Append(nil, e.codec, answer)); err != nil {
			return
		}
	}
}

// readFrame reads a frame. It reads at most maxBytes of its body.
func readFrame(in io.Reader, maxBytes uint32) ([]byte, error) {
	header := make([]byte, frames.HeaderLen)
	if _, err := io.ReadFull(in, header); err != nil {
		return nil, err
	}
	body := make([]byte, min(binary.BigEndian.Uint32(header), maxBytes))
	_, err := io.ReadFull(in, body)
	return body, err
}

// answer returns the answer to a frame and queues the readings in it. Readings that do
// not fit into the queue are lost although they are acknowledged. It returns nil for
// a frame that is neither a hello nor has readings. body has at least 2 bytes: the
// header of a CBOR array and the frame's kind.
func (e *baselineEdge) answer(body []byte) (any, error) {
	switch frames.Kind(body[1]) {
	case frames.KindHello:
		now := float64(time.Now().UnixMilli())
		return frames.Welcome{Kind: frames.KindWelcome, Mark: now, Window: 8}, nil
	case frames.KindReadings:
		var readings frames.Readings
		if err := e.codec.Decode(body, &readings); err != nil {
			return nil, err
		}
		answer := frames.Answer{Kind: frames.KindAnswer, ID: readings.ID, Mark: readings.Mark}
		for _, reading := range readings.Batch.Readings {
			answer.Ranges = append(answer.Ranges, frames.Range{From: reading.Seq, To: reading.Seq})
			select {
			case e.queue <- string(reading.Value):
			default:
			}
		}
		return answer, nil
	}
	return nil, nil
}

// writeQueued writes queued values to the router until ctx is done.
func (e *baselineEdge) writeQueued(ctx context.Context) {
	var client *pgClient
	for {
		select {
		case <-ctx.Done():
			if client != nil {
				client.close()
			}
			return
		case value := <-e.queue:
			client = e.write(client, value)
		}
	}
}

// write writes a value with up to baselineAttempts attempts; a failed connect counts as
// one. It uses the given connection, or a new one if that is nil. It returns the
// connection, or nil if it broke.
func (e *baselineEdge) write(client *pgClient, value string) *pgClient {
	for range baselineAttempts {
		if client == nil {
			var err error
			client, err = dialPostgres(e.router, pgDialTimeout)
			if err != nil {
				client = nil
				if !errors.Is(err, errStartup) { // the router is down
					time.Sleep(200 * time.Millisecond)
				}
				continue
			}
		}
		code, err := client.query(e.newInsert(value))
		if err != nil {
			client.close()
			client = nil
			continue
		}
		if code == "" {
			break
		}
	}
	return client
}

// newInsert returns a statement that writes a value to a random one of the two groups,
// with a new row and key.
func (e *baselineEdge) newInsert(value string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := e.rand.Uint64()
	key := e.rand.Uint64()
	row := e.rand.Uint64()
	group := 1 + e.rand.IntN(2)
	return insertStatement(row, value, id, key, group)
}
