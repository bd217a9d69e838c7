package decide

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Class describes one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within this time has the full PriorityWeight; positive
	Deadline          time.Duration // how long the client waits in total, its own retries included
	PriorityWeight    float64       // value of one request that is served in time; not negative
	LateWeight        float64       // fraction of PriorityWeight that an answer after LatencyObjective has
	Idempotency       Idempotency
	IdempotencyScope  IdempotencyScope // with IdempotencyKey
	IdempotencyWindow time.Duration    // with IdempotencyKey, how long duplicates are dropped
	Consistency       Consistency
	MaxStaleness      time.Duration // with Bounded, the staleness bound
}

// lateIsWorthless reports whether an answer after the latency objective has no
// value.
func (c *Class) lateIsWorthless() bool { return c.LateWeight == 0 }

// Config is the configuration of a router, fixed for its lifetime.
type Config struct {
	Zone    int // the router's own zone
	Routers int // number of routers in the fleet
	Classes []Class

	StaleReadPolicy        StaleReadPolicy
	StaleReadWait          time.Duration // with WaitThenReject, how long a replica waits
	AnswersCarryPosition   bool          // every answer carries a replication position
	SessionTokens          bool          // session reads carry a token; if false the router stores commits
	HealthChecksReportRole bool          // health checks report role and position
	PollOnly               bool          // endpoint list updates are sent only after Actions.WatchEndpoints
	PollInterval           time.Duration // with PollOnly, the longest permitted interval between polls
	MaxAttempts            int           // per request, 0 or less for no limit
	ParallelAttempts       bool          // a request may have several attempts in flight
	HealthChecks           bool          // endpoints answer health checks
	CancelAttempts         bool          // attempts in flight can be cancelled
	MaxRetryAfter          time.Duration // longest Retry-After that clients follow, 0 if they ignore it

	SlowStartCapacity float64       // fraction of its full capacity that a restarted endpoint starts with
	SlowStartDuration time.Duration // time from the start of an endpoint until it has full capacity
	OverloadFactor    float64       // multiple of its current capacity that overloads a warming endpoint
	OverloadDuration  time.Duration // how long that load must last to count as overload; affects no decision
	RemovalEnforced   bool          // a removed endpoint must not receive any further request
}

// ErrIncomplete is returned by New for a configuration without classes, and for
// nil Actions.
var ErrIncomplete = errors.New("decide: creating a router requires at least one class and non-nil actions")

// ClassError is returned by New for a class whose latency objective is not
// positive, or whose priority weight is negative or NaN.
type ClassError struct {
	Index int // in Config.Classes
	Name  string
}

// Error implements error.
func (e *ClassError) Error() string {
	return fmt.Sprintf(
		"decide: class %d (%q): latency objective not positive, or priority weight negative or NaN",
		e.Index, e.Name)
}

// normalized validates c and returns a copy that shares no memory with it, with
// MaxAttempts set to math.MaxInt where there is no limit.
func (c Config) normalized() (Config, error) {
	if len(c.Classes) == 0 {
		return Config{}, ErrIncomplete
	}
	for i, class := range c.Classes {
		if class.LatencyObjective <= 0 || class.PriorityWeight < 0 || math.IsNaN(class.PriorityWeight) {
			return Config{}, &ClassError{Index: i, Name: class.Name}
		}
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = math.MaxInt
	}
	c.Classes = slices.Clone(c.Classes)
	return c, nil
}

// tightestPrimaryObjective returns the shortest latency objective of the classes
// that only a primary serves, the greatest duration if there is no such class.
func (c *Config) tightestPrimaryObjective() time.Duration {
	tightest := time.Duration(math.MaxInt64)
	for i := range c.Classes {
		if c.Classes[i].Consistency.needsPrimary() {
			tightest = min(tightest, c.Classes[i].LatencyObjective)
		}
	}
	return tightest
}

// tightestStaleness returns the smallest staleness bound of the Bounded classes,
// 0 if there is no such class.
func (c *Config) tightestStaleness() time.Duration {
	var tightest time.Duration
	for i := range c.Classes {
		class := &c.Classes[i]
		if class.Consistency == Bounded && (tightest == 0 || class.MaxStaleness < tightest) {
			tightest = class.MaxStaleness
		}
	}
	return tightest
}
