package lab

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lotusbend/internal/postgres/wire"
)

// askerConns bounds the connections of one asker: a request that finds none
// free is not sent.
const askerConns = 64

// asker is the clients of one router: it sends reads at a rate, whatever
// becomes of the earlier ones.
type asker struct {
	index  int // of its router, in each request's id
	router string
	rand   *rand.Rand
	seq    uint64
	free   chan *askerConn
	open   atomic.Int64
	wg     sync.WaitGroup

	Served, Refused, Broken atomic.Int64
}

type askerConn struct {
	c  net.Conn
	in *bufio.Reader
}

func newAsker(index int, router string, seed uint64) *asker {
	return &asker{index: index, router: router, rand: rand.New(rand.NewPCG(seed, uint64(index)+0xa5)), free: make(chan *askerConn, askerConns)}
}

// run sends reads of a class to a group until ctx ends; rate, in requests a
// second, is asked before each.
func (a *asker) run(ctx context.Context, group int, class string, rate func() float64) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		rnd := rand.New(rand.NewPCG(a.rand.Uint64(), uint64(group)))
		for ctx.Err() == nil {
			r := rate()
			if r <= 0 {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			time.Sleep(time.Duration(rnd.ExpFloat64() / r * float64(time.Second)))
			id := uint64(a.index)<<48 | atomic.AddUint64(&a.seq, 1)
			text := fmt.Sprintf(`SELECT doc FROM items WHERE id = '%016x' /* id=%016x,c=%s,d=1200,cluster=%d */`, id, id, class, group)
			a.wg.Add(1)
			go func() {
				defer a.wg.Done()
				a.ask(text)
			}()
		}
	}()
}

func (a *asker) ask(text string) {
	var c *askerConn
	select {
	case c = <-a.free:
	default:
		if a.open.Add(1) > askerConns {
			a.open.Add(-1)
			return
		}
		conn, err := net.DialTimeout("tcp", a.router, time.Second)
		if err != nil {
			a.open.Add(-1)
			a.Broken.Add(1)
			return
		}
		c = &askerConn{conn, bufio.NewReader(conn)}
		_, _ = conn.Write(wire.AppendStartup(nil, "app", "shop")) // the read tells
		if code, err := answer(conn, c.in); err != nil || code != "" {
			a.drop(c)
			return
		}
	}
	_, _ = c.c.Write(wire.AppendQuery(nil, []byte(text)))
	code, err := answer(c.c, c.in)
	if err != nil {
		a.drop(c)
		return
	}
	if code == "" {
		a.Served.Add(1)
	} else {
		a.Refused.Add(1)
	}
	a.free <- c // it has room for all
}

func (a *asker) drop(c *askerConn) {
	_ = c.c.Close()
	a.open.Add(-1)
	a.Broken.Add(1)
}

// close ends the connections once every request has ended.
func (a *asker) close() {
	a.wg.Wait()
	for {
		select {
		case c := <-a.free:
			_ = c.c.Close()
			a.open.Add(-1)
		default:
			return
		}
	}
}
