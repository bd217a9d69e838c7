package lab

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"syscall"
	"time"

	"lotusbend/internal/faultnet"
	"lotusbend/internal/standin"
)

// memberSocketLimit is the limit of each member's sockets.
const memberSocketLimit = 256

// member is one router of a drill on the fleet, in a process of its own.
type member struct {
	router        *Router
	admin         string // address of the admin page
	start         int64  // the instance's start as its own view reports it, 0 if not known yet
	running       bool
	zone          int
	settlingUntil time.Time // until then, its death in others' views is no fault
	pausedUntil   time.Time
}

func (m *member) paused() bool { return m.pausedUntil.After(time.Now()) }

// memberOptions say what routers a drill starts: each with membership on,
// reaching the others only through a relay.
type memberOptions struct {
	Seed     uint64
	Procs    int // routers
	Binary   string
	Log      io.Writer // the routers' standard error
	LogLevel string    // of the routers' log
	Standin  standin.Options
	Faults   faultnet.Faults
	Settings string             // of the classes and rules, with a verb for the number of routers
	Sabotage string             // of membership, "" for none
	Shared   func(i int) string // the i-th router's settings of shared state; nil for off
}

// memberFleet is the routers of a drill and what surrounds them.
type memberFleet struct {
	members []*member
	sockets []netip.AddrPort // the members' own, behind the relay
	relay   *faultnet.Relay
	cluster *standin.Cluster
	dir     string
}

// startMembers starts everything. close ends it, also what was started before
// an error.
func startMembers(o memberOptions) (f *memberFleet, err error) {
	f = &memberFleet{}
	f.cluster, err = standin.Start(o.Standin)
	if err != nil {
		return f, err
	}
	f.dir, err = os.MkdirTemp("", "lotuslab-members")
	if err != nil {
		return f, err
	}
	if err := f.startRelay(o); err != nil {
		return f, err
	}
	for i := range o.Procs {
		m, err := f.configure(i, o)
		if err != nil {
			return f, err
		}
		f.members = append(f.members, m)
	}
	for _, m := range f.members {
		if err := m.router.Start(); err != nil {
			return f, err
		}
		if err := m.router.waitReady(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// startRelay finds sockets for the members and starts the relay before them.
func (f *memberFleet) startRelay(o memberOptions) (err error) {
	for range o.Procs {
		socket, err := addresses.allocate("udp")
		if err != nil {
			return err
		}
		f.sockets = append(f.sockets, socket)
	}
	f.relay, err = faultnet.New(o.Seed, f.sockets)
	if err != nil {
		return err
	}
	f.relay.Set(o.Faults)
	return nil
}

// configure finds addresses for the i-th member and writes its files.
func (f *memberFleet) configure(i int, o memberOptions) (*member, error) {
	admin, err := addresses.allocate("tcp")
	if err != nil {
		return nil, err
	}
	listen, err := addresses.allocate("tcp")
	if err != nil {
		return nil, err
	}
	r := &Router{
		Name:         fmt.Sprint("m", i+1),
		Listen:       listen.String(),
		readyAddress: admin.String(),
		dir:          f.dir,
		binary:       o.Binary,
		log:          o.Log,
	}
	m := &member{router: r, admin: admin.String(), zone: i % 2, running: true}
	config := fmt.Sprintf(deploymentFile, r.Name, r.Listen, f.cluster.Discovery, o.Seed+uint64(i),
		memberSocketLimit, f.cluster.EndpointList(), fmt.Sprintf(o.Settings, o.Procs))
	return m, r.writeFiles(config, f.memberSettings(i, m, o))
}

// memberSettings is the operators' settings file of the i-th member.
func (f *memberFleet) memberSettings(i int, m *member, o memberOptions) string {
	sabotage := ""
	if o.Sabotage != "" {
		sabotage = fmt.Sprintf(`, "sabotage": %q`, o.Sabotage)
	}
	shared := ""
	if o.Shared != nil {
		shared = fmt.Sprintf(`, "shared": {%s}`, o.Shared(i))
	}
	membership := fmt.Sprintf(
		`"bind": %q, "advertise": %q, "seeds": [%q], "admin": %q, "zone": "z%d", "period_ms": %d%s`,
		f.sockets[i], f.relay.Address(i), f.relay.Address(0), m.admin, m.zone, probePeriodMs, sabotage)
	return fmt.Sprintf(`{"log": {"level": %q}, "membership": {%s}%s}`, o.LogLevel, membership, shared)
}

// close ends every process that was started, and all around them.
func (f *memberFleet) close() {
	for _, m := range f.members {
		m.router.signal(syscall.SIGCONT) // a paused process can only be waited for once it runs
		m.router.Kill()
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

// cut returns the links that a cut named by a drill's option loses: between the
// zones, one way between them, or nil for none.
func (f *memberFleet) cut(name string) func(from, to int) bool {
	switch name {
	case "zones":
		return func(from, to int) bool { return f.members[from].zone != f.members[to].zone }
	case "oneway":
		return func(from, to int) bool { return f.members[from].zone == 1 && f.members[to].zone == 0 }
	}
	return nil
}
