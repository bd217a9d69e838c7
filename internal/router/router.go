// Package router connects the decision module (package decide) to the code that
// carries out its decisions. It turns calls from the protocol servers and from
// discovery into events for the module, and the module's actions into calls to
// a [Transport] and to the clients. It tracks requests, attempts and deadlines,
// and knows no protocol.
//
// The files follow the life of a request: request.go (submission to final
// answer), attempt.go (what is sent to endpoints) and actions.go (what the
// module decided). observer.go records what is shared with other routers.
package router

import (
	"time"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/slotmap"
)

// Transport carries out attempts and health checks. Its methods do not block
// and do not call back before they have returned. Each attempt that was not
// cancelled and each health check is reported once.
type Transport interface {
	// Send starts an attempt that may take up to wait milliseconds. The returned
	// handle names it to Cancel.
	Send(endpoint uint32, attempt AttemptID, statement Statement, wait float64) slotmap.Handle
	// Cancel ends an attempt. It returns false only if surely no byte of it has
	// been written.
	Cancel(sent slotmap.Handle) (begun bool)
	// CheckHealth starts a health check of an endpoint.
	CheckHealth(endpoint uint32)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint uint32)
}

// Router drives the decision module of one query router. All its methods must
// be called inside the loop's Do.
type Router struct {
	loop      *clock.Loop
	cfg       decide.Config
	decider   *decide.Router
	transport Transport
	requests  slotmap.Table[trackedRequest]
	pending   int           // requests without a final answer
	observer  *Observer     // nil where nothing is shared with other routers
	staleness time.Duration // greatest staleness bound of any class, 0 if none has one
}

// New returns a router that runs inside loop. The seed is for the decision
// module's randomness. It fails if cfg is invalid.
func New(loop *clock.Loop, cfg decide.Config, seed uint64) (*Router, error) {
	// Discovery polls on its own schedule, without requests by the module.
	cfg.PollOnly = false
	r := &Router{loop: loop, cfg: cfg}
	var err error
	r.decider, err = decide.New(cfg, seed, (*actions)(r))
	return r, err
}

// Start begins routing over transport, with the endpoint list as last known.
func (r *Router) Start(transport Transport, known []decide.Endpoint) {
	r.transport = transport
	r.decider.Start(r.now())
	r.observer.endpointsUpdated(known)
	r.decider.EndpointsUpdated(r.now(), decide.UpdateCachedSnapshot, known)
}

// now is the time on the decision module's clock: Unix time.
func (r *Router) now() time.Duration { return clock.Duration(r.loop.Now()) }

// EndpointsUpdated takes an update of the endpoint list.
func (r *Router) EndpointsUpdated(kind decide.EndpointUpdateKind, endpoints []decide.Endpoint) {
	r.observer.endpointsUpdated(endpoints)
	r.decider.EndpointsUpdated(r.now(), kind, endpoints)
}

// HealthChecked takes the result of a health check.
func (r *Router) HealthChecked(endpoint uint32, report AttemptReport) {
	r.decider.HealthChecked(r.now(), decide.HealthCheckResult{
		Endpoint: endpoint,
		Outcome:  report.Outcome,
		Status:   report.Status,
	})
}

// JoinFleet connects the decision module to the fleet of routers. Without it
// the module decides as a standalone router.
func (r *Router) JoinFleet(fleet decide.Fleet) { r.decider.JoinFleet(fleet) }

// Class describes what a client's statement must fit.
type Class struct {
	Number              int
	Write               bool    // only a primary serves it
	NeedsIdempotencyKey bool    // its statements carry an idempotency key
	Fresh               bool    // a read that sees every write before it
	Session             bool    // a read that sees its session's own writes
	IdempotencyWindow   float64 // milliseconds for which a shard drops duplicates of a key
}

// Class returns a class by its name, and whether there is one.
func (r *Router) Class(name []byte) (Class, bool) {
	for number := range r.cfg.Classes {
		class := &r.cfg.Classes[number]
		if class.Name != string(name) {
			continue
		}
		return Class{
			Number:              number,
			Write:               class.Consistency == decide.Write,
			NeedsIdempotencyKey: class.Idempotency == decide.IdempotencyKey,
			Fresh:               class.Consistency == decide.Fresh,
			Session:             class.Consistency == decide.Session,
			IdempotencyWindow:   clock.Millis(class.IdempotencyWindow),
		}, true
	}
	return Class{}, false
}
