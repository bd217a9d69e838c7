// Package udp carries membership's packets between routers over UDP and
// keeps the last view for the router and the admin page. One goroutine owns
// the rules' Node; another reads the socket into a bounded queue. Nothing a
// peer sends can panic it, stall it or hold memory past the bounds below:
// oversized and malformed packets are dropped and counted, a peer past its
// rate is dropped and counted, a full queue drops and counts.
package udp

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"lotusbend/internal/clock"
	"lotusbend/internal/membership"
	"lotusbend/internal/membership/wire"
)

const (
	// queued packets wait at most this many between the reader and the
	// loop: a flood fills it and is dropped, the loop goes on.
	queued = 256
	// peersKept bounds the rate limiter's table; past it, it starts anew.
	peersKept = 4096
	// perPeerPackets is how many packets a second one address may send: a
	// member sends about 4 a period and answers others' probes; 200 leaves
	// room for a 20 ms period and a burst of relays.
	perPeerPackets = 200
	// leaveFor is how long, after the context ends, the Left rumor is sent.
	leaveFor = 300 * time.Millisecond
)

// Counters are what the transport dropped, beside the rules' Stats.
type Counters struct {
	Oversized, Malformed, RateLimited, QueueFull, SendErrors atomic.Uint64
}

// Transport is one member on a socket.
type Transport struct {
	conn     *net.UDPConn
	clk      *clock.Clock
	log      *slog.Logger
	codec    *wire.Codec
	node     *membership.Node
	seeds    []string
	in       chan datagram
	counters Counters

	mu    sync.Mutex
	view  membership.View
	sizes chan int // the latest count of members alive or suspect, if not yet taken
	size  int      // the count last offered; owned by run

	shared SharedState // nil for none; owned by run
	known  uint64      // the view's version that shared was told
}

// Shared is state that routers share on top of the view. Its methods are
// called by the transport's goroutine alone and must not wait.
type SharedState interface {
	// Fleet tells the names of the peers, and how many routers there may be.
	Fleet(peers []string, size int, now int64)
	Tick(now int64) []Payload
	Receive(from string, payload []byte, now int64) []Payload
}

// Payload is what Shared sends to a peer.
type Payload struct {
	To    string
	Bytes []byte
}

type datagram struct {
	from netip.AddrPort
	b    []byte
}

// Start binds bind ("" for cfg.Addr; port 0 for any, then told by Addr) and
// joins through seeds; it runs until ctx ends, then leaves. cfg.Addr is what
// the others are told, which may be a relay's in front of bind. shared, nil
// for none, rides on its packets within its byte budget. Errors: the settings
// do not check, the address cannot be bound.
func Start(ctx context.Context, cfg membership.Config, bind string, seeds []string, shared SharedState, clk *clock.Clock, log *slog.Logger) (*Transport, error) {
	advertised := bind != "" && bind != cfg.Addr
	ap, err := netip.ParseAddrPort(cmp.Or(bind, cfg.Addr))
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, err
	}
	if !advertised {
		cfg.Addr = conn.LocalAddr().(*net.UDPAddr).AddrPort().String()
	}
	if err := cfg.Check(); err != nil {
		conn.Close()
		return nil, err
	}
	codec, err := wire.New()
	if err != nil {
		return nil, err
	}
	now := int64(clk.Now())
	t := &Transport{conn: conn, clk: clk, log: log, codec: codec, node: membership.New(cfg, now),
		seeds: seeds, in: make(chan datagram, queued), sizes: make(chan int, 1), shared: shared}
	t.view = t.node.View()
	go t.read()
	go t.run(ctx)
	return t, nil
}

// Addr is where this member listens.
func (t *Transport) Addr() string { return t.conn.LocalAddr().String() }

// View is the last view, a copy.
func (t *Transport) View() membership.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Sizes tells the view's count of members alive or suspect whenever it
// changes. Only the latest waits: one who reads late misses none that still
// holds, and the loop never waits for the reader.
func (t *Transport) Sizes() <-chan int { return t.sizes }

// Dropped reads the transport's counters.
func (t *Transport) Dropped() map[string]uint64 {
	c := &t.counters
	return map[string]uint64{"oversized": c.Oversized.Load(), "malformed": c.Malformed.Load(),
		"rate_limited": c.RateLimited.Load(), "queue_full": c.QueueFull.Load(), "send_errors": c.SendErrors.Load()}
}

