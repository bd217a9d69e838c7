// Package fleetstate implements the state that the routers of a fleet share:
// budgets split by leases, request counters as grow-only counters (a CRDT), and
// health reports on endpoints, from which outliers are ejected. Quotas, ejections
// and totals stay within their limits while part of the fleet is partitioned.
//
// A [Node] holds one router's part. Its inputs are the router's observations
// ([Node.Observe]), messages of peers ([Node.Receive]) and the time
// ([Node.Tick]); its outputs are messages to peers and the advice to the router
// ([Node.Advice]). It performs no I/O, reads no clock and starts no goroutine:
// times are passed in, in milliseconds, and its random numbers are seeded by
// Config.Seed. A Node is not safe for concurrent use.
//
// Package link connects a Node to the membership transport and to the router;
// package wire encodes its messages.
//
// The files, by concern: leases in lease.go and quota.go; counters in
// counters.go and counterstore.go; outlier detection in health.go (observations
// of an endpoint), suspicion.go (peers' reports on it), support.go (evaluating
// the reports), reputation.go and ejection.go; the node in node.go, gossip.go
// (outgoing messages), advice.go and status.go; adapter.go implements
// decide.Fleet.
//
// Memory is bounded by the peers in the view, the listed endpoints and the
// limits in Config.
package fleetstate
