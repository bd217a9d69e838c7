// Package lab starts stand-in fleets with real routers, plays devices and
// troubles against them, and audits what the stand-ins recorded.
package lab

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lotusbend/internal/standin"
)

// settings are the classes and rules that a router of the lab is told, in the
// form of the deployment's.
const settings = `{"Classes": [
 {"AimMs": 500, "GiveUpMs": 1200, "Group": "all", "Importance": 2, "KeyTtlMs": 5000, "LateWorth": 0, "Name": "park-view", "Semantics": "pure"},
 {"AimMs": 500, "GiveUpMs": 1500, "Group": "all", "Importance": 3, "KeyTtlMs": 5000, "LateWorth": 0.2, "Name": "invoice-check", "Semantics": "pure"},
 {"AimMs": 750, "GiveUpMs": 5000, "Group": "cell", "Importance": 4, "KeyTtlMs": 5000, "LateWorth": 0.3, "Name": "ledger-write", "Semantics": "token"}],
 "Discovery": "push", "FamilyInfo": {"ClassRead": ["bounded", "fresh", "write"], "OldestDataMs": [800, 0, 0], "Stamps": true, "Tokens": "carried", "WhenBehind": "refuse"},
 "Feedback": {"Fields": ["x0", "x1"], "Via": "on_probe"}, "FleetSize": %d,
 "Limits": {"Cancelling": true, "ConnIdleMs": 30000, "ConnectTimeoutMs": 250, "MaxAttempts": 6, "MaxRetryAfterMs": 1000, "ParallelTries": true, "Probes": true, "RetryAfter": true},
 "Locality": 0, "Rules": {"ColdMs": 18000, "OverloadFactor": 2, "OverloadForMs": 1000, "StartCapacity": 0.21}, "Zones": ["east", "west"]}`

// edgeSettings is the operators' settings file of a router of the lab.
const edgeSettings = `{
	// Written by lotuslab; docs/edge.md explains each key.
	"log": {"level": "warn"},
	"edge": {
		"coap": %q, "mqtt": %q, "frames": %q, %s
		"routes": [
			{"match": "readings", "groups": [%s], "write": "ledger-write", "check": "invoice-check"},
			{"match": "values", "groups": [%s], "read": "park-view"},
		],
	},
}
`

// Router is one real router in a process of its own.
type Router struct {
	Name                      string
	Listen, CoAP, MQTT, Frame string
	dir, binary               string
	mu                        sync.Mutex
	cmd                       *exec.Cmd
	ended                     chan struct{}
	Peak                      int64 // bytes resident at most, over all of its lives
	log                       io.Writer
}

// Fleet is a stand-in cluster with its routers.
type Fleet struct {
	Cluster *standin.Cluster
	Routers []*Router
	dir     string
}

// FleetOptions say what to start.
type FleetOptions struct {
	Binary  string // the router's program
	Standin standin.Options
	Routers int
	Edge    string // more keys of the edge's settings, each ended by a comma
	Sockets int    // of each router, 0 for 4096
	Store   bool
	Log     io.Writer // of the routers
}

// freeAddress finds an address on loopback that nobody listens at.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		return c.LocalAddr().String(), c.Close()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// FindRouter returns the router's program: the one named, or the one beside
// this program.
func FindRouter(named string) (string, error) {
	if named == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		named = filepath.Join(filepath.Dir(self), "lotusbend")
	}
	if _, err := os.Stat(named); err != nil {
		return "", fmt.Errorf("no router's program: %w; run make build", err)
	}
	return filepath.Abs(named)
}