// read takes datagrams off the socket until it closes. A datagram one byte
// over the largest packet tells that it was cut: it is dropped.
func (t *Transport) read() {
	limit := newLimiter()
	buf := make([]byte, wire.MaxPacket+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				close(t.in)
				return
			}
			continue
		}
		switch {
		case n > wire.MaxPacket:
			t.counters.Oversized.Add(1)
		case !limit.allow(from, t.clk.Now()):
			t.counters.RateLimited.Add(1)
		default:
			select {
			case t.in <- datagram{from: from, b: append([]byte(nil), buf[:n]...)}:
			default:
				t.counters.QueueFull.Add(1)
			}
		}
	}
}

// run owns the Node: packets in, ticks every tenth of a period.
func (t *Transport) run(ctx context.Context) {
	defer t.conn.Close()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	t.carry(t.node.Join(t.seeds, int64(t.clk.Now())), true)
	for {
		select {
		case <-ctx.Done():
			t.leave()
			return
		case d, ok := <-t.in:
			if !ok {
				return
			}
			m, err := t.codec.Decode(d.b)
			if err != nil {
				t.counters.Malformed.Add(1)
				continue
			}
			now := int64(t.clk.Now())
			r := t.node.Receive(d.from.String(), m, now)
			t.carry(r, false)
			if r.UserData != nil && t.shared != nil {
				t.payloads(t.shared.Receive(r.From, r.UserData, now), now)
			}
		case <-tick.C:
			now := int64(t.clk.Now())
			t.carry(t.node.Tick(now), true)
			t.share(now)
		}
	}
}

// share ticks the state on top of the view.
func (t *Transport) share(now int64) {
	if t.shared == nil {
		return
	}
	if v := t.view.Version; v != t.known || v == 0 { // only run writes t.view
		t.known = v
		peers, size := t.node.Peers()
		t.shared.Fleet(peers, size, now)
	}
	t.payloads(t.shared.Tick(now), now)
}

// payloads sends what the byte budget allows; the rest is lost, as any
// datagram may be.
func (t *Transport) payloads(ps []Payload, now int64) {
	for _, p := range ps {
		r, _ := t.node.SendUserData(p.To, p.Bytes, now)
		t.carry(r, false)
	}
}

// leave tells the fleet and ticks on a little so that the rumor travels.
func (t *Transport) leave() {
	t.carry(t.node.Leave(int64(t.clk.Now())), true)
	end := time.Now().Add(leaveFor)
	for time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		t.carry(t.node.Tick(int64(t.clk.Now())), true)
	}
}

// carry sends the packets, logs the changes and keeps the view.
// The view is copied and sorted on a change or a tick (refresh), not on
// every packet: with many members a copy per packet would cost more than
// the packet.
func (t *Transport) carry(r membership.Ready, refresh bool) {
	for _, p := range r.Packets {
		b, err := t.codec.Encode(p.Message)
		if err == nil {
			var to netip.AddrPort
			if to, err = netip.ParseAddrPort(p.To); err == nil {
				_, err = t.conn.WriteToUDPAddrPort(b, to)
			}
		}
		if err != nil {
			t.counters.SendErrors.Add(1)
		}
	}
	for _, c := range r.Changes {
		switch c.Kind {
		case membership.Conflict:
			t.log.Error("membership: another live instance has this name", "addr", c.Member.Addr, "start", c.Member.Start)
		default:
			t.log.Info("membership: view changed", "member", c.Member.Name, "addr", c.Member.Addr, "zone", c.Member.Zone,
				"state", c.Member.State.String(), "was", c.Previous.String(), "incarnation", c.Member.Incarnation, "change", changeName(c.Kind))
		}
	}
	if len(r.Changes) > 0 || refresh {
		v := t.node.View()
		if v.Fleet.High != t.size { // offered before the view is shown: who sees it finds its count
			t.size = v.Fleet.High
			select { // an older count not yet taken is stale: it goes
			case <-t.sizes:
			default:
			}
			t.sizes <- t.size // cannot block: run is the only sender
		}
		t.mu.Lock()
		t.view = v
		t.mu.Unlock()
	}
}

func changeName(k membership.ChangeKind) string {
	switch k {
	case membership.Joined:
		return "joined"
	case membership.Forgotten:
		return "forgotten"
	}
	return "changed"
}

// limiter is a token bucket a source address, perPeerPackets a second.
type limiter struct {
	peers map[netip.AddrPort]*bucket
}

type bucket struct {
	tokens float64
	at     float64
}

func newLimiter() *limiter { return &limiter{peers: map[netip.AddrPort]*bucket{}} }

func (l *limiter) allow(from netip.AddrPort, now float64) bool {
	b := l.peers[from]
	if b == nil {
		if len(l.peers) >= peersKept {
			clear(l.peers) // a flood from many addresses: start anew rather than grow
		}
		b = &bucket{tokens: perPeerPackets, at: now}
		l.peers[from] = b
	}
	b.tokens = min(perPeerPackets, b.tokens+(now-b.at)*perPeerPackets/1000)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
