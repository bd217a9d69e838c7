// Package decide makes the decisions of a query router for sharded, replicated
// databases: which endpoint of a replica group serves each request, when to
// retry, when to reject, and how to respect freshness, draining and slow start
// while endpoints fail. It also decides when to run health checks.
//
// A [Router] is driven by events (RequestArrived, AttemptEnded, HealthChecked,
// EndpointsUpdated, TimerFired, ...) and answers through [Actions]. It performs
// no I/O, reads no clock and starts no goroutine: every event carries the
// current time on one monotonic clock whose zero is the caller's choice, and
// all randomness comes from the seed given to [New]. Equal configurations,
// seeds and events give equal actions.
//
// The files follow the path of a request: request.go (arrival), admission.go
// (queueing and load shedding), selection.go (choice of an endpoint),
// routing.go (attempts and retries), outcome.go (what the end of an attempt
// shows about its endpoint) and deadline.go. The state of an endpoint is kept
// by endpoint.go, breaker.go, concurrency.go, slowstart.go and freshness.go.
// endpointlist.go applies updates of the endpoint list, primary.go finds the
// primary of a group, healthcheck.go starts health checks, and fleet.go is the
// interface to what other routers share.
package decide
