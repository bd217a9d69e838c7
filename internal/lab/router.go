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
	// routerReadyTime bounds the start of a router.
	routerReadyTime = 10 * time.Second
	// routerStopTime bounds its end after a signal, before it is killed.
	routerStopTime = 10 * time.Second
)

// Router is one router in a process of its own. Its methods are safe for
// concurrent use.
type Router struct {
	Name              string
	Listen            string // address of the PostgreSQL front
	CoAP              string // address
	MQTT              string // address
	Frames            string // address of the framed stream
	PeakResidentBytes int64  // largest resident memory of all its processes, bytes

	readyAddress string // address that accepts connections once the router is up
	dir          string
	binary       string
	log          io.Writer // standard error of the process

	mu     sync.Mutex
	cmd    *exec.Cmd       // nil unless the process was started
	output *lastLineWriter // standard error of the process started last
	ended  chan struct{}   // closed at the end of the process
}

// edgeAddresses are the addresses of the edge by protocol.
func (r *Router) edgeAddresses() map[string]string {
	return map[string]string{"coap": r.CoAP, "mqtt": r.MQTT, "frames": r.Frames}
}

func (r *Router) configPath() string { return filepath.Join(r.dir, r.Name+".json") }

func (r *Router) settingsPath() string { return filepath.Join(r.dir, r.Name+".json5") }

// writeFiles writes the deployment's and the operators' settings file.
func (r *Router) writeFiles(config, settings string) error {
	if err := os.WriteFile(r.configPath(), []byte(config), 0o600); err != nil {
		return err
	}
	return os.WriteFile(r.settingsPath(), []byte(settings), 0o600)
}

// Start starts the router's process. The system kills it if this program ends.
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
		_ = cmd.Wait() // its error is for the one who ended the process
		close(ended)
	}()
	return nil
}

// waitReady waits until the router accepts connections.
func (r *Router) waitReady() error {
	deadline := time.Now().Add(routerReadyTime)
	for time.Now().Before(deadline) {
		if conn, err := net.Dial("tcp", r.readyAddress); err == nil {
			return conn.Close()
		}
		select {
		case <-r.ended:
			return fmt.Errorf("router %s ended at its start; its last log line: %q", r.Name, r.output.last())
		default:
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("router %s does not listen", r.Name)
}

// Kill kills the router and waits for its end.
func (r *Router) Kill() { r.stop(syscall.SIGKILL) }

// stop sends a signal that ends the process, and waits for its end.
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

// signal sends a signal, if the process runs.
func (r *Router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s)
	}
}

// samplePeakMemory updates Peak.
func (r *Router) samplePeakMemory() {
	r.PeakResidentBytes = max(r.PeakResidentBytes, r.statusBytes("VmHWM:"))
}

// residentBytes returns the process's residentBytes memory in bytes.
func (r *Router) residentBytes() int64 { return r.statusBytes("VmRSS:") }

// statusBytes returns a figure of the process's status in bytes, 0 if it does not
// run.
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
		if figure, ok := strings.CutPrefix(lines.Text(), name); ok {
			kilobytes := strings.TrimSuffix(strings.TrimSpace(figure), " kB")
			count, _ := strconv.ParseInt(kilobytes, 10, 64) // 0 if malformed
			return count << 10
		}
	}
	return 0
}

// FindRouter returns the path of the router's program: the one named, or the
// one beside this program.
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
