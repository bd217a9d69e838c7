// Package lab starts stand-in fleets with real routers, plays devices, clients
// and faults against them, and audits what the stand-ins recorded. It is not
// part of a router.
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

// errDrillEnded ends a device's work when the drill is over.
var errDrillEnded = errors.New("lab: the drill is over")

// Fleet is a stand-in cluster with routers that have an edge.
type Fleet struct {
	Cluster *standin.Cluster
	Routers []*Router
	dir     string
}

// FleetOptions say what to start.
type FleetOptions struct {
	Binary      string // the router's program
	Standin     standin.Options
	Routers     int
	EdgeKeys    string    // further keys of the edge's settings, each ended by a comma
	SocketLimit int       // limit of each router, 0 for 4096
	Store       bool      // store and forward
	Log         io.Writer // the routers' standard error
}

const (
	defaultSocketLimit = 4096
	// maxStartAttempts bounds the attempts to start a router: an address that was
	// free may be in use by the time the router listens.
	maxStartAttempts = 5
)

// StartFleet starts a fleet on loopback. Close ends it; after an error nothing
// is left to close.
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

// startRouter configures and starts the n-th router.
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

// configure finds addresses for the n-th router and writes its files.
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

// groupList lists the numbers of groups for a settings file.
func groupList(count int) string {
	numbers := make([]string, count)
	for i := range numbers {
		numbers[i] = strconv.Itoa(i + 1)
	}
	return strings.Join(numbers, ", ")
}

// Close ends everything that was started, and removes its files.
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
