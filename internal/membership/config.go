package membership

import "fmt"

const (
	maxIndirectProbes = 16
	minPacketBytes    = 512
	maxPacketBytes    = 1400
	// identityPacketDivisor: name, address and zone fit into this part of a packet,
	// so that several updates do.
	identityPacketDivisor = 4
)

// Config is one member's settings, fixed for its lifetime. Times are in
// milliseconds.
type Config struct {
	Name  string // unique in the fleet; a restart keeps it and takes a later Start
	Addr  string // where the other members send their packets
	Zone  string
	Start int64  // when the process started, ms
	Seed  uint64 // of all randomness

	ProbeIntervalMs      int64   // SWIM's protocol period: one probe each, longer at low local health
	ProbeTimeoutMs       int64   // wait for a direct ping's ack before the indirect probes
	IndirectProbes       int     // members requested to probe an unresponsive target
	SuspicionMult        float64 // shortest suspicion: SuspicionMult x max(1, log10 n) probe intervals
	SuspicionMaxMult     float64 // longest suspicion, without confirmations, in shortest ones
	RetransmitMult       int     // an update rides on RetransmitMult x ceil(log10(n+1)) packets
	MaxAwareness         int     // Lifeguard's local health: probes slow by up to this factor + 1
	PushPullIntervalMs   int64   // between push-pulls, of one page each
	ReconnectEvery       int     // every so many push-pulls go to a dead member, to heal a partition
	ReclaimMs            int64   // a dead or left member is forgotten after this
	MaxPacketBytes       int     // bytes in one packet, everything included
	GossipBytesPerSecond int     // budget of gossip, push-pull and user data; probes are exempt
	MaxMembers           int     // bound on the other members; updates of further names are dropped

	// FaultInjection disables guards in drills and tests, nil in service.
	FaultInjection FaultInjection
}

// Defaults are settings for a loopback or data-centre network: a 200 ms probe
// interval, suspicions of at least 800 ms in small fleets, 1,400-byte packets.
func Defaults() Config {
	return Config{
		ProbeIntervalMs:      200,
		ProbeTimeoutMs:       80,
		IndirectProbes:       3,
		SuspicionMult:        4,
		SuspicionMaxMult:     6,
		RetransmitMult:       4,
		MaxAwareness:         8,
		PushPullIntervalMs:   1000,
		ReconnectEvery:       4,
		ReclaimMs:            60_000,
		MaxPacketBytes:       maxPacketBytes,
		GossipBytesPerSecond: 8000,
		MaxMembers:           4096,
	}
}

// ConfigError is returned by Config.Check for the first setting that cannot
// work.
type ConfigError struct {
	Setting string // as named to the operators, or several that belong together
	Problem string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("membership: %s %s", e.Setting, e.Problem)
}

// configError builds a ConfigError with a formatted problem.
func configError(setting, format string, values ...any) error {
	return &ConfigError{Setting: setting, Problem: fmt.Sprintf(format, values...)}
}

// Check returns a *ConfigError for the first setting that cannot work.
func (c Config) Check() error {
	switch {
	case c.Name == "":
		return configError("name", "is empty")
	case c.ProbeIntervalMs <= 0:
		return configError("period_ms", "%d, want above 0", c.ProbeIntervalMs)
	case c.ProbeTimeoutMs <= 0 || c.ProbeTimeoutMs >= c.ProbeIntervalMs:
		return configError("probe timeout", "%d ms, want above 0 and under period_ms %d",
			c.ProbeTimeoutMs, c.ProbeIntervalMs)
	case c.IndirectProbes < 0 || c.IndirectProbes > maxIndirectProbes:
		return configError("indirect_k", "%d, want 0 to %d", c.IndirectProbes, maxIndirectProbes)
	case c.SuspicionMult < 1 || c.SuspicionMaxMult < 1:
		return configError("suspicion_mult", "%g and max %g, want 1 or more",
			c.SuspicionMult, c.SuspicionMaxMult)
	case c.RetransmitMult < 1 || c.MaxAwareness < 0 || c.ReconnectEvery < 1:
		return configError("retransmit_mult and reconnect_every", "want 1 or more, awareness_max 0 or more")
	case c.MaxMembers < 1:
		return configError("max_members", "%d, want 1 or more", c.MaxMembers)
	case c.PushPullIntervalMs <= 0 || c.ReclaimMs <= 0:
		return configError("sync_ms and reclaim_ms", "want above 0")
	case c.MaxPacketBytes < minPacketBytes || c.MaxPacketBytes > maxPacketBytes:
		return configError("max_packet", "%d, want %d to %d",
			c.MaxPacketBytes, minPacketBytes, maxPacketBytes)
	case c.GossipBytesPerSecond < c.MaxPacketBytes:
		return configError("budget_bytes_s", "%d, want max_packet %d or more",
			c.GossipBytesPerSecond, c.MaxPacketBytes)
	case c.identityBytes() > c.MaxPacketBytes/identityPacketDivisor:
		return configError("name, address and zone", "are too long for a packet")
	}
	return nil
}

// identityBytes is the size of a packet with just this member's update.
func (c Config) identityBytes() int {
	return updateOverhead + len(c.Name) + len(c.Addr) + len(c.Zone) + messageOverhead
}
