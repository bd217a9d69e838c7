// Package standin holds stand-ins for the systems around the router, written
// from their public descriptions: groups of database hosts that speak the
// PostgreSQL protocol, the discovery service, and links that lose, delay and
// stall traffic. Every fault is drawn from one seed. They count for themselves
// what they receive and record, so that an audit need not trust the program
// under test.
//
// All exported types are safe for concurrent use, except Options and Faults.
package standin

import "time"

// Sabotage makes the stand-ins misbehave, to test that an audit notices.
type Sabotage string

// The ways to misbehave.
const (
	RunsTwice   Sabotage = "runs-twice"   // some writes run twice
	ForgetsKeys Sabotage = "forgets-keys" // a repeated idempotency key runs again
	AcksEarly   Sabotage = "acks-early"   // some writes are acknowledged and never recorded
)

// sabotageChance is how often RunsTwice and AcksEarly affect a write.
const sabotageChance = 0.05

// Options describe the database groups. Times are in milliseconds; a pair of
// Min and Max bounds a uniform draw.
type Options struct {
	Seed             uint64
	Groups           int
	Replicas         int     // of each group, beside its primary
	StandaloneGroups int     // groups after Groups that have only a primary
	KeyTTLMs         float64 // how long an idempotency key is remembered
	WorkMinMs        float64 // of a statement
	WorkMaxMs        float64
	ReplicateMinMs   float64 // until a replica has a write
	ReplicateMaxMs   float64
	DetectMinMs      float64 // until a lost primary is declared lost
	DetectMaxMs      float64
	ElectMinMs       float64 // from then until a replica is primary
	ElectMaxMs       float64
	WarmUpMs         float64 // of a host after its start
	StartCapacity    float64 // of a host at its start, as a fraction of that when warm
	Cores            int     // statements that a host runs at once
	QueueLimit       int     // statements on a host, queued or running
	ResetChance      float64 // that a connection breaks after its write ran
	RejectChance     float64 // that a host rejects a request as if its queue were full
	FreshClass       string  // the class whose reads must see every write
	Sabotage         Sabotage
	// IgnoresLoad hosts answer each statement after its work, whatever their load
	// and warm-up: they only count what they receive. A steady host that hangs
	// still accepts connections.
	IgnoresLoad bool
	// Reads of BoundedClass that a replica answers with data older than
	// MaxStalenessMs are counted as stale; 0 counts none.
	BoundedClass   string
	MaxStalenessMs float64
}

// Defaults are the figures of the deployment, with less work per statement.
func Defaults() Options {
	return Options{
		Groups:         2,
		Replicas:       2,
		KeyTTLMs:       5000,
		WorkMinMs:      2,
		WorkMaxMs:      12,
		ReplicateMinMs: 2,
		ReplicateMaxMs: 14,
		DetectMinMs:    1200,
		DetectMaxMs:    2900,
		ElectMinMs:     1600,
		ElectMaxMs:     3900,
		WarmUpMs:       18000,
		StartCapacity:  0.21,
		Cores:          3,
		QueueLimit:     64,
		ResetChance:    0.03,
		RejectChance:   0.01,
		FreshClass:     "invoice-check",
	}
}

// nowMs is the current time in Unix milliseconds.
func nowMs() float64 { return float64(time.Now().UnixMicro()) / 1e3 }

// milliseconds converts a number of milliseconds.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func sleepMs(ms float64) { time.Sleep(milliseconds(ms)) }
