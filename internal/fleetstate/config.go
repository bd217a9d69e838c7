package fleetstate

import "fmt"

// minMessageBytes is the least that Config.MaxMessageBytes may be: one entry of
// each kind with the longest name.
const minMessageBytes = 400

// Config is one router's configuration, fixed for its lifetime. Times are in
// milliseconds.
type Config struct {
	Name  string // the member's name in the view
	Start int64  // start of this incarnation: the epoch of its counters
	Seed  uint64

	TickMs            int64 // interval between messages with reports and lease requests
	CounterIntervalMs int64 // interval between messages with counters, each to one peer

	// LeaseMs is how long a lent quota is the borrower's, from its request on;
	// SkewMs is how much longer the lender waits. No clock is compared with
	// another: the borrower counts from its request, the lender from its grant,
	// which is later. So SkewMs covers clocks that run at unequal speed or step
	// by up to that much within a lease.
	LeaseMs           int64
	SkewMs            int64
	MaxLentFraction   float64 // of its own stake that a router lends
	MaxBorrowedStakes float64 // borrowed at most, in stakes of its own
	LendersPerTick    int     // peers that a request is sent to in a tick

	CounterRetentionMs int64 // counters not updated for this long are compacted into one total
	MaxCounterEntries  int   // counters of routers and incarnations kept apart

	ReportTTLMs        int64   // from its evidence on, a report counts for half of this to all of it, drawn
	EjectionMs         int64   // an ejection ends after this unless renewed
	GossipEjectionMs   int64   // for how long gossip alone ejects, before this router must try the endpoint
	MaxEjectedFraction float64 // of a group's endpoints that gossip ejects at once
	RequiredSupport    float64 // sum of the reporters' reputations that gossip alone needs
	FanOut             int     // peers that reports are sent to in a tick

	MaxMessageBytes int // of one encoded message

	FaultInjection FaultInjection // nil in service, else the guards that a drill takes out
}

// Defaults is a configuration for routers a few milliseconds apart.
func Defaults() Config {
	return Config{
		TickMs:             200,
		CounterIntervalMs:  500,
		LeaseMs:            3000,
		SkewMs:             2000,
		MaxLentFraction:    0.5,
		MaxBorrowedStakes:  3,
		LendersPerTick:     3,
		CounterRetentionMs: 600_000,
		MaxCounterEntries:  4096,
		ReportTTLMs:        10_000,
		EjectionMs:         500,
		GossipEjectionMs:   20_000,
		MaxEjectedFraction: 0.5,
		RequiredSupport:    1.5,
		FanOut:             8,
		MaxMessageBytes:    1200,
	}
}

// ConfigError is returned by Config.Check for a setting that cannot work.
type ConfigError struct {
	Setting string // its key in the operators' file, where it has one
	Value   any
	Want    string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("fleetstate: %s is %v, want %s", e.Setting, e.Value, e.Want)
}

// Check returns a ConfigError for the first setting that cannot work.
func (c Config) Check() error {
	for _, check := range []func() *ConfigError{
		c.checkName,
		c.checkIntervals,
		c.checkLeases,
		c.checkCounters,
		c.checkReports,
		c.checkEjections,
		c.checkMessages,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c Config) checkName() *ConfigError {
	if c.Name == "" || len(c.Name) > maxNameBytes {
		return &ConfigError{"name", fmt.Sprintf("%q", c.Name), fmt.Sprintf("1 to %d bytes", maxNameBytes)}
	}
	return nil
}

func (c Config) checkIntervals() *ConfigError {
	switch {
	case c.TickMs <= 0:
		return &ConfigError{"tick_ms", c.TickMs, "more than 0"}
	case c.CounterIntervalMs < c.TickMs:
		return &ConfigError{"counts_ms", c.CounterIntervalMs, fmt.Sprintf("the tick of %d or more", c.TickMs)}
	case c.LeaseMs < 2*c.TickMs:
		return &ConfigError{"lease_ms", c.LeaseMs, fmt.Sprintf("twice the tick of %d or more", c.TickMs)}
	}
	return nil
}

func (c Config) checkLeases() *ConfigError {
	switch {
	case c.SkewMs < 0:
		return &ConfigError{"skew_ms", c.SkewMs, "0 or more"}
	case c.MaxLentFraction < 0 || c.MaxLentFraction >= 1:
		return &ConfigError{"lendable", c.MaxLentFraction, "0 to below 1"}
	case c.MaxBorrowedStakes < 0:
		return &ConfigError{"the limit of borrowed stakes", c.MaxBorrowedStakes, "0 or more"}
	case c.LendersPerTick < 0:
		return &ConfigError{"the number of lenders", c.LendersPerTick, "0 or more"}
	}
	return nil
}

func (c Config) checkCounters() *ConfigError {
	shortest := 10 * (c.LeaseMs + c.SkewMs)
	switch {
	case c.CounterRetentionMs < shortest:
		want := fmt.Sprintf("ten leases with their skew (%d) or more", shortest)
		return &ConfigError{"fold_ms", c.CounterRetentionMs, want}
	case c.MaxCounterEntries < 1:
		return &ConfigError{"the limit of counter entries", c.MaxCounterEntries, "1 or more"}
	}
	return nil
}

func (c Config) checkReports() *ConfigError {
	switch {
	case c.ReportTTLMs <= 0:
		return &ConfigError{"claim_ms", c.ReportTTLMs, "more than 0"}
	case c.EjectionMs < c.TickMs:
		return &ConfigError{"hint_ms", c.EjectionMs, fmt.Sprintf("the tick of %d or more", c.TickMs)}
	case c.GossipEjectionMs < c.EjectionMs:
		want := fmt.Sprintf("hint_ms (%d) or more", c.EjectionMs)
		return &ConfigError{"hearsay_ms", c.GossipEjectionMs, want}
	case c.FanOut < 1:
		return &ConfigError{"the fan-out", c.FanOut, "1 or more"}
	}
	return nil
}

func (c Config) checkEjections() *ConfigError {
	switch {
	case c.MaxEjectedFraction < 0 || c.MaxEjectedFraction >= 1:
		return &ConfigError{"share_most", c.MaxEjectedFraction, "0 to below 1"}
	case c.RequiredSupport <= 0:
		return &ConfigError{"the required support", c.RequiredSupport, "more than 0"}
	}
	return nil
}

func (c Config) checkMessages() *ConfigError {
	if c.MaxMessageBytes < minMessageBytes {
		want := fmt.Sprintf("%d bytes or more", minMessageBytes)
		return &ConfigError{"the size of a message", c.MaxMessageBytes, want}
	}
	return nil
}
