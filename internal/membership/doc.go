// Package membership implements the fleet's membership protocol: SWIM failure
// detection and dissemination with the Lifeguard refinements, and an
// anti-entropy push-pull.
//
// A [Node] is one member's protocol as a value. Events go in ([Node.Join],
// [Node.Tick], [Node.Receive], [Node.Leave]) with the time in milliseconds;
// packets and changes of the view come out ([Ready]). It reads no clock, opens
// no socket and starts no goroutine, and its randomness comes from
// [Config.Seed], so equal settings and events give equal packets.
//
// The files follow the protocol: probe.go and indirectprobe.go (failure
// detection), suspicion.go and refutation.go (Lifeguard), update.go and
// memberlist.go (what is believed of each member), gossip.go and budget.go
// (dissemination), pushpull.go (anti-entropy) and view.go (the result). Each
// piece of state is bounded by the number of members and the settings.
//
// Package wire is the codec of the packets, package udp their transport, and
// package faultinjection disables single guards in drills.
package membership
