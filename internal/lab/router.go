package lab

import (
	"bufio"
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
)

const (
	// routerReadyTime limits the wait until a started router accepts connections.
	routerReadyTime = 10 * time.Second
	// routerStopTime is the wait for a router to exit after a signal; then it is
	// killed.
	routerStopTime = 10 * time.Second
)

// Router runs one router in its own process. Only one goroutine at a time may call its
// methods, except signal and residentBytes.
type Router struct {
	Name              string
	Listen            string // host:port of the PostgreSQL front
	CoAP              string // host:port
	MQTT              string // host:port
	Frames            string // host:port of the framed stream
	PeakResidentBytes int64  // largest resident memory of any of its processes so far

	readyAddress string // host:port that accepts connections once the router is ready
	dir          string
	binary       string
	log          io.Writer // receives the standard error of the process; nil to discard

	mu     sync.Mutex
	cmd    *exec.Cmd       // nil if no process was started or the last one was stopped
	output *lastLineWriter // standard error of the last process
	ended  chan struct{}   // closed when the last process exits
}

// edgeAddresses returns the addresses of the edge by protocol.
func (r *Router) edgeAddresses() map[string]string {
	return map[string]string{"coap": r.CoAP, "mqtt": r.MQTT, "frames": r.Frames}
}

func (r *Router) configPath() string { return filepath.Join(r.dir, r.Name+".json") }

func (r *Router) settingsPath() string { return filepath.Join(r.dir, r.Name+".json5") }

// writeFiles writes the deployment file and the operators' settings file.
func (r *Router) writeFiles(config, settings string) error {
	if err := os.WriteFile(r.configPath(), []byte(config), 0o600); err != nil {
		return err
	}
	return os.WriteFile(r.settingsPath(), []byte(settings), 0o600)
}

// Start starts the router's process. The kernel kills it when this program exits.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	cmd := exec.Command(r.binary, "serve", "--settings", r.settingsPath())
	cmd.Env = append(os.Environ(), "GW_CONFIG="+r.configPath())
	output := &lastLineWriter{next: r.log}
	cmd.Stderr = output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting router %s: %w", r.Name, err)
	}
	ended := make(chan struct{})
	r.cmd = cmd
	r.output = output
	r.ended = ended
	go func() {
		_ = cmd.Wait() // the process is expected to end by a signal
		close(ended)
	}()
	return nil
}

// waitReady waits until the router accepts connections. It returns an error if the
// process exits first or is not ready after routerReadyTime.
func (r *Router) waitReady() error {
	deadline := time.Now().Add(routerReadyTime)
	for time.Now().Before(deadline) {
		if conn, err := net.Dial("tcp", r.readyAddress); err == nil {
			return conn.Close()
		}
		select {
		case <-r.ended:
			return fmt.Errorf("router %s exited at its start; last log line: %q", r.Name, r.output.last())
		default:
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("router %s is not ready: %s accepted no connection within %v",
		r.Name, r.readyAddress, routerReadyTime)
}

// Kill kills the router's process and waits until it has exited.
func (r *Router) Kill() { r.stop(syscall.SIGKILL) }

// stop sends a terminating signal to the process and waits until it has exited. It
// kills the process after routerStopTime.
func (r *Router) stop(s syscall.Signal) {
	r.samplePeakMemory()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return
	}
	_ = r.cmd.Process.Signal(s)
	select {
	case <-r.ended:
	case <-time.After(routerStopTime):
		_ = r.cmd.Process.Kill()
		<-r.ended
	}
	r.cmd = nil
}

// signal sends a signal to the process if it was started and not stopped.
func (r *Router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s)
	}
}

// samplePeakMemory updates PeakResidentBytes.
func (r *Router) samplePeakMemory() {
	r.PeakResidentBytes = max(r.PeakResidentBytes, r.statusBytes("VmHWM:"))
}

// residentBytes returns the resident memory of the process in bytes.
func (r *Router) residentBytes() int64 { return r.statusBytes("VmRSS:") }

// statusBytes returns a field of the process's /proc status file in bytes, or 0 if
// the process does not run. The name ends with a colon.
func (r *Router) statusBytes(name string) int64 {
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
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name); ok {
			kilobytes := strings.TrimSuffix(strings.TrimSpace(value), " kB")
			count, _ := strconv.ParseInt(kilobytes, 10, 64) // 0 if malformed
			return count << 10
		}
	}
	return 0
}

// FindRouter returns the absolute path of the router program: the given one, or
// "lotusbend" in the directory of this program if path is empty. It returns an
// error if the file does not exist.
func FindRouter(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "lotusbend")
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("finding the router program: %w; build it with make build", err)
	}
	return filepath.Abs(path)
}
