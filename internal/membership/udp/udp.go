// Package udp carries the packets of package membership between routers over
// UDP and publishes the latest view for the router and the admin page.
//
// Each Transport has two goroutines: run (loop.go) owns the protocol's Node, and
// read (reader.go) queues datagrams from the socket for it, up to a bound. run
// ends after the context does, and closes the socket, which ends read. Nothing
// that a peer sends can make it panic, delay it or use memory without bound:
// datagrams that are oversized, malformed, beyond the sender's rate or beyond
// the queue are dropped and counted.
package udp

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"lotusbend/internal/clock"
	"lotusbend/internal/membership"
	"lotusbend/internal/membership/wire"
)

// maxQueuedDatagrams bounds the queue between read and run: a flood fills it and
// is dropped.
const maxQueuedDatagrams = 256

// Counters are the packets that the transport dropped or could not send.
type Counters struct {
	Oversized   atomic.Uint64 // over wire.MaxPacket bytes
	Malformed   atomic.Uint64 // not decodable
	RateLimited atomic.Uint64 // beyond the sender's rate
	QueueFull   atomic.Uint64 // beyond the queue
	SendErrors  atomic.Uint64
}

// Options configure a Transport.
type Options struct {
	// Config holds the protocol's settings. Its Addr is where the other members
	// send their packets, which may be a relay's address in front of Bind.
	Config membership.Config
	Bind   string      // the address of the socket, "" for Config.Addr; port 0 for any
	Seeds  []string    // addresses of members to join through
	Shared SharedState // nil for none
	Clock  *clock.Clock
	Log    *slog.Logger
}

// SharedState is state that routers share on top of the view. Its messages are
// sent within the byte budget of membership's packets. Its methods are called by
// the transport's goroutine only and must not block. Times are in milliseconds.
type SharedState interface {
	// UpdatePeers notifies of the names of the peers, and of how many routers there may
	// be.
	UpdatePeers(peers []string, size int, now int64)
	// Tick is called every 10 ms; it returns what is to be sent.
	Tick(now int64) []Payload
	// Receive handles a peer's payload; it returns what is to be sent.
	Receive(from string, payload []byte, now int64) []Payload
}

// Payload is what a SharedState sends to a peer.
type Payload struct {
	To    string // the peer's name
	Bytes []byte
}

// Transport is one member on a socket. Its methods are safe for concurrent use.
type Transport struct {
	conn     *net.UDPConn
	clock    *clock.Clock
	log      *slog.Logger
	codec    *wire.Codec
	seeds    []string
	received chan datagram // from read to run
	sizes    chan int      // the latest size of the view, if not yet received
	counters Counters

	// Owned by run.
	node          *membership.Node
	shared        SharedState // nil for none
	sharedVersion uint64      // of the view that shared was notified of
	offeredSize   int

	mu   sync.Mutex
	view membership.View // written by run
}

// Start binds the socket and joins through the seeds. The transport runs until
// ctx ends, then leaves the fleet. Its errors are wrapped: an address that does
// not parse or cannot be bound, and settings that do not check
// (*membership.ConfigError).
func Start(ctx context.Context, options Options) (*Transport, error) {
	cfg := options.Config
	conn, err := listen(options)
	if err != nil {
		return nil, err
	}
	if options.Bind == "" || options.Bind == cfg.Addr { // port 0 has become a real one
		cfg.Addr = conn.LocalAddr().(*net.UDPAddr).AddrPort().String()
	}
	if err := cfg.Check(); err != nil {
		conn.Close()
		return nil, err
	}
	codec, err := wire.New()
	if err != nil {
		conn.Close()
		return nil, err
	}
	t := &Transport{
		conn:     conn,
		clock:    options.Clock,
		log:      options.Log.With("component", "membership"),
		codec:    codec,
		seeds:    options.Seeds,
		received: make(chan datagram, maxQueuedDatagrams),
		sizes:    make(chan int, 1),
		node:     membership.New(cfg, int64(options.Clock.Now())),
		shared:   options.Shared,
	}
	t.view = t.node.View()
	go t.read()
	go t.run(ctx)
	return t, nil
}

// listen opens the socket.
func listen(options Options) (*net.UDPConn, error) {
	bind := options.Bind
	if bind == "" {
		bind = options.Config.Addr
	}
	address, err := netip.ParseAddrPort(bind)
	if err != nil {
		return nil, fmt.Errorf("bind address: %w", err)
	}
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
}

// Addr is the address of the socket.
func (t *Transport) Addr() string { return t.conn.LocalAddr().String() }

// View is the latest view, a copy.
func (t *Transport) View() membership.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Sizes delivers the number of members alive or suspect whenever it changes.
// Only the latest is kept for a slow receiver, and the transport never waits for
// one.
func (t *Transport) Sizes() <-chan int { return t.sizes }

// Dropped returns the transport's counters by name.
func (t *Transport) Dropped() map[string]uint64 {
	return map[string]uint64{
		"oversized":    t.counters.Oversized.Load(),
		"malformed":    t.counters.Malformed.Load(),
		"rate_limited": t.counters.RateLimited.Load(),
		"queue_full":   t.counters.QueueFull.Load(),
		"send_errors":  t.counters.SendErrors.Load(),
	}
}
