// Package fleetstate is the state that the routers of a fleet share: budgets
// split by leases, request counters as grow-only counters (a CRDT), and health
// reports on endpoints, from which outliers are ejected. It stays within its
// bounds while part of the fleet is partitioned.
//
// A [Node] is one router's part. What the router observed ([Node.Observe]), the
// messages of its peers ([Node.Receive]) and the time ([Node.Tick]) go in;
// messages to peers and what the router may act on ([Node.Advice]) come out. It
// performs no I/O, reads no clock and starts no goroutine: times are passed in,
// in milliseconds, and its randomness comes from Config.Seed. A Node is not safe
// for concurrent use.
//
// Package link beside it carries the messages on membership's packets and the
// advice to the router; package wire is the codec.
//
// The files, by concern: leases in lease.go and quota.go; counters in
// counters.go and counterstore.go; outlier detection in health.go (what is
// known of an endpoint), suspicion.go (the peers' reports on it), support.go
// (how they are weighed), reputation.go and ejection.go; the node in node.go,
// gossip.go (what it sends), advice.go and status.go; adapter.go implements
// decide.Fleet.
//
// Memory is bounded by the peers in the view, the endpoints listed, and the
// limits in Config.
package fleetstate
