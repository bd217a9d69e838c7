// Package udp transports the packets of package membership over UDP, and publishes
// the latest view for the router and the admin page.
//
// A Transport has two goroutines. run (loop.go) owns the membership.Node, and read
// (reader.go) queues datagrams from the socket for it. When the context ends, run
// leaves the fleet and closes the socket, which ends read.
//
// No datagram from a peer can make the transport panic, block or use unbounded
// memory. It drops and counts datagrams that are oversized or malformed, exceed the
// rate of their sender, or do not fit into the queue.
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

// maxQueuedDatagrams is the capacity of the queue between read and run. Further
// datagrams are dropped.
const maxQueuedDatagrams = 256

// Counters counts the packets that the transport dropped or failed to send.
type Counters struct {
	Oversized   atomic.Uint64 // larger than wire.MaxPacketBytes
	Malformed   atomic.Uint64 // rejected by the decoder
	RateLimited atomic.Uint64 // exceeded the rate of their sender
	QueueFull   atomic.Uint64 // did not fit into the queue
	SendErrors  atomic.Uint64 // could not be encoded, addressed or written to the socket
}

// Options holds the settings of a Transport.
type Options struct {
	// Config holds the protocol settings. Its Addr is the address to which the
	// other members send packets; it differs from Bind behind a relay.
	Config membership.Config
	Bind   string      // address of the socket, "" for Config.Addr; port 0 selects a free port
	Seeds  []string    // addresses of members to join through
	Shared SharedState // nil for none
	Clock  *clock.Clock
	Log    *slog.Logger
}

// SharedState is state that routers share on top of the view. Its payloads are
// sent within the byte budget of the membership protocol. Only one goroutine of
// the transport calls its methods, which must not block. now is the time in
// milliseconds.
type SharedState interface {
	// UpdatePeers is called before Tick if the view has changed, and before every
	// Tick until its first change. peers are the names of the peers that are alive or
	// suspect, and size is the number of routers that may be running.
	UpdatePeers(peers []string, size int, now int64)
	// Tick is called every 10 ms. It returns the payloads to send.
	Tick(now int64) []Payload
	// Receive handles a payload from the named peer. It returns the payloads to
	// send.
	Receive(from string, payload []byte, now int64) []Payload
}

// Payload is a message of a SharedState to a peer.
type Payload struct {
	To    string // name of the peer
	Bytes []byte
}

// Transport runs one member on a UDP socket. Its methods are safe for concurrent
// use.
type Transport struct {
	conn     *net.UDPConn
	clock    *clock.Clock
	log      *slog.Logger
	codec    *wire.Codec
	seeds    []string
	received chan datagram // from read to run
	sizes    chan int      // capacity 1: the latest size of the view until it is received
	counters Counters

	// These fields are used only by run.
	node          *membership.Node
	shared        SharedState // nil for none
	sharedVersion uint64      // version of the view that shared last received
	offeredSize   int         // size last sent to sizes

	mu   sync.Mutex
	view membership.View // written only by run
}

// Start binds the socket and joins the fleet through the seeds. The transport runs
// until ctx ends and then leaves the fleet. Start returns an error for an address
// that cannot be parsed or bound, and a *membership.ConfigError for invalid
// settings.
func Start(ctx context.Context, options Options) (*Transport, error) {
	cfg := options.Config
	conn, err := listen(options)
	if err != nil {
		return nil, err
	}
	if options.Bind == "" || options.Bind == cfg.Addr { // replaces port 0 by the bound port
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

// listen opens the socket on Bind, or on Config.Addr if Bind is empty.
func listen(options Options) (*net.UDPConn, error) {
	bind := options.Bind
	if bind == "" {
		bind = options.Config.Addr
	}
	address, err := netip.ParseAddrPort(bind)
	if err != nil {
		return nil, fmt.Errorf("parsing the bind address: %w", err)
	}
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
}

// Addr returns the address of the socket.
func (t *Transport) Addr() string { return t.conn.LocalAddr().String() }

// View returns the latest view. The caller must not modify its slices and maps.
func (t *Transport) View() membership.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Sizes returns a channel that delivers the number of members alive or suspect
// after each change. It keeps only the latest number, so that a slow receiver does
// not block the transport.
func (t *Transport) Sizes() <-chan int { return t.sizes }

// Dropped returns the counters of dropped packets and send errors by name.
func (t *Transport) Dropped() map[string]uint64 {
	return map[string]uint64{
		"oversized":    t.counters.Oversized.Load(),
		"malformed":    t.counters.Malformed.Load(),
		"rate_limited": t.counters.RateLimited.Load(),
		"queue_full":   t.counters.QueueFull.Load(),
		"send_errors":  t.counters.SendErrors.Load(),
	}
}
