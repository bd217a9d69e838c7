package decide

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Class describes one class of request.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // the full priority weight is earned within this time
	Deadline          time.Duration // the client's whole wait, its own retries included
	PriorityWeight    float64       // value of serving one request in time
	LateWeight        float64       // fraction of PriorityWeight earned after LatencyObjective
	Idempotency       Idempotency
	IdempotencyScope  IdempotencyScope
	IdempotencyWindow time.Duration // how long duplicates of an idempotency key are dropped
	Consistency       Consistency
	MaxStaleness      time.Duration // greatest age of the data for a Bounded class
}

// lateIsWorthless reports whether an answer after the latency objective earns
// nothing.
func (c *Class) lateIsWorthless() bool { return c.LateWeight == 0 }

// Config is a router's configuration, fixed for its lifetime.
type Config struct {
	Zone    int // the router's own zone
	Routers int // size of the fleet of routers
	Classes []Class

	StaleReadPolicy        StaleReadPolicy
	StaleReadWait          time.Duration // with WaitThenReject
	AnswersCarryPosition   bool          // every answer carries a replication position
	SessionTokens          bool          // session reads carry their token; else commits are remembered here
	HealthChecksReportRole bool          // health checks report role and position
	PollOnly               bool          // the endpoint list comes only when polled
	PollInterval           time.Duration // greatest interval between polls
	MaxAttempts            int           // of one request, 0 or less for no limit
	ParallelAttempts       bool          // a request may have several attempts in flight
	HealthChecks           bool          // endpoints answer health checks
	CancelAttempts         bool          // attempts in flight can be cancelled
	MaxRetryAfter          time.Duration // longest Retry-After that clients follow, 0 if they follow none

	SlowStartCapacity float64       // fraction of its capacity with which a restarted endpoint begins
	SlowStartDuration time.Duration // until it has all of it
	OverloadFactor    float64       // multiple of its present capacity that overloads a warming endpoint
	OverloadDuration  time.Duration // how long that must last
	RemovalEnforced   bool          // a removed endpoint must not receive anything more
}

// ErrIncomplete is returned by New for a configuration without classes, or
// without Actions.
var ErrIncomplete = errors.New("decide: classes and actions are needed")

// ClassError is returned by New for a class without a positive latency
// objective or with an invalid priority weight.
type ClassError struct {
	Index int
	Name  string
}

// Error implements error.
func (e *ClassError) Error() string {
	return fmt.Sprintf("decide: class %d (%s) has no latency objective or priority weight", e.Index, e.Name)
}

// normalized returns a checked copy of c that is independent of it.
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

// tightestPrimaryObjective is the shortest latency objective among the classes
// that only a primary serves.
func (c *Config) tightestPrimaryObjective() time.Duration {
	tightest := time.Duration(math.MaxInt64)
	for i := range c.Classes {
		if c.Classes[i].Consistency.needsPrimary() {
			tightest = min(tightest, c.Classes[i].LatencyObjective)
		}
	}
	return tightest
}

// tightestStaleness is the smallest staleness bound of a class, 0 if no class
// has one.
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
