package lab

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// maxLoadClientConns bounds the connections of one load client. A request for
// which none is free is not sent.
const maxLoadClientConns = 64

// loadClient stands for the clients of one router. It sends reads at a rate,
// whatever becomes of earlier ones.
type loadClient struct {
	index        int // of the router, the upper bits of each request's id
	router       string
	rand         *rand.Rand
	requestsSent atomic.Uint64 // requests
	idleConns    chan *pgClient
	openConns    atomic.Int64 // connections
	wg           sync.WaitGroup

	served      atomic.Int64
	rejected    atomic.Int64
	brokenConns atomic.Int64 // connections that ended
}

func newLoadClient(index int, router string, seed uint64) *loadClient {
	return &loadClient{
		index:     index,
		router:    router,
		rand:      rand.New(rand.NewPCG(seed, uint64(index)+0xa5)),
		idleConns: make(chan *pgClient, maxLoadClientConns),
	}
}

// run sends reads of a class to a group until ctx ends. Before each one it
// calls rate for the current rate in requests a second; zero pauses. It
// returns at once; wait waits for the end.
func (c *loadClient) run(ctx context.Context, group int, class string, rate func() float64) {
	rnd := rand.New(rand.NewPCG(c.rand.Uint64(), uint64(group)))
	c.wg.Go(func() {
		for ctx.Err() == nil {
			perSecond := rate()
			if perSecond <= 0 {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
			id := uint64(c.index)<<routerIDShift | c.requestsSent.Add(1)
			c.wg.Go(func() { c.request(selectStatement(id, id, class, group)) })
		}
	})
}

// routerIDShift is where a router's index begins in the ids of the requests
// that load clients send to it.
const routerIDShift = 48

// request sends one statement, if a connection is free or may be opened.
func (c *loadClient) request(text string) {
	conn := c.acquire()
	if conn == nil {
		return
	}
	code, err := conn.query(text)
	if err != nil {
		conn.close()
		c.connBroken()
		return
	}
	if code == "" {
		c.served.Add(1)
	} else {
		c.rejected.Add(1)
	}
	c.idleConns <- conn // never blocks: it has capacity for every connection
}

// acquire returns an idle or a new connection, nil if there can be none.
func (c *loadClient) acquire() *pgClient {
	select {
	case conn := <-c.idleConns:
		return conn
	default:
	}
	if c.openConns.Add(1) > maxLoadClientConns {
		c.openConns.Add(-1)
		return nil
	}
	conn, err := dialPostgres(c.router, pgDialTimeout)
	if err != nil {
		c.connBroken()
		return nil
	}
	return conn
}

func (c *loadClient) connBroken() {
	c.openConns.Add(-1)
	c.brokenConns.Add(1)
}

// wait returns when every run and request has ended.
func (c *loadClient) wait() { c.wg.Wait() }

// close closes the connections once every request has ended.
func (c *loadClient) close() {
	c.wait()
	for {
		select {
		case conn := <-c.idleConns:
			conn.close()
			c.openConns.Add(-1)
		default:
			return
		}
	}
}
