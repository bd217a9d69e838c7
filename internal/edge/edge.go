// Package edge accepts readings from devices over CoAP, MQTT and a framed
// stream and submits them to the router as ordinary requests. It owns the
// sockets, the messages that wait for their answers and the text of the
// statements. The rules of the protocols and of readings are in its
// subpackages. The router selects the endpoint of a statement as it does for
// every other client.
//
// All state belongs to a clock.Loop. A method that must be called inside Loop.Do
// says so. The goroutines that read and write sockets call Do to access the
// state.
package edge

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"

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

// RequestRouter is the router to which the edge submits statements. Its methods
// are called inside the loop's Do.
type RequestRouter interface {
	Class(name []byte) (router.Class, bool)
	Submit(r router.Request, from router.Client, client slotmap.Handle) slotmap.Handle
}

// Edge accepts readings from devices for one router. New creates one.
type Edge struct {
	loop          *clock.Loop
	log           *slog.Logger
	options       *operatorconfig.Edge
	budget        *netio.DescriptorBudget
	requestRouter RequestRouter
	codec         *batch.Codec

	routes       []boundRoute
	routeByMatch map[string]int // index in routes

	intake     *intake.Intake
	store      *store.Store // nil unless the settings name a store
	mqtt       *mqtt.Server
	frames     *frames.Server
	coap       *coap.Server
	unfinished *progress.Tracker // partially received messages over TCP

	udp             *datagramSocket // nil if there is no CoAP address
	listeners       []*listener
	inputs          chan input
	spareBuffers    chan *[]byte // for the next connection that reads
	connections     slotmap.Table[connection]
	openConnections int

	messages      slotmap.Table[pendingMessage]
	statements    slotmap.Table[pendingStatement]
	readsInFlight int
	bootID        uint64 // random; distinguishes the statements of this process
	lastSerial    uint64 // number of the last statement

	timer    *clock.Deadline // for the earliest deadline of all subpackages
	timerAt  float64         // when timer is due, in Unix milliseconds
	draining bool
}

// maxReceiveMaximum is the largest value of MQTT's Receive Maximum property.
const maxReceiveMaximum = 65535

// New opens the sockets and the store and returns an edge that accepts devices
// once Start is called. seed seeds the random choices of intake and CoAP. The
// text of an error is a single line.
func New(
	options *operatorconfig.Edge, loop *clock.Loop, log *slog.Logger,
	budget *netio.DescriptorBudget, requestRouter RequestRouter, seed uint64,
) (*Edge, error) {
	e := &Edge{
		loop:          loop,
		log:           log.With("component", "edge"),
		options:       options,
		budget:        budget,
		requestRouter: requestRouter,
		codec:         batch.NewCodec(),
		inputs:        make(chan input),
		spareBuffers:  make(chan *[]byte, maxSpareBuffers),
		bootID:        newBootID(),
	}
	readingRoutes, err := e.bindRoutes()
	if err != nil {
		return nil, err
	}
	e.intake, err = intake.New(options.Intake, readingRoutes, seed, (*intakeActions)(e))
	if err != nil {
		return nil, fmt.Errorf("edge: %w", err)
	}
	e.newServers(seed)
	if err := e.listen(); err != nil {
		return nil, errors.Join(err, e.closeSockets())
	}
	if options.Store == "" {
		return e, nil
	}
	if err := e.restore(); err != nil {
		return nil, errors.Join(err, e.closeSockets())
	}
	return e, nil
}

func newBootID() uint64 {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	return binary.BigEndian.Uint64(id[:])
}

// newServers creates the servers of the three protocols.
func (e *Edge) newServers(seed uint64) {
	limits := progress.Limits{
		WindowMs:   e.options.ProgressWindowMs,
		MinBytes:   e.options.MinProgressBytes,
		TotalBytes: e.options.UnfinishedBytes,
	}
	e.unfinished = progress.New(limits)
	e.mqtt = mqtt.New(mqtt.Limits{
		Sessions:           e.options.MaxSessions,
		MaxSessionExpiryMs: e.options.SessionExpiryMs,
		MaxKeepAliveMs:     e.options.IdleTimeoutMs,
		ReceiveMax:         min(e.options.Intake.MaxPerDevice, maxReceiveMaximum),
		MessageBytes:       e.options.MaxMessageBytes,
	}, e.codec, (*mqttActions)(e))
	e.frames = frames.New(frames.Limits{
		Window:    e.options.Intake.MaxPerDevice,
		MaxIdleMs: e.options.IdleTimeoutMs,
	}, e.codec, (*framesActions)(e))
	var echoKey [32]byte
	_, _ = rand.Read(echoKey[:]) // never fails
	e.coap = coap.New(coap.Limits{
		Exchanges:    e.options.MaxExchanges,
		MessageBytes: e.options.MaxMessageBytes,
		Progress:     limits,
	}, echoKey, seed, (*coapActions)(e))
}

