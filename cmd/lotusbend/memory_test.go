package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lotusbend/internal/postgres/wire"
)

// memoryProgram is a router process with a limit on its memory.
type memoryProgram struct {
	t       *testing.T
	command *exec.Cmd
	address string // where it serves clients
	limit   int    // MiB
}

// startMemoryProgram starts a router with limits on memory, in MiB, and descriptors,
// and with the known endpoints.
func startMemoryProgram(t *testing.T, memoryMiB, descriptors int, known ...string) *memoryProgram {
	t.Helper()
	if raceEnabled {
		t.Skip("the race detector's own memory would be counted; the plain run has this test")
	}
	path := filepath.Join(t.TempDir(), "config.json")
	text := configuration(listen(t), descriptors, known...)
	text = bytes.Replace(text, []byte(`"limits":{`), fmt.Appendf(nil, `"limits":{"memory_mb":%d,`, memoryMiB), 1)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	program := &memoryProgram{t: t, command: exec.Command(os.Args[0]), limit: memoryMiB}
	lines := bufio.NewScanner(startWithLog(t, program.command, "GW_CONFIG="+path))
	t.Cleanup(func() { _ = program.command.Process.Kill() }) // fails if it has ended
	for program.address == "" && lines.Scan() {
		for _, field := range strings.Fields(lines.Text()) {
			if address, found := strings.CutPrefix(field, "listen="); found {
				program.address = address
			}
		}
	}
	if program.address == "" {
		t.Fatal("the program ended before it served clients")
	}
	go func() { // the program must not block on its log
		for lines.Scan() {
		}
	}()
	return program
}

// residentMiB returns the anonymous memory of the process in MiB, 0 if it has ended.
func (program *memoryProgram) residentMiB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", program.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "RssAnon:")
	number, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	kib, _ := strconv.Atoi(number)
	return kib >> 10
}

// flood lets clients connect, send message, read until the router closes the
// connection, and begin again, until the time is over. It returns the most memory
// that the router had, in MiB; it ends early once that is over the limit.
func (program *memoryProgram) flood(clients int, message func() []byte, lasts time.Duration) (mostMiB int) {
	stopped := make(chan struct{})
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
					sendAndRead(program.address, message())
				}
			}
		})
	}
	mostMiB = program.watch(lasts)
	close(stopped)
	running.Wait()
	return mostMiB
}

// watch returns the most memory that the router had in the given time, in MiB. It
// returns early once that is over the limit.
func (program *memoryProgram) watch(lasts time.Duration) (mostMiB int) {
	for until := time.Now().Add(lasts); time.Now().Before(until) && mostMiB <= program.limit; {
		mostMiB = max(mostMiB, program.residentMiB())
		time.Sleep(5 * time.Millisecond)
	}
	return mostMiB
}

// sendAndRead sends a message on a new connection and reads until its end, for a
// second at most.
func sendAndRead(address string, message []byte) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, err = conn.Write(message)
	buffer := make([]byte, 4096)
	for err == nil {
		_, err = conn.Read(buffer)
	}
}

// longCommand returns a startup message and a write with a value of the given
// length. Each call numbers its statement anew.
func longCommand(number *atomic.Int64, valueBytes int) []byte {
	n := number.Add(1)
	statement := fmt.Appendf(nil, `INSERT INTO items (id, doc) VALUES ('7f3a', '\x%s') RETURNING doc `+
		`/* id=%d,c=write,d=2000,k=%d,cluster=1 */`, bytes.Repeat([]byte("9f"), valueBytes), n, n)
	return wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), statement)
}

// floodLimits are the limits of a router and the number of its bad clients.
type floodLimits struct {
	memoryMiB   int
	descriptors int
	clients     int
	lasts       time.Duration
}

// reviewedLimits are those of the flood that first drove a router over its limit.
var reviewedLimits = floodLimits{memoryMiB: 48, descriptors: 512, clients: 310, lasts: 3 * time.Second}

// checkFlood lets clients send messages at full speed to a router. The router must
// stay within its memory limit, past which the platform kills it, and must still
// end gracefully.
func checkFlood(t *testing.T, limits floodLimits, message func() []byte) {
	t.Helper()
	program := startMemoryProgram(t, limits.memoryMiB, limits.descriptors)
	if most := program.flood(limits.clients, message, limits.lasts); most > limits.memoryMiB {
		t.Errorf("the router used %d MiB, want at most %d", most, limits.memoryMiB)
	}
	if err := program.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	if err := program.command.Wait(); err != nil {
		t.Errorf("the router ended with %v, want success", err)
	}
}

