// Package fleetstate is the state that routers share, as rules: budgets by
// lease, counts as grow-only counters, and judgements on hosts. It stays
// within its bounds when part of the fleet hears nothing.
//
// A Node is one router's part as a value: what the router saw (Observe), what
// its peers said (Receive) and the time (Tick) go in; messages to peers and
// what the router may act on (Advice) come out. It reads no clock, opens no
// socket, starts no goroutine; its randomness comes from Config.Seed. The
// folder link beside it carries messages on membership's packets and advice
// to the router; wire is the codec.
//
// What it owns: the leases lent and held, every router's counters and one
// total of those folded, the claims heard of hosts and the standing of each
// peer. Each is bounded by the members of the view, the hosts listed, and the
// limits in Config.
package fleetstate
