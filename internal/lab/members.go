package lab

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"lotusbend/internal/faultnet"
	"lotusbend/internal/standin"
)

// member is one router of a drill on the fleet, in a process of its own.
type member struct {
	r           *Router
	admin       string
	start       int64 // the instance's start as its own view tells, 0 before known
	running     bool
	zone        int
	calm        time.Time // until then, its deaths in others' views are no fault
	pausedUntil time.Time
}

// memberOptions say what routers a drill starts: each with membership on,
// reaching the others only through a relay.
type memberOptions struct {
	Seed     uint64
	Procs    int
	Binary   string
	Log      io.Writer
	Level    string // of the routers' log
	Standin  standin.Options
	Faults   faultnet.Faults
	Settings string             // of the classes and rules, with a place for the number of routers
	Sabotage string             // of membership
	Shared   func(i int) string // the section of the i-th router, nil for off
}

// members are the routers of a drill, with what stands around them.
type members struct {
	ms      []*member
	backs   []netip.AddrPort
	relay   *faultnet.Relay
	cluster *standin.Cluster
	dir     string
}

// startMembers starts everything; what was started before an error is for
// close to end.
func startMembers(o memberOptions) (f *members, err error) {
	f = &members{}
	if f.cluster, err = standin.Start(o.Standin); err != nil {
		return f, err
	}
	if f.dir, err = os.MkdirTemp("", "lotuslab-members"); err != nil {
		return f, err
	}
	// Held until the relay has its own: it must not be given one of them.
	var held []net.PacketConn
	for range o.Procs {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return f, err
		}
		held = append(held, c)
		f.backs = append(f.backs, netip.MustParseAddrPort(c.LocalAddr().String()))
	}
	f.relay, err = faultnet.New(o.Seed, f.backs)
	for _, c := range held {
		_ = c.Close()
	}
	if err != nil {
		return f, err
	}
	f.relay.Set(o.Faults)
	for i := range o.Procs {
		m := &member{zone: i % 2, running: true}
		f.ms = append(f.ms, m)
		if m.admin, err = freeAddress("tcp"); err != nil {
			return f, err
		}
		m.r = &Router{Name: fmt.Sprint("m", i+1), Frame: m.admin, dir: f.dir, binary: o.Binary, log: o.Log}
		if m.r.Listen, err = freeAddress("tcp"); err != nil {
			return f, err
		}
		sabotage, shared := "", ""
		if o.Sabotage != "" {
			sabotage = fmt.Sprintf(`, "sabotage": %q`, o.Sabotage)
		}
		if o.Shared != nil {
			shared = fmt.Sprintf(`, "shared": {%s}`, o.Shared(i))
		}
		opts := fmt.Sprintf(`{"log": {"level": %q}, "membership": {"bind": %q, "advertise": %q, "seeds": [%q], "admin": %q, "zone": "z%d", "period_ms": %d%s}%s}`,
			o.Level, f.backs[i], f.relay.Address(i), f.relay.Address(0), m.admin, m.zone, periodMs, sabotage, shared)
		config := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":256},"known":%s,"settings":%s}`,
			m.r.Name, m.r.Listen, f.cluster.Discovery, o.Seed+uint64(i), f.cluster.EndpointList(), fmt.Sprintf(o.Settings, o.Procs))
		if err := os.WriteFile(m.r.configPath(), []byte(config), 0o600); err != nil {
			return f, err
		}
		if err := os.WriteFile(m.r.settingsPath(), []byte(opts), 0o600); err != nil {
			return f, err
		}
	}
	for _, m := range f.ms {
		if err := m.r.Start(); err != nil {
			return f, err
		}
		if err := m.r.waitReady(10 * time.Second); err != nil {
			return f, err
		}
	}
	return f, nil
}

// close ends every process that was started, by its id, and all around them.
func (f *members) close() {
	for _, m := range f.ms {
		if m.r == nil {
			continue
		}
		m.signal(syscall.SIGCONT) // a paused one must hear its end
		m.r.Kill()
	}
	if f.relay != nil {
		f.relay.Close()
	}
	if f.cluster != nil {
		f.cluster.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

// signal sends s to the process, if it runs, without waiting.
func (m *member) signal(s syscall.Signal) {
	m.r.mu.Lock()
	defer m.r.mu.Unlock()
	if m.r.cmd != nil {
		_ = m.r.cmd.Process.Signal(s)
	}
}
