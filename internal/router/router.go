// Package router connects the decision module (package decide) to the code that
// carries out its decisions. It translates calls from the protocol servers and
// from discovery into events for the module, and the module's actions into calls
// to a [Transport] and to the clients. It tracks requests, attempts and
// deadlines, and is independent of any protocol.
//
// request.go handles requests from submission to the final answer, attempt.go
// the attempts at endpoints, and actions.go the actions of the decision module.
// observer.go records the observations that are shared with other routers.
package router

import (
	"time"

	"lotusbend/decide"
	"lotusbend/internal/clock"
	"lotusbend/internal/slotmap"
)

// Transport carries out attempts and health checks. Its methods do not block,
// and do not call the Router before they have returned. It reports each attempt
// that was not cancelled to Router.AttemptEnded and each health check to
// Router.HealthChecked, once. It calls Router.MaySend before it writes an attempt
// that had to wait for a connection, and may report an answer to a cancelled
// attempt to Router.LateAnswer.
type Transport interface {
	// Send starts an attempt that may take up to wait milliseconds. The returned
	// handle identifies it to Cancel.
	Send(endpoint uint32, attemptID AttemptID, statement Statement, wait float64) slotmap.Handle
	// Cancel ends an attempt. It returns false only if it is certain that no byte
	// of the attempt has been written.
	Cancel(handle slotmap.Handle) (maybeWritten bool)
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
	pending   int       // number of requests without a final answer
	observer  *Observer // nil if nothing is shared with other routers

	// maxStaleness is the largest staleness bound of any class, 0 if no class has
	// one or nothing is shared with other routers.
	maxStaleness time.Duration
}

// New returns a router that runs inside loop. seed seeds the decision module's
// random numbers. New returns an error if cfg is invalid.
func New(loop *clock.Loop, cfg decide.Config, seed uint64) (*Router, error) {
	// The discovery watcher polls on its own schedule, so the decision module must
	// not request polls.
	cfg.PollOnly = false
	r := &Router{loop: loop, cfg: cfg}
	var err error
	r.decider, err = decide.New(cfg, seed, (*actions)(r))
	return r, err
}

// Start begins routing over transport. known is the last known endpoint list,
// which may be stale.
func (r *Router) Start(transport Transport, known []decide.Endpoint) {
	r.transport = transport
	r.decider.Start(r.now())
	r.observer.endpointsUpdated(known)
	r.decider.EndpointsUpdated(r.now(), decide.UpdateCachedSnapshot, known)
}

// now returns the current Unix time, the decision module's clock.
func (r *Router) now() time.Duration { return clock.Duration(r.loop.Now()) }

// EndpointsUpdated applies an update of the endpoint list.
func (r *Router) EndpointsUpdated(kind decide.EndpointUpdateKind, endpoints []decide.Endpoint) {
	r.observer.endpointsUpdated(endpoints)
	r.decider.EndpointsUpdated(r.now(), kind, endpoints)
}

// HealthChecked handles the result of a health check.
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

// Class describes a request class to the protocol servers, which check a
// client's statements against it.
type Class struct {
	Number              int     // index in decide.Config.Classes
	Write               bool    // only a primary serves it
	NeedsIdempotencyKey bool    // each statement must have an idempotency key
	Fresh               bool    // a read that sees every commit made before it arrived
	Session             bool    // a read that sees its session's own writes
	IdempotencyWindow   float64 // milliseconds for which endpoints drop duplicates of a key
}

// Class returns the class with the given name, and whether there is one.
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
