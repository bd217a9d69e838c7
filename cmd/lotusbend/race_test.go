//go:build race

package main

// raceEnabled reports whether the race detector is built in.
const raceEnabled = true