// Check validates the routes and limits of an edge as New does, without opening
// its sockets and its store. It returns nil if they are valid.
func Check(options *operatorconfig.Edge, requestRouter RequestRouter) error {
	e := &Edge{options: options, requestRouter: requestRouter}
	readingRoutes, err := e.bindRoutes()
	if err == nil {
		_, err = intake.New(options.Intake, readingRoutes, 0, (*intakeActions)(e))
	}
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	return nil
}

// restore opens the store and schedules the delivery of the readings in it.
func (e *Edge) restore() error {
	opened, readings, err := store.Open(e.options.Store, e.options.MaxStoreBytes)
	if err != nil {
		return err
	}
	e.store = opened
	e.loop.Do(func() {
		for _, reading := range readings {
			if reading.Route >= len(e.routes) {
				reading.Route = 0 // the settings no longer contain its route
			}
			e.loop.Post(func() { e.intake.Recover(e.loop.Now(), reading) })
		}
		e.loop.Post(e.armTimer)
	})
	e.log.Info("store opened", "file", e.options.Store, "readings", len(readings))
	return nil
}

// armTimer sets the timer to the earliest deadline of all subpackages. Call it
// inside Do.
func (e *Edge) armTimer() {
	next, due := e.nextTimer()
	if !due || e.timer != nil && e.timerAt <= next {
		return
	}
	e.loop.Cancel(e.timer)
	e.timerAt = next
	e.timer = e.loop.At(next, e.runTimers)
}

// nextTimer returns the earliest deadline of all subpackages, in Unix
// milliseconds, and whether there is one.
func (e *Edge) nextTimer() (next float64, due bool) {
	scheduled := []interface{ Next() (float64, bool) }{e.intake, e.mqtt, e.frames, e.coap, e.unfinished}
	for _, part := range scheduled {
		at, ok := part.Next()
		if ok && (!due || at < next) {
			next = at
			due = true
		}
	}
	return next, due
}

// runTimers runs what is due in all subpackages and sets the next timer.
func (e *Edge) runTimers() {
	e.timer = nil
	now := e.loop.Now()
	e.intake.Tick(now)
	e.mqtt.Tick(now)
	e.frames.Tick(now)
	e.coap.Tick(now)
	for _, owner := range e.unfinished.Tick(now) {
		e.closeStalled(owner)
	}
	e.armTimer()
}

// statisticsIntervalMs is how often the counters are logged if they have changed.
const statisticsIntervalMs = 60000

// logStatistics logs the counters at the end of each interval in which they
// changed; last holds their previous values.
func (e *Edge) logStatistics(last intake.Stats) {
	e.loop.At(e.loop.Now()+statisticsIntervalMs, func() {
		current := e.intake.Stats()
		if current != last {
			e.log.Info("statistics", "connections", e.openConnections,
				"partial_bytes", e.unfinished.Bytes(), "counts", current)
		}
		e.logStatistics(current)
	})
}

// Drain begins a graceful shutdown: new connections, messages and reads are
// rejected, and messages in progress are answered. Call it inside Do.
func (e *Edge) Drain() {
	e.draining = true
	e.mqtt.Drain()
	e.frames.Drain()
}

// HasPending reports whether a device waits for an answer. Call it inside Do.
func (e *Edge) HasPending() bool {
	pending := e.readsInFlight > 0
	e.messages.Each(func(slotmap.Handle, *pendingMessage) { pending = true })
	return pending
}

// Close closes the sockets, then the store after all its pending changes are on
// disk. Connections that are open stay open.
func (e *Edge) Close() error {
	err := e.closeSockets()
	if e.store != nil {
		err = errors.Join(err, e.store.Close())
	}
	return err
}

// Stats returns the counters of readings. Call it inside Do.
func (e *Edge) Stats() intake.Stats { return e.intake.Stats() }
