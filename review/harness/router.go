package harness

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Router is one router process, started by the deploy file's run command in the
// current directory, which must be the repository's root.
type Router struct {
	Name     string
	Listen   string
	Dir      string // for its files
	Settings string // content of the operators' settings file, "" for none
	Config   map[string]any
	Record   *Recorder

	cmd   *exec.Cmd
	ended chan struct{}
	log   *os.File
}

// FreePort returns a loopback address with a port that is free now.
func FreePort() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// FreeUDPPort returns a loopback address with a UDP port that is free now.
func FreeUDPPort() (string, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer socket.Close()
	return socket.LocalAddr().String(), nil
}

func (r *Router) configPath() string { return filepath.Join(r.Dir, r.Name+".json") }

// WriteConfig writes the configuration file.
func (r *Router) WriteConfig(config map[string]any) error {
	body, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(r.configPath(), body, 0o600)
}

// Start starts the process and waits until it answers an empty query.
func (r *Router) Start() error {
	if err := r.WriteConfig(r.Config); err != nil {
		return err
	}
	r.cmd = exec.Command("/bin/sh", "-c", "exec bin/lotusbend serve")
	r.cmd.Env = append(os.Environ(), "GW_CONFIG="+r.configPath(), "TMPDIR="+r.Dir)
	if r.Settings != "" {
		path := filepath.Join(r.Dir, r.Name+".json5")
		if err := os.WriteFile(path, []byte(r.Settings), 0o600); err != nil {
			return err
		}
		r.cmd.Env = append(r.cmd.Env, "LOTUSBEND_SETTINGS="+path)
	}
	var err error
	logPath := filepath.Join(r.Dir, r.Name+".log")
	if r.log, err = os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	r.cmd.Stdout = r.log
	r.cmd.Stderr = r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.ended = ended
	go func() {
		_ = r.cmd.Wait()
		close(ended)
	}()
	r.Record.Note("router %s started", r.Name)
	if !WaitFor(10000, func() bool { return r.Ended() || r.ready() }) || r.Ended() {
		return errors.New("router " + r.Name + " is not ready: " + r.LogTail())
	}
	r.Record.Note("router %s ready", r.Name)
	return nil
}

// ready reports whether the router answers an empty query.
func (r *Router) ready() bool {
	c, err := Dial(r.Listen)
	if err != nil {
		return false
	}
	defer c.Close()
	reply := c.Query("", time.Second)
	return reply.Err == nil && reply.Empty
}

// Ended reports whether the process has ended.
func (r *Router) Ended() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// LogTail returns the last lines that the router has logged.
func (r *Router) LogTail() string {
	body, _ := os.ReadFile(filepath.Join(r.Dir, r.Name+".log"))
	lines := strings.Split(strings.TrimSpace(string(body)), "\n")
	return strings.Join(lines[max(0, len(lines)-4):], " | ")
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.Record.Note("router %s gets %v", r.Name, s)
	_ = r.cmd.Process.Signal(s)
}

// Stop sends a signal and waits until the process has ended, which it forces after
// a number of milliseconds.
func (r *Router) Stop(s syscall.Signal, ms float64) {
	if r.cmd == nil || r.cmd.Process == nil || r.Ended() {
		return
	}
	r.Signal(s)
	if !WaitFor(ms, r.Ended) {
		_ = r.cmd.Process.Kill()
		<-r.ended
		r.Record.Note("router %s was killed", r.Name)
	}
	r.Record.Note("router %s ended", r.Name)
	_ = r.log.Close()
}

// MemoryMiB returns a field of the process's status, such as VmHWM, in MiB.
func (r *Router) MemoryMiB(field string) float64 {
	body, err := os.ReadFile("/proc/" + strconv.Itoa(r.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(body), "\n") {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			kB, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kB / 1024
		}
	}
	return 0
}
