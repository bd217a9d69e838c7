// Package edge takes readings from devices over CoAP, MQTT and a framed stream
// and hands them to the router as ordinary requests. It owns the sockets, the
// messages that wait for their answers and the text of the statements; the
// rules are in the packages below it, and which host a statement goes to is
// decided where it is for every client. All state lives in the loop.
package edge

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"

	"lotusbend/internal/clock"
	"lotusbend/internal/edge/batch"
	"lotusbend/internal/edge/coap"
	"lotusbend/internal/edge/frames"
	"lotusbend/internal/edge/intake"
	"lotusbend/internal/edge/mqtt"
	"lotusbend/internal/edge/progress"
	"lotusbend/internal/edge/store"
	"lotusbend/internal/netio"
	"lotusbend/internal/operatorconfig"
	"lotusbend/internal/router"
	"lotusbend/internal/slotmap"
)

// Requests is what statements go to, inside the loop's Do.
type Requests interface {
	Class(name []byte) (router.Class, bool)
	Submit(r router.Request, from router.Client, client slotmap.Handle) slotmap.Handle
}

// maxReads bounds the reads of all devices that are under way.
const maxReads = 256

// Edge is the edge of one router.
type Edge struct {
	loop     *clock.Loop
	log      *slog.Logger
	opt      *operatorconfig.Edge
	budget   *netio.DescriptorBudget
	requests Requests
	codec    *batch.Codec
	routes   []route
	byMatch  map[string]int
	intake   *intake.Intake
	store    *store.Store // nil without a lasting disk
	mqtt     *mqtt.Server
	frames   *frames.Server
	coap     *coap.Server
	partial  *progress.Ledger
	udp      *datagrams
	tcp      []*listener
	incoming chan chunk
	spare    chan *[]byte // read buffers
	conns    slotmap.Table[conn]
	open     int
	messages slotmap.Table[message]
	jobs     slotmap.Table[job]
	reads    int
	boot     uint64 // tells this process's statements from another's
	serial   uint64
	armed    *clock.Deadline
	armedAt  float64
	stopping bool
}

type route struct {
	operatorconfig.Route
	write, check, read router.Class
	intake             int // its number in the rules, -1 for a route of reads
}

// message is one that waits until each of its readings has its answer.
type message struct {
	proto   protocol
	token   uint64
	results []batch.Result
	left    int
}

type protocol uint8

const (
	protoCoAP protocol = iota
	protoMQTT
	protoFrames
)

// New puts an edge together; it takes devices once started. An error is of
// one line.
func New(opt *operatorconfig.Edge, loop *clock.Loop, log *slog.Logger, budget *netio.DescriptorBudget, requests Requests, seed uint64) (*Edge, error) {
	e := &Edge{loop: loop, log: log, opt: opt, budget: budget, requests: requests, codec: batch.NewCodec(),
		incoming: make(chan chunk), spare: make(chan *[]byte, maxSpare)}
	rules, err := e.bindAll()
	if err != nil {
		return nil, err
	}
	if e.intake, err = intake.New(opt.Intake, rules, seed, (*actions)(e)); err != nil {
		return nil, fmt.Errorf("edge: %w", err)
	}
	var key [32]byte
	var boot [8]byte
	_, _ = rand.Read(key[:]) // never fails
	_, _ = rand.Read(boot[:])
	e.boot = binary.BigEndian.Uint64(boot[:])
	limits := progress.Limits{Window: opt.ProgressWindowMs, Least: opt.MinProgressBytes, Bytes: opt.UnfinishedBytes}
	e.partial = progress.New(limits)
	e.mqtt = mqtt.New(mqtt.Limits{
		Sessions: opt.MaxSessions, SessionMs: opt.SessionExpiryMs, KeepAliveMs: opt.IdleTimeoutMs,
		ReceiveMax: min(opt.Intake.MaxPerDevice, 65535), MessageBytes: opt.MaxMessageBytes,
	}, e.codec, (*mqttOut)(e))
	e.frames = frames.New(frames.Limits{Window: opt.Intake.MaxPerDevice, IdleMs: opt.IdleTimeoutMs}, e.codec, (*framesOut)(e))
	e.coap = coap.New(coap.Limits{Exchanges: opt.MaxExchanges, MessageBytes: opt.MaxMessageBytes, Progress: limits}, key, seed, (*coapOut)(e))
	if err := e.listen(); err != nil {
		return nil, errors.Join(err, e.closeSockets())
	}
	if opt.Store != "" {
		if err := e.restore(); err != nil {
			return nil, errors.Join(err, e.closeSockets())
		}
	}
	return e, nil
}

