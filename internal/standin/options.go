// Package standin holds test doubles for the systems around the router, written
// from their public descriptions: groups of database hosts that speak the
// PostgreSQL protocol, the discovery service, and links that lose, delay and
// stall traffic. All random draws derive from the seed that the caller passes.
// The stand-ins keep their own record of what they receive and execute, so an
// audit does not rely on the program under test.
//
// All exported types are safe for concurrent use, except Options and Faults.
package standin

import "time"

// Sabotage names a fault that the stand-ins inject to test that an audit detects
// it. The empty string injects none.
type Sabotage string

// The faults that stand-ins can inject.
const (
	RunsTwice   Sabotage = "runs-twice"   // some writes are executed twice
	ForgetsKeys Sabotage = "forgets-keys" // a write with a known idempotency key is executed again
	AcksEarly   Sabotage = "acks-early"   // some writes are acknowledged and never recorded
)

// sabotageChance is the probability that RunsTwice or AcksEarly affects a write.
const sabotageChance = 0.05

// Options configures the database groups. Each duration with a Min and a Max is
// drawn uniformly between them.
type Options struct {
	Seed             uint64
	Groups           int
	Replicas         int     // per group, in addition to its primary
	StandaloneGroups int     // further groups that have a primary and no replica; numbered after Groups
	KeyTTLMs         float64 // idempotency window
	WorkMinMs        float64 // execution time of a statement
	WorkMaxMs        float64
	ReplicateMinMs   float64 // replication time of a write; a replica's lag is drawn likewise, plus 5 ms
	ReplicateMaxMs   float64
	DetectMinMs      float64 // time until the loss of a primary is detected
	DetectMaxMs      float64
	ElectMinMs       float64 // time from the detection until a replica is primary
	ElectMaxMs       float64
	WarmUpMs         float64 // duration of the warm-up after a host restarts
	StartCapacity    float64 // capacity of a host at its restart, as a fraction of its full capacity
	Cores            int     // statements that a host executes concurrently
	QueueLimit       int     // statements on a host, queued or running; more are rejected
	ResetChance      float64 // probability that a connection is reset after its write was executed
	RejectChance     float64 // probability that a host rejects a request as if its queue were full
	FreshClass       string  // class whose reads must see every earlier write: only the primary answers them
	Sabotage         Sabotage
	// IgnoresLoad makes a host answer each statement after its execution time,
	// regardless of its load and warm-up; it only records what it receives. Such
	// a host still accepts connections while it hangs.
	IgnoresLoad bool
	// BoundedClass is the class whose reads have a staleness bound. A read that a
	// replica answers while its lag exceeds MaxStalenessMs counts as stale.
	BoundedClass   string
	MaxStalenessMs float64 // staleness bound; 0 counts no read as stale
}

// Defaults returns the parameters of the deployment, with shorter execution
// times.
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

// nowMs returns the current time in Unix milliseconds.
func nowMs() float64 { return float64(time.Now().UnixMicro()) / 1e3 }

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func sleepMs(ms float64) { time.Sleep(milliseconds(ms)) }
