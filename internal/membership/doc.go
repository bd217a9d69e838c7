// Package membership implements the membership protocol of the router fleet: SWIM
// failure detection and dissemination with the Lifeguard extensions, and
// anti-entropy by push-pull.
//
// A [Node] is the protocol state machine of one member. The caller passes events
// ([Node.Join], [Node.Tick], [Node.Receive], [Node.SendUserData], [Node.Leave])
// with the time in milliseconds, and receives the packets to send and the changes
// of the view ([Ready]). A Node reads no clock, opens no socket and starts no
// goroutine. All its random choices derive from [Config.Seed], so the same
// settings and events produce the same packets.
//
// The files correspond to the parts of the protocol: probe.go and
// indirectprobe.go (failure detection), suspicion.go and refutation.go
// (Lifeguard), update.go and memberlist.go (the state of each member), gossip.go
// and budget.go (dissemination), pushpull.go (anti-entropy), and view.go (the
// resulting view). The number of members and the settings bound all state.
//
// Package wire encodes the packets, package udp transports them, and package
// faultinjection disables single guards in drills.
package membership