// StartFleet starts it all on loopback.
func StartFleet(o FleetOptions) (f *Fleet, err error) {
	f = &Fleet{}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if f.dir, err = os.MkdirTemp("", "lotuslab"); err != nil {
		return f, err
	}
	if f.Cluster, err = standin.Start(o.Standin); err != nil {
		return f, err
	}
	var groups []string
	for n := range o.Standin.Groups {
		groups = append(groups, strconv.Itoa(n+1))
	}
	for n := range o.Routers {
		r := &Router{Name: fmt.Sprint("n", n+1), dir: f.dir, binary: o.Binary, log: o.Log}
		f.Routers = append(f.Routers, r)
		// An address found free may be taken by the time the router listens.
		for range 5 {
			if err = f.configure(r, n, o, strings.Join(groups, ", ")); err != nil {
				return f, err
			}
			if err = r.Start(); err != nil {
				return f, err
			}
			if err = r.waitReady(10 * time.Second); err == nil {
				break
			}
		}
		if err != nil {
			return f, err
		}
	}
	return f, nil
}

// configure finds addresses for a router and writes its files.
func (f *Fleet) configure(r *Router, n int, o FleetOptions, groups string) (err error) {
	for _, a := range []struct {
		network string
		to      *string
	}{{"tcp", &r.Listen}, {"udp", &r.CoAP}, {"tcp", &r.MQTT}, {"tcp", &r.Frame}} {
		if *a.to, err = freeAddress(a.network); err != nil {
			return err
		}
	}
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		r.Name, r.Listen, f.Cluster.Discovery, o.Standin.Seed+uint64(n), cmp.Or(o.Sockets, 4096), f.Cluster.EndpointList(), fmt.Sprintf(settings, o.Routers))
	extra := o.Edge
	if o.Store {
		extra += fmt.Sprintf("%q: %q, ", "store", filepath.Join(f.dir, r.Name+".db"))
	}
	edge := fmt.Sprintf(edgeSettings, r.CoAP, r.MQTT, r.Frame, extra, groups, groups)
	for name, text := range map[string]string{r.configPath(): config, r.settingsPath(): edge} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (r *Router) configPath() string   { return filepath.Join(r.dir, r.Name+".json") }
func (r *Router) settingsPath() string { return filepath.Join(r.dir, r.Name+".json5") }

// Start starts the router's process.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cmd = exec.Command(r.binary, "serve", "--settings", r.settingsPath())
	r.cmd.Env = append(os.Environ(), "GW_CONFIG="+r.configPath())
	r.cmd.Stderr = r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return fmt.Errorf("starting router %s: %w", r.Name, err)
	}
	ended, cmd := make(chan struct{}), r.cmd
	r.ended = ended
	go func() { _ = cmd.Wait(); close(ended) }() // how it ended is for whoever ended it
	return nil
}

// waitReady waits until the router takes clients.
func (r *Router) waitReady(most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp", r.Frame); err == nil {
			return c.Close()
		}
		select {
		case <-r.ended:
			return fmt.Errorf("router %s ended at its start", r.Name)
		default:
		}
	}
	return fmt.Errorf("router %s does not listen", r.Name)
}

// Kill ends the router at once, without a word to anybody.
func (r *Router) Kill() { r.signal(syscall.SIGKILL) }

func (r *Router) signal(s syscall.Signal) {
	r.sample()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s)
		select {
		case <-r.ended:
		case <-time.After(10 * time.Second):
			_ = r.cmd.Process.Kill()
			<-r.ended
		}
		r.cmd = nil
	}
}

// sample notes the most memory that the process has held.
func (r *Router) sample() { r.Peak = max(r.Peak, r.status("VmHWM:")) }

// resident returns what the process holds in memory, in bytes.
func (r *Router) resident() int64 { return r.status("VmRSS:") }

// status reads a figure of the process's memory, 0 if it does not run.
func (r *Router) status(name string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return 0
	}
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), name); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64) // 0 where there is none
			return kb << 10
		}
	}
	return 0
}

// Close ends everything that was started, and removes its files.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.signal(syscall.SIGTERM)
	}
	if f.Cluster != nil {
		f.Cluster.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

// errStopped ends a device's work when the drill is over.
var errStopped = errors.New("lab: the drill is over")
