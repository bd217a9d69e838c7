// Case 2: some hundred bad clients send most of a long command, again and again. The
// router must stay within its memory limit, past which the platform kills it.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lotusbend/internal/postgres/wire"
	"lotusbend/review/harness"
)

const (
	memoryMiB   = 48 // the router's limits
	descriptors = 512

	usualClients = 10
	badClients   = 310
	valueBytes   = 130000 // of the command that bad clients do not finish
	missingBytes = 10     // what they leave out at its end
	troubleMs    = 25000
)

// counts holds what the usual clients saw.
type counts struct{ answered, unanswered atomic.Int64 }

// usual sends a read each 50 ms until the time ends, on one connection.
func usual(record *harness.Recorder, node *harness.Router, number int, until float64, seen *counts) {
	client, err := harness.Dial(node.Listen)
	if err != nil {
		return
	}
	defer client.Close()
	for n := 0; harness.NowMs() < until; n++ {
		id := fmt.Sprintf("%02d%06d", number, n)
		reply := client.Query(fmt.Sprintf(`SELECT doc FROM items WHERE id = '7f3a' `+
			`/* id=%s,c=park-view,d=1200,cluster=1 */`, id), 3*time.Second)
		if reply.Err != nil {
			seen.unanswered.Add(1)
			record.Note("usual client %d: request %s has no answer: %v", number, id, reply.Err)
			return
		}
		seen.answered.Add(1)
		harness.Sleep(50)
	}
}

// bad connects, sends a command without its end, reads what it is sent until the
// router closes the connection, for 3 s at most, and begins again.
func bad(node *harness.Router, message []byte, until float64, connections *atomic.Int64) {
	buffer := make([]byte, 4096)
	for harness.NowMs() < until && !node.Ended() {
		conn, err := net.DialTimeout("tcp", node.Listen, time.Second)
		if err != nil {
			harness.Sleep(20)
			continue
		}
		connections.Add(1)
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, err = conn.Write(message)
		for err == nil {
			_, err = conn.Read(buffer)
		}
		_ = conn.Close()
	}
}

// platform kills the router once its memory is over the limit, until the time ends.
// It counts the memory that belongs to the process alone (RssAnon), without the
// program's file, and returns the most that it has seen, in MiB.
func platform(record *harness.Recorder, node *harness.Router, until float64) (most float64, killed bool) {
	for harness.NowMs() < until {
		most = max(most, node.MemoryMiB("RssAnon"))
		if most > memoryMiB {
			record.Note("platform: the router has %.1f MiB of %d and is killed", most, memoryMiB)
			node.Stop(syscall.SIGKILL, 2000)
			return most, true
		}
		harness.Sleep(5)
	}
	return most, false
}

// unfinished returns a startup message and most of a write.
func unfinished() []byte {
	statement := fmt.Sprintf(`INSERT INTO items (id, doc) VALUES ('7f3a', '\x%s') RETURNING doc `+
		`/* id=bad,c=ledger-write,d=5000,k=bad,cluster=1 */`, strings.Repeat("9f", valueBytes))
	message := wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), []byte(statement))
	return message[:len(message)-missingBytes]
}

func run(record *harness.Recorder, trouble bool) (bool, error) {
	dir, err := os.MkdirTemp("", "review-memory-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	host := &harness.Host{Name: "s1", Group: 1, Primary: true, Record: record,
		Serve: func(*harness.Host, harness.Statement) harness.Answer {
			harness.Sleep(20)
			return harness.Answer{Value: []byte("9f03")}
		}}
	agent := &harness.Discovery{Name: "agent", Record: record}
	listen, err := harness.FreePort()
	if err := errors.Join(err, host.Start()); err != nil {
		return false, err
	}
	defer host.Stop()
	if err := agent.Start(harness.EntryOf(host, "ready")); err != nil {
		return false, err
	}
	defer agent.Stop()
	config := harness.Config("n1", listen, agent.Address, harness.Settings(harness.Billing()))
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMiB, "sockets": descriptors}
	node := &harness.Router{Name: "n1", Listen: listen, Dir: dir, Record: record, Config: config}
	if err := node.Start(); err != nil {
		return false, err
	}
	defer node.Stop(syscall.SIGTERM, 8000)
	return load(record, node, trouble), nil
}

// load runs all clients and the platform, and reports whether the router lived.
func load(record *harness.Recorder, node *harness.Router, trouble bool) bool {
	until := harness.NowMs() + troubleMs
	var clients sync.WaitGroup
	var seen counts
	for number := range usualClients {
		clients.Go(func() { usual(record, node, number, until, &seen) })
	}
	harness.Sleep(1000)
	record.Note("memory of the router beside usual clients: %.1f MiB", node.MemoryMiB("RssAnon"))
	var connections atomic.Int64
	if trouble {
		message := unfinished()
		for range badClients {
			clients.Go(func() { bad(node, message, until, &connections) })
		}
	}
	most, killed := platform(record, node, until)
	clients.Wait()
	record.Note("check: %d connections of bad clients; most memory %.1f MiB of %d; killed: %v",
		connections.Load(), most, memoryMiB, killed)
	record.Note("check: usual clients had %d requests answered, %d not",
		seen.answered.Load(), seen.unanswered.Load())
	return !killed && !node.Ended()
}

func main() { harness.Main(run) }
