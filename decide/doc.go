// Package decide makes the decisions of a query router for sharded, replicated
// databases: which endpoint of a replica group serves each request, when to
// retry, when to reject, and how to respect freshness, draining and slow start
// while endpoints fail.
//
// A [Router] is driven by events (RequestArrived, AttemptEnded, HealthChecked,
// EndpointsUpdated, TimerFired, ...) and answers through [Actions]. It performs
// no I/O, reads no clock and starts no goroutine: every event carries the
// current time on one monotonic clock whose zero is the caller's choice, and
// all randomness comes from the seed given to [New]. Equal configurations,
// seeds and events give equal actions.
//
// The files follow a request: request.go (arrival), admission.go
// (queueing and load shedding), selection.go (choice of an endpoint),
// routing.go (attempts and retries), outcome.go (evidence from an attempt's end)
// and deadline.go. The state of an endpoint stands in endpoint.go, breaker.go,
// concurrency.go, slowstart.go and freshness.go.
package decide
