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

// memberSocketLimit is the limit of sockets of each member.
const memberSocketLimit = 256

// member is a router with membership enabled, in its own process.
type member struct {
	router        *Router
	admin         string // host:port of the admin page
	start         int64  // membership.Update.Start in the instance's own view; 0 if not known yet
	running       bool
	zone          int
	settlingUntil time.Time // until then it may be dead in others' views, and others in its view
	pausedUntil   time.Time // zero if it is not paused
}

func (m *member) paused() bool { return m.pausedUntil.After(time.Now()) }

// memberOptions configures a memberFleet.
type memberOptions struct {
	Seed     uint64
	Procs    int       // number of routers
	Binary   string    // path of the router program
	Log      io.Writer // receives the standard error of the routers
	LogLevel string    // log level of the routers
	Standin  standin.Options
	Faults   faultnet.Faults    // on every link
	Settings string             // format string of the routing settings; its argument is Procs
	Sabotage string             // sabotage setting of membership; "" for none
	Shared   func(i int) string // returns the shared-state settings of router i; nil disables shared state
}

// memberFleet is a set of routers with membership enabled. They reach each other
// only through a relay that injects faults.
type memberFleet struct {
	members []*member
	sockets []netip.AddrPort // membership addresses of the members, behind the relay
	relay   *faultnet.Relay
	cluster *standin.Cluster
	dir     string // holds the members' files
}

// startMembers starts the stand-ins, the relay and the routers. The caller must call
// close, also after an error.
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

// startRelay allocates the members' membership addresses and starts the relay in
// front of them.
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

// configure allocates the addresses of member i and writes its files.
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

// memberSettings returns the operators' settings file of member i.
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

// close stops every process, the relay and the stand-ins, and removes the files.
func (f *memberFleet) close() {
	for _, m := range f.members {
		m.router.signal(syscall.SIGCONT) // it may be paused
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

// cut returns a function that reports which links a cut blocks: all between the two
// zones for "zones", those from zone 1 to zone 0 for "oneway". It returns nil, which
// blocks none, for any other name.
func (f *memberFleet) cut(name string) func(from, to int) bool {
	switch name {
	case "zones":
		return func(from, to int) bool { return f.members[from].zone != f.members[to].zone }
	case "oneway":
		return func(from, to int) bool { return f.members[from].zone == 1 && f.members[to].zone == 0 }
	}
	return nil
}
