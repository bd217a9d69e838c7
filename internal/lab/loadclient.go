package lab

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// maxLoadClientConns is the connection limit of a load client. A request for which no
// connection is available is not sent.
const maxLoadClientConns = 64

// loadClient generates the load of one router's clients. It is open-loop: it sends reads
// at a given mean rate, at random times, without waiting for the answers to earlier
// ones.
type loadClient struct {
	index        int    // of the router; the upper bits of each request's id
	router       string // host:port of the router's PostgreSQL front
	rand         *rand.Rand
	requestCount atomic.Uint64 // number of requests so far, also of those not sent
	idleConns    chan *pgClient
	openConns    atomic.Int64 // number of open connections
	wg           sync.WaitGroup

	served      atomic.Int64 // number of requests that succeeded
	rejected    atomic.Int64 // number of requests answered with an error
	brokenConns atomic.Int64 // number of connections that failed or could not be opened
}

func newLoadClient(index int, router string, seed uint64) *loadClient {
	return &loadClient{
		index:     index,
		router:    router,
		rand:      rand.New(rand.NewPCG(seed, uint64(index)+0xa5)),
		idleConns: make(chan *pgClient, maxLoadClientConns),
	}
}

// run starts to send reads of a class to a group until ctx is done. Before each read it
// calls rate for the current mean rate in requests per second; a rate of 0 pauses. run
// returns immediately; wait waits for the end.
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
			id := uint64(c.index)<<routerIDShift | c.requestCount.Add(1)
			c.wg.Go(func() { c.request(selectStatement(id, id, class, group)) })
		}
	})
}

// routerIDShift is the position of the router's index in the id of a request from a
// load client; the lower bits count the requests.
const routerIDShift = 48

// request sends one statement if a connection is available.
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
	c.idleConns <- conn // cannot block: the channel has capacity for every connection
}

// acquire returns an idle connection or a new one, or nil if neither is available.
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

// connBroken counts a connection that failed or could not be opened.
func (c *loadClient) connBroken() {
	c.openConns.Add(-1)
	c.brokenConns.Add(1)
}

// wait returns when every run and every request has ended.
func (c *loadClient) wait() { c.wg.Wait() }

// close waits for every request and then closes the connections.
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
