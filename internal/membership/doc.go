// Package membership is the fleet's view of itself, kept by the routers: SWIM
// failure detection with the Lifeguard refinements, as rules.
//
// A Node is one member's whole protocol as a value: events in (Join, Tick,
// Receive, Leave) with the time in milliseconds, packets and view changes out
// (Ready). It reads no clock, opens no socket and starts no goroutine; its
// randomness comes from Config.Seed, so one seed replays a fleet. The folder
// beside it carries the bytes (wire for the codec); the router reads View.
//
// What it owns: the members with their incarnations and states, the probe in
// flight, the suspicions with their confirmations, the queue of rumors to
// piggy-back, the cursor of the push-pull and a budget of bytes a second.
// Each of them is bounded by the number of members and the settings.
package membership
