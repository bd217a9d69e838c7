package fleetstate

import (
	"errors"
	"testing"
)

// Config.Check returns an error that names the invalid setting.
func TestConfigErrorNamesTheSetting(t *testing.T) {
	for setting, change := range map[string]func(*Config){
		"name":       func(c *Config) { c.Name = "" },
		"tick_ms":    func(c *Config) { c.TickMs = 0 },
		"lease_ms":   func(c *Config) { c.LeaseMs = 2*c.TickMs - 1 },
		"skew_ms":    func(c *Config) { c.SkewMs = -1 },
		"lendable":   func(c *Config) { c.MaxLentFraction = 1 },
		"fold_ms":    func(c *Config) { c.CounterRetentionMs = 1 },
		"claim_ms":   func(c *Config) { c.ReportTTLMs = 0 },
		"hint_ms":    func(c *Config) { c.EjectionMs = c.TickMs - 1 },
		"hearsay_ms": func(c *Config) { c.GossipEjectionMs = c.EjectionMs - 1 },
		"share_most": func(c *Config) { c.MaxEjectedFraction = 1 },
	} {
		cfg := Defaults()
		cfg.Name = "a"
		change(&cfg)
		var invalid *ConfigError
		if err := cfg.Check(); !errors.As(err, &invalid) || invalid.Setting != setting {
			t.Errorf("Check() with an invalid %s = %v, want a ConfigError that names it", setting, err)
		}
	}
}
