package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits on the waits for a router.
const (
	readyTime = 10 * time.Second
	readyPoll = 30 * time.Millisecond
	stopTime  = 15 * time.Second
)

// runCommand finds the run command in the deploy file.
var runCommand = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// Router is one router, a process of its own, started with the deploy file's run
// command.
type Router struct {
	Name         string
	Listen       string // address for clients
	Discovery    string
	Known        []byte // endpoint list, in discovery's form
	Settings     string // the settings object, JSON
	SettingsFile string // text of the operators' settings file, "" for none
	MemoryMB     int
	Sockets      int

	c      *Case
	cmd    *exec.Cmd
	ended  chan struct{}
	killed atomic.Bool // this program has sent it SIGKILL
	code   atomic.Int32
}

// NewRouter returns a router of the case that is not started yet.
func (c *Case) NewRouter(name, settings string) (*Router, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	return &Router{Name: name, Listen: listen, Settings: settings, MemoryMB: 192, Sockets: 1024, c: c}, nil
}

// addresses counts the addresses that FreeAddress has returned.
var addresses atomic.Uint32

// FreeAddress returns a loopback address whose port is free for TCP. Each has an IP
// address of its own, so that no connection's own port can take it meanwhile.
func FreeAddress() (string, error) {
	n := addresses.Add(1)
	ip := net.IPv4(127, byte(1+os.Getpid()%250), byte(n>>8), byte(n))
	listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// ConfigPath returns the path of the router's configuration file.
func (r *Router) ConfigPath() string { return filepath.Join(r.c.Dir, r.Name+".json") }

// Pid returns the process's id.
func (r *Router) Pid() int { return r.cmd.Process.Pid }

// settingsPath returns the path of the operators' settings file.
func (r *Router) settingsPath() string { return filepath.Join(r.c.Dir, r.Name+".json5") }

// WriteConfig writes the configuration file, and the settings file if there is one.
func (r *Router) WriteConfig() error {
	known := r.Known
	if known == nil {
		known = []byte(`{"index":0,"snapshot":true,"endpoints":[]}`)
	}
	config := map[string]any{
		"name": r.Name, "listen": r.Listen, "discovery": r.Discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": r.MemoryMB, "sockets": r.Sockets},
		"known":    json.RawMessage(known),
		"settings": json.RawMessage(r.Settings),
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if r.SettingsFile != "" {
		if err := os.WriteFile(r.settingsPath(), []byte(r.SettingsFile), 0o600); err != nil {
			return err
		}
	}
	return os.WriteFile(r.ConfigPath(), text, 0o600)
}

// Start starts the process with the deploy file's run command, from the root.
func (r *Router) Start() error {
	deploy, err := os.ReadFile(filepath.Join(r.c.Root, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	run := runCommand.FindSubmatch(deploy)
	if run == nil {
		return errors.New("the deploy file has no run command")
	}
	r.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	r.cmd.Dir = r.c.Root
	r.cmd.Env = append(os.Environ(),
		"GW_CONFIG="+r.ConfigPath(), "GW_NAME="+r.Name, "GW_LISTEN="+r.Listen, "GW_DISCOVERY="+r.Discovery,
		"TMPDIR="+r.c.Dir)
	if r.SettingsFile != "" {
		r.cmd.Env = append(r.cmd.Env, "LOTUSBEND_SETTINGS="+r.settingsPath())
	}
	r.cmd.Stderr = r.c.Record
	r.cmd.Stdout = r.c.Record
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return fmt.Errorf("starting router %s: %w", r.Name, err)
	}
	ended := make(chan struct{})
	r.ended = ended
	r.killed.Store(false)
	cmd := r.cmd
	r.c.Logf("router %s: started, process %d", r.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		r.c.Logf("router %s: process %d ended: %v", r.Name, cmd.Process.Pid, err)
		r.code.Store(int32(cmd.ProcessState.ExitCode()))
		close(ended)
	}()
	return nil
}

// Crashed reports whether the process has ended with an error that this program did
// not cause.
func (r *Router) Crashed() bool { return r.Ended() && !r.killed.Load() && r.code.Load() != 0 }

// Ended reports whether the process has ended.
func (r *Router) Ended() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// WaitReady waits until the router has answered an empty query.
func (r *Router) WaitReady() error {
	for deadline := time.Now().Add(readyTime); time.Now().Before(deadline); time.Sleep(readyPoll) {
		if r.Ended() {
			return fmt.Errorf("router %s ended at its start", r.Name)
		}
		client, err := Dial(r.Listen)
		if err != nil {
			continue
		}
		answer, err := client.Query("")
		client.Close()
		if err == nil && answer.Empty {
			return nil
		}
	}
	return fmt.Errorf("router %s was not ready in %v", r.Name, readyTime)
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.c.Logf("router %s: signal %v", r.Name, s)
	if s == syscall.SIGKILL {
		r.killed.Store(true)
	}
	_ = r.cmd.Process.Signal(s)
}

// Stop sends a signal that ends the process and waits for its end; it kills the
// process after some seconds.
func (r *Router) Stop(s syscall.Signal) {
	if r.cmd == nil || r.Ended() {
		return
	}
	r.Signal(s)
	select {
	case <-r.ended:
	case <-time.After(stopTime):
		r.Signal(syscall.SIGKILL)
		<-r.ended
	}
}