// Clients that send most of a long command must not drive the router over its
// memory limit: netpoll must not read ahead of the memory budget, and a closed
// connection must not keep its buffers.
func TestUnfinishedCommandsStayWithinMemoryLimit(t *testing.T) {
	var number atomic.Int64
	checkFlood(t, reviewedLimits, func() []byte {
		command := longCommand(&number, 130000)
		return command[:len(command)-10]
	})
}

// Clients that each send one long statement must not drive the router over its
// memory limit: what a connection may always have is a short statement.
func TestLongStatementsOfManyClientsStayWithinMemoryLimit(t *testing.T) {
	var number atomic.Int64
	checkFlood(t, reviewedLimits, func() []byte { return longCommand(&number, 130000) })
}

// The same as TestUnfinishedCommandsStayWithinMemoryLimit with commands of 60 KB and
// a small router.
func TestUnfinishedShorterCommandsStayWithinMemoryLimit(t *testing.T) {
	var number atomic.Int64
	limits := floodLimits{memoryMiB: 32, descriptors: 256, clients: 150, lasts: 5 * time.Second}
	checkFlood(t, limits, func() []byte {
		command := longCommand(&number, 30000)
		return command[:len(command)-10]
	})
}

// startValueHosts starts a primary and two replicas that answer each read with a value
// of the given size, and returns their entries of the endpoint list.
func startValueHosts(t *testing.T, valueBytes int) (entries []string) {
	t.Helper()
	value := strings.Repeat("v", valueBytes)
	for number, recovery := range []string{"off", "on", "on"} {
		listener := listen(t)
		entries = append(entries, endpointEntry(fmt.Sprint("host", number), listener, recovery, "ready"))
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil { // the test has ended
					return
				}
				go serveValues(conn, value, recovery)
			}
		}()
	}
	return entries
}

// serveValues answers the statements of a connection until it ends.
func serveValues(conn net.Conn, value, recovery string) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	header := make([]byte, wire.StartupHeaderLen)
	if _, err := io.ReadFull(in, header); err != nil {
		return
	}
	n, err := wire.ParseStartupHeader(header)
	if err == nil {
		_, err = in.Discard(n)
	}
	answer := wire.AppendReadyForQuery(wire.AppendAuthenticationOk(nil))
	for err == nil {
		if _, err = conn.Write(answer); err != nil {
			return
		}
		header = make([]byte, wire.HeaderLen)
		if _, err = io.ReadFull(in, header); err != nil {
			return
		}
		_, n, err = wire.ParseHeader(header)
		body := make([]byte, n)
		if err == nil {
			_, err = io.ReadFull(in, body)
		}
		answer = rowAnswer(string(body), value, recovery)
	}
}

// readValues sends reads one after another on a connection until stop is closed, and
// counts those that were answered with a value.
func (program *memoryProgram) readValues(client int, valueBytes int, stop <-chan struct{}, served *atomic.Int64) {
	conn, err := net.Dial("tcp", program.address)
	if err != nil {
		return
	}
	remote := newPeer(program.t, conn)
	remote.write(wire.AppendStartup(nil, "app", "shop"))
	remote.answer()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		remote.query(strings.Replace(viewStatement, "9b1f", fmt.Sprintf("%04x%08x", client, n), 1))
		if len(remote.answer()) >= valueBytes {
			served.Add(1)
		}
	}
}

// Ordinary reads of large values must not drive the router over its memory limit: the
// read buffers of connections to hosts must not grow with each answer.
func TestReadsOfLargeValuesStayWithinMemoryLimit(t *testing.T) {
	for name, c := range map[string]struct{ memoryMiB, descriptors, clients, valueBytes int }{
		"48 MB, 60,000 bytes, 40 clients": {48, 384, 40, 60_000},
		"32 MB, 32 KiB, 20 clients":       {32, 256, 20, 32 << 10},
		"64 MB, 64 KiB, 100 clients":      {64, 512, 100, 64 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			program := startMemoryProgram(t, c.memoryMiB, c.descriptors, startValueHosts(t, c.valueBytes)...)
			stop := make(chan struct{})
			var running sync.WaitGroup
			var served atomic.Int64
			for client := range c.clients {
				running.Go(func() { program.readValues(client, c.valueBytes, stop, &served) })
			}
			most := program.watch(3 * time.Second)
			close(stop)
			running.Wait()
			if most > c.memoryMiB {
				t.Errorf("the router used %d MiB, want at most %d", most, c.memoryMiB)
			}
			if served.Load() == 0 {
				t.Error("no read was served")
			}
			t.Logf("at most %d MiB, %d reads served", most, served.Load())
		})
	}
}
