package membership

import (
	"errors"
	"fmt"
)

// Config is one member's settings. Times are in milliseconds.
type Config struct {
	Name  string // unique in the fleet; a restart keeps it and takes a later Start
	Addr  string
	Zone  string
	Start int64
	Seed  uint64

	ProbeIntervalMs      int64   // one probe a period, longer while this member doubts itself
	ProbeTimeoutMs       int64   // a direct ping's answer; then IndirectK members are asked
	IndirectProbes       int     // members asked to probe for us
	SuspicionMult        float64 // a suspicion lasts SuspicionMult x max(1, log10 n) periods at least
	SuspicionMaxMult     float64 // and this many times that at most, with no confirmation
	RetransmitMult       int     // a rumor rides on RetransmitMult x ceil(log10(n+1)) packets
	MaxAwareness         int     // Lifeguard's local health: probes slow by up to this factor + 1
	PushPullIntervalMs   int64   // a push-pull of one page at most this often
	ReconnectEvery       int     // every so many push-pulls go to a dead member, to heal a partition
	ReclaimMs            int64   // a dead or left member is forgotten after this
	MaxPacketBytes       int     // bytes in one packet, all told
	GossipBytesPerSecond int     // bytes a second for gossip and push-pull; probes come first
	MaxMembers           int     // members held at most: a peer's rumors of new names past it are dropped

	// Sabotage takes out one guard, for drills that must see their check
	// fail: "no-refute", "no-pushpull" or "no-suspicion" (a failed probe is a
	// death at once). Empty in service.
	Sabotage string
}

// Defaults are settings for a loopback or data-centre network: a 200 ms
// period, 4 s suspicions at least for small fleets, 1,400-byte packets.
func Defaults() Config {
	return Config{
		ProbeIntervalMs: 200, ProbeTimeoutMs: 80, IndirectProbes: 3,
		SuspicionMult: 4, SuspicionMaxMult: 6, RetransmitMult: 4, MaxAwareness: 8,
		PushPullIntervalMs: 1000, ReconnectEvery: 4, ReclaimMs: 60_000,
		MaxPacketBytes: 1400, GossipBytesPerSecond: 8000, MaxMembers: 4096,
	}
}

// Check names the first setting that cannot work.
func (c Config) Check() error {
	switch {
	case c.Name == "":
		return errors.New("membership: name is empty")
	case c.ProbeIntervalMs <= 0:
		return fmt.Errorf("membership: period_ms %d, want above 0", c.ProbeIntervalMs)
	case c.ProbeTimeoutMs <= 0 || c.ProbeTimeoutMs >= c.ProbeIntervalMs:
		return fmt.Errorf("membership: probe timeout %d ms, want above 0 and under period_ms %d", c.ProbeTimeoutMs, c.ProbeIntervalMs)
	case c.IndirectProbes < 0 || c.IndirectProbes > 16:
		return fmt.Errorf("membership: indirect_k %d, want 0 to 16", c.IndirectProbes)
	case c.SuspicionMult < 1 || c.SuspicionMaxMult < 1:
		return fmt.Errorf("membership: suspicion_mult %g and max %g, want 1 or more", c.SuspicionMult, c.SuspicionMaxMult)
	case c.RetransmitMult < 1 || c.MaxAwareness < 0 || c.ReconnectEvery < 1:
		return errors.New("membership: retransmit_mult and reconnect_every want 1 or more, awareness_max 0 or more")
	case c.MaxMembers < 1:
		return fmt.Errorf("membership: max_members %d, want 1 or more", c.MaxMembers)
	case c.PushPullIntervalMs <= 0 || c.ReclaimMs <= 0:
		return errors.New("membership: sync_ms and reclaim_ms want above 0")
	case c.MaxPacketBytes < 512 || c.MaxPacketBytes > 1400:
		return fmt.Errorf("membership: max_packet %d, want 512 to 1400", c.MaxPacketBytes)
	case c.GossipBytesPerSecond < c.MaxPacketBytes:
		return fmt.Errorf("membership: budget_bytes_s %d, want max_packet %d or more", c.GossipBytesPerSecond, c.MaxPacketBytes)
	case c.Sabotage != "" && c.Sabotage != "no-refute" && c.Sabotage != "no-pushpull" && c.Sabotage != "no-suspicion":
		return fmt.Errorf("membership: sabotage %q, want no-refute, no-pushpull or no-suspicion", c.Sabotage)
	case rumorOverhead+len(c.Name)+len(c.Addr)+len(c.Zone)+messageOverhead > c.MaxPacketBytes/4:
		return errors.New("membership: name, address and zone are too long for a packet")
	}
	return nil
}
