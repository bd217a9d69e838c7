package fleetstate

import "fmt"

// Config is one router's settings. Times are in milliseconds.
type Config struct {
	Name  string // the member's name in the view
	Start int64  // this instance's start: the epoch of its counters
	Seed  uint64

	TickMs            int64 // how often claims and asks go out
	CounterIntervalMs int64 // how often a page of counters does, to one peer

	// LeaseMs is how long a lent share is the borrower's, from the moment it
	// asked; SkewMs is what the lender waits longer. No clock is compared
	// with another: the borrower counts from its asking, the lender from its
	// granting, which is later; so SkewMs covers clocks that run at unequal
	// speed or step by up to that much within a lease.
	LeaseMs, SkewMs   int64
	MaxLentFraction   float64 // share of its own stake that a router lends at most
	MaxBorrowedStakes float64 // borrowed at most, in stakes of one's own
	LendersPerTick    int     // peers asked a tick

	CounterRetentionMs int64 // counters of a router unheard for this long join one total
	MaxCounterEntries  int   // counters of routers and restarts kept apart

	ReportTTLMs        int64   // a claim counts this long after the evidence it tells of, at most: drawn from half of it on
	EjectionMs         int64   // a judgement lasts this long unless renewed
	GossipEjectionMs   int64   // hearsay alone, before this router must have tried the host itself
	MaxEjectedFraction float64 // of a group's members that hearsay may pass over at once
	RequiredSupport    float64 // standing of the claimants, added up, that hearsay needs
	FanOut             int     // peers told a tick while this router has claims

	MaxMessageBytes int // of one message

	// Sabotage takes a guard out, for drills that must see their check fail:
	// "no-lease-wait" (a lender goes on using what it lent, and lends it again), "trust-one" (one
	// claim is enough, whatever was seen here), "counts-by-sum" (merge by
	// addition) or "never-expire" (leases and claims do not end). "liar"
	// makes this router claim that every host hangs, "liar-well" that every one
	// is well. Empty in service.
	Sabotage string
}

// Defaults are settings for routers a few milliseconds apart.
func Defaults() Config {
	return Config{
		TickMs: 200, CounterIntervalMs: 500, LeaseMs: 3000, SkewMs: 2000, MaxLentFraction: 0.5, MaxBorrowedStakes: 3, LendersPerTick: 3,
		CounterRetentionMs: 600_000, MaxCounterEntries: 4096,
		ReportTTLMs: 10_000, EjectionMs: 500, GossipEjectionMs: 20_000, MaxEjectedFraction: 0.5, RequiredSupport: 1.5, FanOut: 8,
		MaxMessageBytes: 1200,
	}
}

// Check names the first setting that cannot work.
func (c Config) Check() error {
	switch {
	case c.Name == "" || len(c.Name) > maxNameBytes:
		return fmt.Errorf("shared state: name %q, want 1 to %d bytes", c.Name, maxNameBytes)
	case c.TickMs <= 0 || c.CounterIntervalMs < c.TickMs || c.LeaseMs < 2*c.TickMs:
		return fmt.Errorf("shared state: lease_ms %d, want twice the tick of %d or more; counts every %d ms, want a tick or more", c.LeaseMs, c.TickMs, c.CounterIntervalMs)
	case c.SkewMs < 0:
		return fmt.Errorf("shared state: skew_ms %d, want 0 or more", c.SkewMs)
	case c.MaxLentFraction < 0 || c.MaxLentFraction >= 1 || c.MaxBorrowedStakes < 0 || c.LendersPerTick < 0:
		return fmt.Errorf("shared state: lendable %g, want 0 to below 1; held most %g, lenders %d, want 0 or more", c.MaxLentFraction, c.MaxBorrowedStakes, c.LendersPerTick)
	case c.CounterRetentionMs < 10*(c.LeaseMs+c.SkewMs) || c.MaxCounterEntries < 1:
		return fmt.Errorf("shared state: fold_ms %d, want ten leases with their skew (%d) or more", c.CounterRetentionMs, 10*(c.LeaseMs+c.SkewMs))
	case c.ReportTTLMs <= 0 || c.EjectionMs < c.TickMs || c.GossipEjectionMs < c.EjectionMs || c.FanOut < 1:
		return fmt.Errorf("shared state: claim_ms %d and hint_ms %d, want above 0 and a tick of %d or more", c.ReportTTLMs, c.EjectionMs, c.TickMs)
	case c.MaxEjectedFraction < 0 || c.MaxEjectedFraction >= 1 || c.RequiredSupport <= 0:
		return fmt.Errorf("shared state: share_most %g, want 0 to below 1; support %g, want above 0", c.MaxEjectedFraction, c.RequiredSupport)
	case c.MaxMessageBytes < 400:
		return fmt.Errorf("shared state: %d bytes a message, want 400 or more", c.MaxMessageBytes)
	}
	switch c.Sabotage {
	case "", "no-lease-wait", "trust-one", "counts-by-sum", "never-expire", "liar", "liar-well":
		return nil
	}
	return fmt.Errorf("shared state: sabotage %q is not known", c.Sabotage)
}
