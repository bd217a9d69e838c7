package fleetstate

import "fmt"

// minMessageBytes is the lower limit of Config.MaxMessageBytes. It has room for a
// health report, lease request or lease grant with the longest name, and for a
// counter entry with the longest name and 208 bytes of counters.
const minMessageBytes = 400

// Config configures a Node and is fixed for its lifetime. Times are in
// milliseconds.
type Config struct {
	Name  string // member name in the membership view
	Start int64  // start time of this incarnation, the epoch of its counters
	Seed  uint64 // of the random number generators

	TickMs            int64 // interval between messages with reports and lease requests
	CounterIntervalMs int64 // interval between messages with counters, each sent to one peer

	// LeaseMs is the duration of a lease, which the borrower counts from its
	// request. SkewMs is how much longer the lender waits before it uses the
	// lent quota again. Leases never compare clocks of different routers: the
	// lender counts from its grant, which is later than the request. SkewMs
	// therefore covers clocks that run at different speeds or step by up to
	// SkewMs within a lease. It also limits how far the stamp of a received
	// counter entry may be ahead of this router's clock.
	LeaseMs           int64
	SkewMs            int64
	MaxLentFraction   float64 // maximum fraction of its own stake that a router lends
	MaxBorrowedStakes float64 // maximum total borrowed of a budget, in multiples of the own stake
	LendersPerTick    int     // number of peers that a lease request is sent to in a tick

	CounterRetentionMs int64 // counters not updated for this long are compacted into one total
	MaxCounterEntries  int   // maximum number of counter entries, one for each incarnation of a router

	// ReportTTLMs is the maximum age of a report's evidence. The age at which
	// reports expire is drawn for each suspicion, between half of it and all.
	ReportTTLMs        int64
	EjectionMs         int64   // an ejection ends after this unless renewed
	GossipEjectionMs   int64   // how long gossip alone may eject before this router must try the endpoint
	MaxEjectedFraction float64 // maximum fraction of a group's endpoints that gossip ejects at once
	RequiredSupport    float64 // sum of the reporters' reputations needed to eject by gossip alone
	FanOut             int     // number of peers that reports are sent to in a tick

	MaxMessageBytes int // maximum size of an encoded message

	FaultInjection FaultInjection // guards that a drill or test disables, nil in production
}

// Defaults returns a configuration for routers whose network latency is a few
// milliseconds. Name, Start and Seed are left for the caller to set.
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

// ConfigError reports an invalid setting. Config.Check returns it.
type ConfigError struct {
	Setting string // key in the settings file, or the Config field where there is no key
	Value   any
	Want    string // the allowed values
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("fleetstate: %s is %v, want %s", e.Setting, e.Value, e.Want)
}

// Check validates the configuration. It returns a *ConfigError for the first
// invalid setting.
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
		return &ConfigError{"counts_ms", c.CounterIntervalMs, fmt.Sprintf("tick_ms (%d) or more", c.TickMs)}
	case c.LeaseMs < 2*c.TickMs:
		return &ConfigError{"lease_ms", c.LeaseMs, fmt.Sprintf("twice the tick_ms (%d) or more", c.TickMs)}
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
		return &ConfigError{"MaxBorrowedStakes", c.MaxBorrowedStakes, "0 or more"}
	case c.LendersPerTick < 0:
		return &ConfigError{"LendersPerTick", c.LendersPerTick, "0 or more"}
	}
	return nil
}

func (c Config) checkCounters() *ConfigError {
	minRetentionMs := 10 * (c.LeaseMs + c.SkewMs)
	switch {
	case c.CounterRetentionMs < minRetentionMs:
		want := fmt.Sprintf("ten leases of lease_ms plus skew_ms (%d) or more", minRetentionMs)
		return &ConfigError{"fold_ms", c.CounterRetentionMs, want}
	case c.MaxCounterEntries < 1:
		return &ConfigError{"MaxCounterEntries", c.MaxCounterEntries, "1 or more"}
	}
	return nil
}

func (c Config) checkReports() *ConfigError {
	switch {
	case c.ReportTTLMs <= 0:
		return &ConfigError{"claim_ms", c.ReportTTLMs, "more than 0"}
	case c.EjectionMs < c.TickMs:
		return &ConfigError{"hint_ms", c.EjectionMs, fmt.Sprintf("tick_ms (%d) or more", c.TickMs)}
	case c.GossipEjectionMs < c.EjectionMs:
		want := fmt.Sprintf("hint_ms (%d) or more", c.EjectionMs)
		return &ConfigError{"hearsay_ms", c.GossipEjectionMs, want}
	case c.FanOut < 1:
		return &ConfigError{"FanOut", c.FanOut, "1 or more"}
	}
	return nil
}

func (c Config) checkEjections() *ConfigError {
	switch {
	case c.MaxEjectedFraction < 0 || c.MaxEjectedFraction >= 1:
		return &ConfigError{"share_most", c.MaxEjectedFraction, "0 to below 1"}
	case c.RequiredSupport <= 0:
		return &ConfigError{"RequiredSupport", c.RequiredSupport, "more than 0"}
	}
	return nil
}

func (c Config) checkMessages() *ConfigError {
	if c.MaxMessageBytes < minMessageBytes {
		want := fmt.Sprintf("%d bytes or more", minMessageBytes)
		return &ConfigError{"MaxMessageBytes", c.MaxMessageBytes, want}
	}
	return nil
}
