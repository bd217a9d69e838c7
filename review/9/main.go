// Command 9 moves discovery by SIGHUP while discovery is down, lets the old and the
// new agent answer together when it is back, and checks that no router ends.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"lotusbend/review/rig"
)

const (
	hosts       = 3200 // sixteen times the usual database hosts
	groupSize   = 4
	replacedOf  = 50 // of 50 hosts, 49 were replaced since the routers' last list
	replaced    = 49
	routers     = 32
	rounds      = 18
	lastRoundAt = 95 * time.Second        // no round begins later
	beforeHup   = 1200 * time.Millisecond // never in the first second
	downFor     = 600 * time.Millisecond  // from SIGHUP to the return of discovery
	afterReturn = 2500 * time.Millisecond
)

// list returns the list at index 41, or the older one that the routers know.
func list(address string, old bool) []byte {
	var entries []rig.Entry
	for i := range hosts {
		name := fmt.Sprintf("s-%08x", i*7919)
		if old && i%replacedOf < replaced {
			name = fmt.Sprintf("s-%08x", 0x80000000+i*7919)
		}
		recovery := "on"
		if i%groupSize == 0 {
			recovery = "off"
		}
		entries = append(entries, rig.Entry{
			Name: name, Address: address, Zone: "umea-east", Type: "std-3core", Group: i / groupSize,
			Status: "ready", Weight: 1, Recovery: recovery,
		})
	}
	index := 41
	if old {
		index = 7
	}
	text, err := json.Marshal(map[string]any{"index": index, "snapshot": true, "endpoints": entries})
	if err != nil {
		panic(err) // these types can always be encoded
	}
	return text
}

// discovery is discovery with an agent at each of its addresses. The agents are
// silent until it is back.
type discovery struct {
	current []byte
	back    chan struct{}

	mu      sync.Mutex
	servers []*http.Server
}

// agent opens one more address.
func (d *discovery) agent() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// serve answers with the whole list; a watch waits, as nothing changes any more.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	select {
	case <-d.back:
	case <-r.Context().Done():
		return
	}
	if r.URL.Query().Get("after") != "" {
		select {
		case <-time.After(3 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
	_, _ = w.Write(d.current) // a router that missed the answer polls again
}

// close ends all agents.
func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, server := range d.servers {
		_ = server.Close()
	}
}

func main() { rig.Run(play) }

// play runs the case.
func play(c *rig.Case) (int, error) {
	host := &rig.Host{Name: "all"}
	host.Health = func() []byte { return rig.HealthReport(rig.NowMs(), true) }
	host.Run = func(s rig.Statement, out io.Writer) error {
		_, err := out.Write(rig.RowAnswer(&s, []byte{1}, true, rig.NowMs()))
		return err
	}
	if err := host.Listen(); err != nil {
		return rig.NotRun, err
	}
	defer host.Close()
	current, known := list(host.Address, false), list(host.Address, true)
	crashed, played := 0, 0
	for began := time.Now(); played < rounds && crashed == 0 && time.Since(began) < lastRoundAt; played++ {
		ended, err := release(c, played, current, known)
		if err != nil {
			return rig.NotRun, err
		}
		c.Logf("round %d: %d of %d routers crashed", played, ended, routers)
		crashed += ended
	}
	c.Logf("%d routers crashed, of %d", crashed, played*routers)
	if crashed > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}

// release starts all routers while discovery is down, moves discovery with a new
// configuration, brings it back and returns how many routers have crashed.
func release(c *rig.Case, round int, current, known []byte) (crashed int, err error) {
	d := &discovery{current: current, back: make(chan struct{})}
	defer d.close()
	var started []*rig.Router
	defer func() {
		for _, router := range started {
			router.Stop(syscall.SIGKILL)
		}
	}()
	for i := range routers {
		router, err := c.NewRouter(fmt.Sprintf("n%d-%d", round, i), rig.Settings(5000))
		if err != nil {
			return 0, err
		}
		router.Known = known
		if router.Discovery, err = d.agent(); err != nil {
			return 0, err
		}
		if err := router.WriteConfig(); err != nil {
			return 0, err
		}
		if err := router.Start(); err != nil {
			return 0, err
		}
		started = append(started, router)
	}
	for _, router := range started {
		if err := router.WaitReady(); err != nil {
			return 0, err
		}
	}
	time.Sleep(beforeHup)
	if c.Trouble {
		if err := move(d, started); err != nil {
			return 0, err
		}
	}
	time.Sleep(downFor)
	c.Logf("discovery is back")
	close(d.back)
	time.Sleep(afterReturn)
	for _, router := range started {
		if router.Crashed() {
			c.Logf("router %s has crashed", router.Name)
			crashed++
		}
	}
	return crashed, nil
}

// move gives every router a configuration with another address of discovery.
func move(d *discovery, started []*rig.Router) (err error) {
	for _, router := range started {
		if router.Discovery, err = d.agent(); err != nil {
			return err
		}
		if err := router.WriteConfig(); err != nil {
			return err
		}
	}
	for _, router := range started {
		router.Signal(syscall.SIGHUP)
	}
	return nil
}