// Check tells whether an edge with these settings could start, but for its
// sockets and its store.
func Check(opt *operatorconfig.Edge, requests Requests) error {
	e := &Edge{opt: opt, requests: requests}
	rules, err := e.bindAll()
	if err == nil {
		_, err = intake.New(opt.Intake, rules, 0, (*actions)(e))
	}
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	return nil
}

// bindAll fills in the routes and returns those of readings for the rules.
func (e *Edge) bindAll() (rules []intake.Route, err error) {
	e.byMatch = map[string]int{}
	for i, r := range e.opt.Routes {
		bound, err := bind(r, e.requests)
		if err != nil {
			return nil, fmt.Errorf("edge.routes[%d].%w", i, err)
		}
		if _, twice := e.byMatch[r.Match]; twice {
			return nil, fmt.Errorf("edge.routes[%d].match: %q is given twice", i, r.Match)
		}
		bound.intake = -1
		if r.Write != "" {
			bound.intake = len(rules)
			rules = append(rules, intake.Route{IdempotencyWindow: bound.write.IdempotencyWindow, Groups: r.Groups})
		}
		e.byMatch[r.Match] = len(e.routes)
		e.routes = append(e.routes, bound)
	}
	return rules, nil
}

// bind finds a route's classes and checks that they keep the promise.
func bind(r operatorconfig.Route, requests Requests) (b route, err error) {
	b.Route = r
	class := func(name, what string, fits func(router.Class) bool, need string) (c router.Class) {
		c, ok := requests.Class([]byte(name))
		switch {
		case err != nil:
		case !ok:
			err = fmt.Errorf("%s: there is no class %q", what, name)
		case !fits(c):
			err = fmt.Errorf("%s: class %q is no class of %s", what, name, need)
		}
		return c
	}
	if r.Write != "" {
		b.write = class(r.Write, "write", func(c router.Class) bool { return c.Write && c.NeedsIdempotencyKey }, "writes with a key")
		b.check = class(r.Check, "check", func(c router.Class) bool { return c.Fresh }, "reads that see all that was written")
	}
	if r.Read != "" {
		b.read = class(r.Read, "read", func(c router.Class) bool { return !c.Write }, "reads")
	}
	return b, err
}

// restore opens the store; what it holds is delivered once started.
func (e *Edge) restore() error {
	s, held, err := store.Open(e.opt.Store, e.opt.MaxStoreBytes)
	if err != nil {
		return err
	}
	e.store = s
	e.loop.Do(func() {
		for _, r := range held {
			if r.Route >= len(e.routes) {
				r.Route = 0 // its route has gone from the settings
			}
			e.loop.Post(func() { e.intake.Recover(e.loop.Now(), r) })
		}
		e.loop.Post(e.arm)
	})
	e.log.Info("edge store opened", "file", e.opt.Store, "readings", len(held))
	return nil
}

// arm keeps one deadline for the next of all rules.
func (e *Edge) arm() {
	next, ok := 0.0, false
	for _, of := range []interface{ Next() (float64, bool) }{e.intake, e.mqtt, e.frames, e.coap, e.partial} {
		if at, due := of.Next(); due && (!ok || at < next) {
			next, ok = at, true
		}
	}
	if !ok || e.armed != nil && e.armedAt <= next {
		return
	}
	e.loop.Cancel(e.armed)
	e.armedAt = next
	e.armed = e.loop.At(next, e.tick)
}

