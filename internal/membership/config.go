package membership

import "fmt"

const (
	maxIndirectProbes = 16
	minPacketBytes    = 512
	maxPacketBytes    = 1400
	// identityPacketDivisor limits a packet with one update of this member to a
	// quarter of the largest packet, so that several updates fit into one packet.
	identityPacketDivisor = 4
)

// Config holds the settings of one member. They are fixed for its lifetime. n is
// the number of members.
type Config struct {
	Name  string // unique in the fleet; a restarted process keeps it and has a later Start
	Addr  string // address to which the other members send packets
	Zone  string // zone of the member, only disseminated and counted in View.Zones
	Start int64  // start time of the process, in milliseconds
	Seed  uint64 // seed of all random choices

	ProbeIntervalMs      int64   // SWIM's protocol period: time between probes, scaled by local health
	ProbeTimeoutMs       int64   // time to wait for the ack of a direct ping before indirect probes
	IndirectProbes       int     // number of members requested to probe an unresponsive target
	SuspicionMult        float64 // minimum suspicion: SuspicionMult x max(1, log10 n) probe intervals
	SuspicionMaxMult     float64 // maximum suspicion, without confirmations, in minimum suspicions
	RetransmitMult       int     // an update is sent on RetransmitMult x ceil(log10(n+1)) packets
	MaxAwareness         int     // maximum of Lifeguard's local health score; probes slow by score + 1
	PushPullIntervalMs   int64   // time between push-pulls, each of one page
	ReconnectEvery       int     // each ReconnectEvery-th push-pull goes to a dead member, to heal partitions
	ReclaimMs            int64   // time after which a dead or left member is forgotten
	MaxPacketBytes       int     // maximum size of an encoded packet
	GossipBytesPerSecond int     // budget of gossip and of all messages but pings, ping-reqs and their acks
	MaxMembers           int     // maximum number of other members; further names are dropped

	// FaultInjection disables guards of the protocol in drills and tests. It is nil
	// in production.
	FaultInjection FaultInjection
}

// Defaults returns settings for a loopback or data-centre network: a 200 ms probe
// interval, suspicions of at least 800 ms in small fleets, and 1,400-byte
// packets. Name, Addr, Zone, Start and Seed are left empty.
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

// ConfigError describes an invalid setting.
type ConfigError struct {
	Setting string // operators' name of the setting, or of several related settings
	Problem string // the value and what is allowed
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("invalid setting: %s %s", e.Setting, e.Problem)
}

// configError returns a *ConfigError with a formatted problem.
func configError(setting, format string, values ...any) error {
	return &ConfigError{Setting: setting, Problem: fmt.Sprintf(format, values...)}
}

// Check returns a *ConfigError for the first invalid setting, nil if all are
// valid.
func (c Config) Check() error {
	switch {
	case c.Name == "":
		return configError("name", "is empty")
	case c.ProbeIntervalMs <= 0:
		return configError("period_ms", "is %d, want more than 0", c.ProbeIntervalMs)
	case c.ProbeTimeoutMs <= 0 || c.ProbeTimeoutMs >= c.ProbeIntervalMs:
		return configError("probe timeout", "is %d ms, want more than 0 and less than period_ms %d",
			c.ProbeTimeoutMs, c.ProbeIntervalMs)
	case c.IndirectProbes < 0 || c.IndirectProbes > maxIndirectProbes:
		return configError("indirect_k", "is %d, want 0 to %d", c.IndirectProbes, maxIndirectProbes)
	case c.SuspicionMult < 1 || c.SuspicionMaxMult < 1:
		return configError("suspicion_mult", "is %g and its maximum multiple %g, want 1 or more for both",
			c.SuspicionMult, c.SuspicionMaxMult)
	case c.RetransmitMult < 1 || c.MaxAwareness < 0 || c.ReconnectEvery < 1:
		return configError("retransmit_mult and reconnect_every",
			"are %d and %d, want 1 or more; awareness_max is %d, want 0 or more",
			c.RetransmitMult, c.ReconnectEvery, c.MaxAwareness)
	case c.MaxMembers < 1:
		return configError("max_members", "is %d, want 1 or more", c.MaxMembers)
	case c.PushPullIntervalMs <= 0 || c.ReclaimMs <= 0:
		return configError("sync_ms and reclaim_ms", "are %d and %d, want more than 0",
			c.PushPullIntervalMs, c.ReclaimMs)
	case c.MaxPacketBytes < minPacketBytes || c.MaxPacketBytes > maxPacketBytes:
		return configError("max_packet", "is %d bytes, want %d to %d",
			c.MaxPacketBytes, minPacketBytes, maxPacketBytes)
	case c.GossipBytesPerSecond < c.MaxPacketBytes:
		return configError("budget_bytes_s", "is %d, want max_packet %d or more",
			c.GossipBytesPerSecond, c.MaxPacketBytes)
	case c.identityBytes() > c.MaxPacketBytes/identityPacketDivisor:
		return configError("name, address and zone", "take %d bytes of a packet, want at most %d",
			c.identityBytes(), c.MaxPacketBytes/identityPacketDivisor)
	}
	return nil
}

// identityBytes returns the maximum size of a packet that contains only this
// member's own update.
func (c Config) identityBytes() int {
	return updateOverhead + len(c.Name) + len(c.Addr) + len(c.Zone) + messageOverhead
}
