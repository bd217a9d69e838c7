// Case 2: a router is told to end while a database host hangs. A request that
// arrives on a connection which the router has left open must get its final answer
// before the router is killed.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"lotusbend/review/harness"
)

// Times after SIGTERM, in milliseconds.
const (
	secondRequestMs = 1000 // the client's next request; those after 700 ms must be answered before SIGKILL
	killMs          = 3750 // SIGKILL: the longest deadline, counted as 3 s, and 0.7 s more
)

// setting is the case's deployment: one group of a primary and a replica.
type setting struct {
	hung    atomic.Bool // the primary takes requests and answers none
	primary *harness.Host
	replica *harness.Host
	agent   *harness.Discovery
	node    *harness.Router
}

// start starts the hosts, discovery and the router.
func start(record *harness.Recorder, dir string) (*setting, error) {
	s := &setting{}
	table := &harness.Table{WindowMs: 5000, Record: record}
	serve := func(h *harness.Host, statement harness.Statement) harness.Answer {
		record.Note("host %s takes request %s", h.Name, statement.Fields["id"])
		if h.Primary && s.hung.Load() {
			return harness.Answer{Lost: true}
		}
		if statement.Insert && !h.Primary {
			return harness.Answer{Code: "25006"}
		}
		harness.Sleep(30)
		return table.Run(statement)
	}
	s.primary = &harness.Host{Name: "s1", Group: 1, Primary: true, Record: record, Serve: serve}
	s.replica = &harness.Host{Name: "s2", Group: 1, Record: record, Serve: serve}
	s.agent = &harness.Discovery{Name: "agent", Record: record}
	listen, err := harness.FreePort()
	if err := errors.Join(err, s.primary.Start(), s.replica.Start()); err != nil {
		return s, err
	}
	entries := []harness.Entry{harness.EntryOf(s.primary, "ready"), harness.EntryOf(s.replica, "ready")}
	if err := s.agent.Start(entries...); err != nil {
		return s, err
	}
	s.node = &harness.Router{Name: "n1", Listen: listen, Dir: dir, Record: record,
		Config: harness.Config("n1", listen, s.agent.Address, harness.Settings(harness.Billing()))}
	return s, s.node.Start()
}

// stop ends all that start has started.
func (s *setting) stop() {
	if s.node != nil {
		s.node.Stop(syscall.SIGKILL, 1000)
	}
	s.primary.Stop()
	s.replica.Stop()
	s.agent.Stop()
}

// Statements of a client, with the time for which it waits.
func write(id string) string {
	return fmt.Sprintf(`INSERT INTO items (id, doc) VALUES ('7f3a', '\x9f03') RETURNING doc `+
		`/* id=%s,c=ledger-write,d=5000,k=%s,cluster=1 */`, id, id)
}

func read(id string) string {
	return fmt.Sprintf(`SELECT doc FROM items WHERE id = '7f3a' /* id=%s,c=park-view,d=1200,cluster=1 */`, id)
}

// note writes a reply to the record and reports whether it is a final answer.
func note(record *harness.Recorder, request string, reply harness.Reply) bool {
	switch {
	case reply.Row:
		record.Note("client: request %s is served", request)
	case reply.Code != "":
		record.Note("client: request %s is answered with the error %s", request, reply.Code)
	default:
		record.Note("client: request %s has no answer: %v", request, reply.Err)
		return false
	}
	return true
}

func run(record *harness.Recorder, trouble bool) (bool, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	s, err := start(record, dir)
	defer s.stop()
	if err != nil {
		return false, err
	}
	client, err := harness.Dial(s.node.Listen)
	if err != nil {
		return false, err
	}
	defer client.Close()
	for n := range 20 { // the router has met both hosts
		id := fmt.Sprintf("%04d", n)
		statement := read(id)
		if n%2 == 0 {
			statement = write(id)
		}
		if reply := client.Query(statement, 3*time.Second); !reply.Row {
			return false, fmt.Errorf("a calm request got %v %v", reply.Code, reply.Err)
		}
	}
	if trouble {
		record.Note("host s1 hangs")
		s.hung.Store(true)
	}
	if err := client.Send(write("a001")); err != nil {
		return false, err
	}
	record.Note("client sends request a001, a write with 5 s")
	harness.Sleep(100)
	s.node.Signal(syscall.SIGTERM)
	terminated := harness.NowMs()
	go func() { // the platform
		harness.Sleep(killMs)
		s.node.Stop(syscall.SIGKILL, 1000)
	}()
	return secondRequest(record, s, client, terminated)
}

// secondRequest sends a request on the client's connection if the router has left
// that open, and reports whether it gets a final answer. If the router has ended the
// connection, the client sends the request on a new one.
func secondRequest(
	record *harness.Recorder, s *setting, client *harness.Client, terminated float64,
) (held bool, err error) {
	first := client.Receive(secondRequestMs * time.Millisecond)
	firstAnswered := note(record, "a001", first)
	harness.Sleep(terminated + secondRequestMs - harness.NowMs())
	if firstAnswered {
		if ended := client.Receive(100 * time.Millisecond); !errors.Is(ended.Err, os.ErrDeadlineExceeded) {
			record.Note("client: the router has ended the connection; it sends a002 on a new one")
			fresh, err := harness.Dial(s.node.Listen)
			if err != nil {
				record.Note("client: the new connection is refused: %v", err)
				return true, nil
			}
			defer fresh.Close()
			return note(record, "a002", fresh.Query(read("a002"), 3*time.Second)), nil
		}
	}
	if err := client.Send(read("a002")); err != nil {
		return false, err
	}
	record.Note("client sends request a002, a read with 1.2 s, on its open connection")
	if !firstAnswered && !note(record, "a001", client.Receive(10*time.Second)) {
		record.Note("client: request a002 has no answer either")
		return false, nil
	}
	return note(record, "a002", client.Receive(10*time.Second)), nil
}

func main() { harness.Main(run) }
