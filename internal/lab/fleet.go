// Package lab runs drills, which are end-to-end tests under faults. It starts router
// processes against stand-in database groups on loopback, simulates devices and
// clients, injects faults, and audits what the stand-ins recorded. It is not part of
// a router.
package lab

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"lotusbend/internal/standin"
)

// errDrillEnded is returned to a device that waits for an answer when its context is
// done.
var errDrillEnded = errors.New("lab: the drill has ended")

// Fleet is a stand-in cluster and routers with their edge enabled.
type Fleet struct {
	Cluster *standin.Cluster
	Routers []*Router
	dir     string // holds the routers' files
}

// FleetOptions configures StartFleet.
type FleetOptions struct {
	Binary      string // path of the router program
	Standin     standin.Options
	Routers     int
	EdgeKeys    string    // further keys of the edge settings, each followed by a comma
	SocketLimit int       // limit of sockets of each router; 0 for defaultSocketLimit
	Store       bool      // enables store and forward
	Log         io.Writer // receives the routers' standard error; nil to discard
}

const (
	defaultSocketLimit = 4096
	// maxStartAttempts limits the attempts to start a router. An address that was
	// free may be in use by the time the router listens; see addressAllocator.
	maxStartAttempts = 5
)

// StartFleet starts a fleet on loopback addresses. The caller must call Close,
// except after an error.
func StartFleet(o FleetOptions) (f *Fleet, err error) {
	f = &Fleet{}
	defer func() {
		if err != nil {
			f.Close()
			f = nil
		}
	}()
	f.dir, err = os.MkdirTemp("", "lotuslab")
	if err != nil {
		return f, err
	}
	f.Cluster, err = standin.Start(o.Standin)
	if err != nil {
		return f, err
	}
	for n := range o.Routers {
		r := &Router{Name: fmt.Sprint("n", n+1), dir: f.dir, binary: o.Binary, log: o.Log}
		f.Routers = append(f.Routers, r)
		if err := f.startRouter(r, n, o); err != nil {
			return f, err
		}
	}
	return f, nil
}

// startRouter configures and starts router n. It retries with new addresses if the
// router does not become ready.
func (f *Fleet) startRouter(r *Router, n int, o FleetOptions) (err error) {
	for range maxStartAttempts {
		if err := f.configure(r, n, o); err != nil {
			return err
		}
		if err := r.Start(); err != nil {
			return err
		}
		if err = r.waitReady(); err == nil {
			return nil
		}
	}
	return err
}

// configure allocates new addresses for router n and writes its files.
func (f *Fleet) configure(r *Router, n int, o FleetOptions) error {
	for _, address := range []struct {
		network string
		to      *string
	}{
		{"tcp", &r.Listen},
		{"udp", &r.CoAP},
		{"tcp", &r.MQTT},
		{"tcp", &r.Frames},
	} {
		free, err := addresses.allocate(address.network)
		if err != nil {
			return err
		}
		*address.to = free.String()
	}
	r.readyAddress = r.Frames
	sockets := o.SocketLimit
	if sockets == 0 {
		sockets = defaultSocketLimit
	}
	settings := fmt.Sprintf(routerSettings, o.Routers)
	config := fmt.Sprintf(deploymentFile, r.Name, r.Listen, f.Cluster.Discovery, o.Standin.Seed+uint64(n),
		sockets, f.Cluster.EndpointList(), settings)
	edgeKeys := o.EdgeKeys
	if o.Store {
		edgeKeys += fmt.Sprintf("%q: %q, ", "store", filepath.Join(f.dir, r.Name+".db"))
	}
	groups := groupList(o.Standin.Groups)
	return r.writeFiles(config, fmt.Sprintf(edgeSettings, r.CoAP, r.MQTT, r.Frames, edgeKeys, groups, groups))
}

// groupList returns the numbers of all groups, separated by commas.
func groupList(count int) string {
	numbers := make([]string, count)
	for i := range numbers {
		numbers[i] = strconv.Itoa(i + 1)
	}
	return strings.Join(numbers, ", ")
}

// Close stops the routers and the cluster, and removes the routers' files.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.stop(syscall.SIGTERM)
	}
	if f.Cluster != nil {
		f.Cluster.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}