func (e *Edge) tick() {
	e.armed = nil
	now := e.loop.Now()
	e.intake.Tick(now)
	e.mqtt.Tick(now)
	e.frames.Tick(now)
	e.coap.Tick(now)
	for _, owner := range e.partial.Tick(now) {
		e.stalled(owner)
	}
	e.arm()
}

// reportEvery is how often the counts are logged, in milliseconds.
const reportEvery = 60000

// report logs the counts while there is something to tell.
func (e *Edge) report(last intake.Stats) {
	e.loop.At(e.loop.Now()+reportEvery, func() {
		now := e.intake.Stats()
		if now != last {
			e.log.Info("edge", "connections", e.open, "partial_bytes", e.partial.Bytes(), "counts", now)
		}
		e.report(now)
	})
}

// Drain begins to stop: nothing new is taken, what is under way is answered.
// It runs inside Do.
func (e *Edge) Drain() {
	e.stopping = true
	e.mqtt.Stop()
	e.frames.Stop()
}

// Owes tells whether a device still waits for an answer. It runs inside Do.
func (e *Edge) Owes() bool {
	owes := e.reads > 0
	e.messages.Each(func(slotmap.Handle, *message) { owes = true })
	return owes
}

// Close ends the sockets and the store, after all that was promised is on the
// disk.
func (e *Edge) Close() error {
	err := e.closeSockets()
	if e.store != nil {
		err = errors.Join(err, e.store.Close())
	}
	return err
}

// Stats returns the counts of the rules. It runs inside Do.
func (e *Edge) Stats() intake.Stats { return e.intake.Stats() }

// deliver offers each reading of a message. Its answers go to the protocol
// together, under the token.
func (e *Edge) deliver(proto protocol, token uint64, match string, b *batch.Batch, notBefore float64, again bool, from netip.Addr) {
	at, ok := e.byMatch[match]
	if !ok || e.routes[at].intake < 0 {
		e.loop.Post(func() { e.invalid(proto, token, !ok) })
		return
	}
	m := &message{proto: proto, token: token, left: len(b.Readings), results: make([]batch.Result, len(b.Readings))}
	ref := e.messages.Add(m)
	network := networkOf(from)
	now := e.loop.Now()
	for i := range b.Readings {
		r := &b.Readings[i]
		m.results[i].Seq = r.Seq
		origin := intake.Origin{Peer: ref.ID(), Index: uint16(i)}
		if e.stopping {
			(*actions)(e).Answer(origin, intake.Answer{Status: intake.Rejected, RetryAfter: e.opt.Intake.MinRetryAfter})
			continue
		}
		e.intake.Offer(now, intake.Reading{
			ID:    intake.ID{Device: b.Device, Epoch: b.Epoch, Seq: r.Seq},
			Route: e.routes[at].intake, Value: r.Value, Urgent: r.Urgent,
		}, intake.DeclaredHistory{FirstCopy: r.Sent == 0 && !again, NotBefore: notBefore}, origin, network)
	}
}

// networkOf is the part of an address that one owner holds.
func networkOf(a netip.Addr) netip.Prefix {
	a = a.Unmap()
	bits := 24
	if a.Is6() {
		bits = 48
	}
	p, _ := a.Prefix(bits) // the zero Prefix for no address
	return p
}

// finish gives a message's answers to its protocol.
func (e *Edge) finish(ref slotmap.Handle) {
	m := e.messages.Get(ref)
	if m == nil || m.left > 0 {
		return
	}
	e.messages.Remove(ref)
	now := e.loop.Now()
	switch m.proto {
	case protoCoAP:
		code, age := coapCode(m.results)
		e.coap.Answer(now, m.token, code, e.codec.Encode(batch.Reply{Results: m.results}), age)
	case protoMQTT:
		e.mqtt.Answer(now, m.token, m.results, true)
	case protoFrames:
		e.frames.Answer(now, m.token, m.results)
	}
	e.arm()
}
