// Command 10 ends a router by SIGTERM while a primary hangs, and sends reads after it on
// the connections that the router keeps open. It checks that each gets its answer.
package main

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"lotusbend/review/rig"
)

const (
	groups    = 2
	members   = 4
	clients   = 5
	workFor   = 20 * time.Millisecond
	writeLead = 200 * time.Millisecond // the writes are sent this long before SIGTERM
	readAfter = time.Second            // the reads are sent this long after SIGTERM
	killAfter = 3750 * time.Millisecond
	reads     = groups // group of the reads, whose hosts are sound
)

// cluster is two groups of four hosts; with trouble the primary of group 1 hangs.
type cluster struct {
	c     *rig.Case
	hosts []*rig.Host
	mu    sync.Mutex
	hung  bool
	ended chan struct{}
}

// start opens the hosts.
func (cl *cluster) start() (entries []rig.Entry, err error) {
	for group := 1; group <= groups; group++ {
		for i := range members {
			primary := i == 0
			host := &rig.Host{Name: fmt.Sprintf("s%d-%d", group, i), Group: group}
			host.Health = func() []byte { return rig.HealthReport(rig.NowMs()-5, primary) }
			host.Run = func(s rig.Statement, out io.Writer) error { return cl.run(host, primary, s, out) }
			if err := host.Listen(); err != nil {
				return nil, err
			}
			cl.hosts = append(cl.hosts, host)
			entries = append(entries, rig.EntryOf(host, primary))
		}
	}
	return entries, nil
}

// run executes one statement.
func (cl *cluster) run(host *rig.Host, primary bool, s rig.Statement, out io.Writer) error {
	cl.c.Logf("host %s: received %s", host.Name, s.Text)
	cl.mu.Lock()
	hangs := cl.hung && primary && host.Group == 1
	cl.mu.Unlock()
	if hangs {
		<-cl.ended
		return errors.New("the host has hung to the end")
	}
	time.Sleep(workFor)
	if s.Insert && !primary {
		_, err := out.Write(rig.ErrorAnswer("25006", "on"))
		return err
	}
	_, err := out.Write(rig.RowAnswer(&s, []byte{0xab}, primary, rig.NowMs()))
	return err
}

// close ends the hosts.
func (cl *cluster) close() {
	close(cl.ended)
	for _, host := range cl.hosts {
		host.Close()
	}
}

func main() { rig.Run(play) }

// play runs the case.
func play(c *rig.Case) (int, error) {
	cl := &cluster{c: c, ended: make(chan struct{})}
	defer cl.close()
	entries, err := cl.start()
	if err != nil {
		return rig.NotRun, err
	}
	agent, err := rig.NewDiscovery(41, entries)
	if err != nil {
		return rig.NotRun, err
	}
	defer agent.Close()
	router, err := c.NewRouter("n1", rig.Settings(5000))
	if err != nil {
		return rig.NotRun, err
	}
	router.Discovery = agent.Address
	router.Known = agent.List()
	if err := router.WriteConfig(); err != nil {
		return rig.NotRun, err
	}
	if err := router.Start(); err != nil {
		return rig.NotRun, err
	}
	defer router.Stop(syscall.SIGKILL)
	if err := router.WaitReady(); err != nil {
		return rig.NotRun, err
	}
	time.Sleep(time.Second)
	cl.mu.Lock()
	cl.hung = c.Trouble
	cl.mu.Unlock()
	return stop(c, router)
}

// stop ends the router as the platform does, and counts the reads that it loses.
func stop(c *rig.Case, router *rig.Router) (int, error) {
	results := make(chan outcome, clients)
	term := time.Now().Add(writeLead)
	for number := range clients {
		go func() { results <- client(c, router.Listen, number, term) }()
	}
	time.Sleep(time.Until(term))
	router.Signal(syscall.SIGTERM)
	for time.Since(term) < killAfter && !router.Ended() {
		time.Sleep(10 * time.Millisecond)
	}
	if !router.Ended() {
		router.Stop(syscall.SIGKILL)
	}
	count := map[outcome]int{}
	for range clients {
		count[<-results]++
	}
	c.Logf("of %d reads after SIGTERM: %d answered, %d not sent as their connection had ended, "+
		"%d lost; %d could not run", clients, count[answered], count[endedBefore], count[lost], count[notRun])
	switch {
	case count[lost] > 0:
		return rig.Broken, nil
	case count[notRun] > 0:
		return rig.NotRun, nil
	}
	return rig.Held, nil
}

// outcome is what becomes of a client's read.
type outcome int

const (
	answered    outcome = iota // served, refused or failed
	endedBefore                // the connection had ended between requests: the client goes elsewhere
	lost                       // sent on an open connection, and never answered
	notRun
)

// client sends a write before SIGTERM and, on the same connection, a read after it. It
// takes the answers in their order.
func client(c *rig.Case, address string, number int, term time.Time) outcome {
	conn, err := rig.Dial(address)
	if err != nil {
		return notRun
	}
	defer conn.Close()
	write := rig.Insert(fmt.Sprintf("%016x", 0x1000+number), fmt.Sprintf("%016x", number), "ab",
		fmt.Sprintf("%016x", 0x5000+number), 5000, 1)
	c.Logf("client %d: sends %s", number, write)
	if err := conn.Send(write); err != nil {
		return notRun
	}
	first := make(chan error, 1)
	go func() {
		answer, err := conn.Read()
		if err != nil {
			c.Logf("client %d: write: no answer, %v", number, err)
		} else {
			c.Logf("client %d: write: %v", number, answer)
		}
		first <- err
	}()
	time.Sleep(time.Until(term.Add(readAfter)))
	if conn.Ended(first) {
		return endedBefore
	}
	read := rig.Select(fmt.Sprintf("%016x", 0x2000+number), "park-view", "7f3a9c21e0b4d655", 1200, reads, "")
	c.Logf("client %d: sends, %.3f s after SIGTERM, %s", number, time.Since(term).Seconds(), read)
	if err := conn.Send(read); err != nil {
		return endedBefore
	}
	if err := <-first; err != nil {
		return unanswered(c, number, err)
	}
	answer, err := conn.Read()
	if err != nil {
		return unanswered(c, number, err)
	}
	c.Logf("client %d: read: %v", number, answer)
	return answered
}

// unanswered returns the outcome of a read that was sent on an open connection and has
// no answer.
func unanswered(c *rig.Case, number int, err error) outcome {
	c.Logf("client %d: read: the connection ended without its answer: %v", number, err)
	return lost
}
