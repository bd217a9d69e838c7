package lab

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/frames"
	"lotusbend/internal/postgres/wire"
)

// plain is the edge that a drill is compared with: it acknowledges on receipt
// and writes behind, each resend under a new key. It stands before a router's
// PostgreSQL side and lives as long as the drill.
type plain struct {
	address string
	ln      net.Listener
	router  string
	codec   *batch.Codec
	queue   chan string // values to write
	mu      sync.Mutex
	rand    *rand.Rand
	stop    context.CancelFunc
}

func startPlain(ctx context.Context, router string, seed uint64) (*plain, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &plain{address: ln.Addr().String(), ln: ln, router: router, codec: batch.NewCodec(), queue: make(chan string, 10000),
		rand: rand.New(rand.NewPCG(seed, 0x97a1)), stop: cancel}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	for range 4 {
		go p.write(ctx)
	}
	return p, nil
}

func (p *plain) close() {
	p.stop()
	_ = p.ln.Close()
}

func (p *plain) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(time.Minute)) // it fails only on a closed connection
		head := make([]byte, frames.HeaderLen)
		if _, err := io.ReadFull(in, head); err != nil {
			return
		}
		body := make([]byte, min(binary.BigEndian.Uint32(head), 1<<16))
		if _, err := io.ReadFull(in, body); err != nil || len(body) < 2 {
			return
		}
		var answer any
		switch frames.Kind(body[1]) {
		case frames.KindHello:
			answer = frames.Welcome{Kind: frames.KindWelcome, Mark: float64(time.Now().UnixMilli()), Window: 8}
		case frames.KindReadings:
			var f frames.Readings
			if err := p.codec.Decode(body, &f); err != nil {
				return
			}
			a := frames.Answer{Kind: frames.KindAnswer, ID: f.ID, Mark: f.Mark}
			for _, r := range f.Batch.Readings {
				a.Ranges = append(a.Ranges, frames.Range{From: r.Seq, To: r.Seq})
				select {
				case p.queue <- string(r.Value):
				default: // full: lost, as such an edge loses
				}
			}
			answer = a
		}
		if _, err := c.Write(frames.Append(nil, p.codec, answer)); err != nil {
			return
		}
	}
}

// write sends what was queued to the router, a new key for each attempt.
func (p *plain) write(ctx context.Context) {
	var c net.Conn
	var in *bufio.Reader
	for {
		var value string
		select {
		case <-ctx.Done():
			if c != nil {
				_ = c.Close()
			}
			return
		case value = <-p.queue:
		}
		for range 3 {
			if c == nil {
				var err error
				if c, err = net.DialTimeout("tcp", p.router, time.Second); err != nil {
					c = nil
					time.Sleep(200 * time.Millisecond)
					continue
				}
				in = bufio.NewReader(c)
				_, _ = c.Write(wire.AppendStartup(nil, "app", "shop")) // the read tells
				if code, err := answer(c, in); err != nil || code != "" {
					_ = c.Close()
					c = nil
					continue
				}
			}
			p.mu.Lock()
			id, key, row, group := p.rand.Uint64(), p.rand.Uint64(), p.rand.Uint64(), 1+p.rand.IntN(2)
			p.mu.Unlock()
			text := fmt.Sprintf(`INSERT INTO items (id, doc) VALUES ('%016x', '\x%x') RETURNING doc /* id=%016x,c=ledger-write,d=1200,k=%016x,cluster=%d */`,
				row, value, id, key, group)
			_, _ = c.Write(wire.AppendQuery(nil, []byte(text)))
			code, err := answer(c, in)
			if err != nil {
				_ = c.Close()
				c = nil
				continue
			}
			if code == "" {
				break
			}
		}
	}
}

// answer reads up to ReadyForQuery and returns an error's code.
func answer(c net.Conn, in *bufio.Reader) (code string, err error) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		head := make([]byte, wire.HeaderLen)
		if _, err := io.ReadFull(in, head); err != nil {
			return code, err
		}
		kind, n, err := wire.Header(head)
		if err != nil {
			return code, err
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(in, body); err != nil {
			return code, err
		}
		switch kind {
		case wire.ErrorResponse:
			if e, err := wire.ParseError(body); err == nil {
				code = string(e.Code)
			}
		case wire.ReadyForQuery:
			return code, nil
		}
	}
}
