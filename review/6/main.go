// Command 6 gives a router reads of large values, and checks that it stays within its
// memory. It plays the platform, which kills a router over its limit.
package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lotusbend/review/rig"
)

const (
	group      = 1
	memoryMB   = 48 // of the 32 to 192 that the pages name
	sockets    = 384
	clients    = 40 // "at most a third of the descriptors for requests"
	interval   = 180 * time.Millisecond
	workFor    = 20 * time.Millisecond
	largeBytes = 60_000 // of the 65,536 that the pages allow
	smallBytes = 256
	loadFor    = 90 * time.Second
	lookEvery  = 100 * time.Millisecond
)

// traffic is the clients' requests and their answers.
type traffic struct {
	c       *rig.Case
	address string
	value   []byte
	stop    chan struct{}

	sent, served, refused, failed, wrong atomic.Int64
}

// client sends one read after another until stop.
func (t *traffic) client(number int) {
	var conn *rig.Client
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(interval):
		}
		if conn == nil {
			var err error
			if conn, err = rig.Dial(t.address); err != nil {
				t.failed.Add(1)
				conn = nil
				continue
			}
		}
		id := fmt.Sprintf("%08x%08x", number, n)
		t.sent.Add(1)
		answer, err := conn.Query(rig.Select(id, "park-view", "7f3a9c21e0b4d655", 1200, group, ""))
		switch {
		case err != nil:
			t.failed.Add(1)
			t.c.Logf("client %d: request %s: no whole answer: %v", number, id, err)
			conn.Close()
			conn = nil
		case answer.Code != "":
			t.refused.Add(1)
			t.c.Logf("client %d: request %s: %v", number, id, answer)
		case !bytes.Equal(answer.Value, t.value):
			t.wrong.Add(1)
		default:
			t.served.Add(1)
		}
	}
}

// startHosts opens a primary and two replicas that answer each read with the value.
func startHosts(value []byte) (hosts []*rig.Host, entries []rig.Entry, err error) {
	for i := range 3 {
		primary := i == 0
		host := &rig.Host{Name: fmt.Sprintf("s%d", i), Group: group}
		host.Health = func() []byte { return rig.HealthReport(rig.NowMs(), primary) }
		host.Run = func(s rig.Statement, out io.Writer) error {
			time.Sleep(workFor)
			_, err := out.Write(rig.RowAnswer(&s, value, primary, rig.NowMs()))
			return err
		}
		if err := host.Listen(); err != nil {
			return hosts, nil, err
		}
		hosts = append(hosts, host)
		entries = append(entries, rig.EntryOf(host, primary))
	}
	return hosts, entries, nil
}

func main() { rig.Run(play) }

// play runs the case.
func play(c *rig.Case) (int, error) {
	size := smallBytes
	if c.Trouble {
		size = largeBytes
	}
	value := bytes.Repeat([]byte{0xab}, size)
	c.Logf("values of %d bytes", size)
	hosts, entries, err := startHosts(value)
	defer func() {
		for _, host := range hosts {
			host.Close()
		}
	}()
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
	router.MemoryMB, router.Sockets = memoryMB, sockets
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
	t := &traffic{c: c, address: router.Listen, value: value, stop: make(chan struct{})}
	return t.play(router)
}

// play sends the requests and watches the router's memory, as the platform does.
func (t *traffic) play(router *rig.Router) (int, error) {
	var running sync.WaitGroup
	for number := range clients {
		running.Go(func() { t.client(number) })
	}
	peak, over := 0, false
	began, logged := time.Now(), time.Now()
	for time.Since(began) < loadFor && !over && !router.Ended() {
		time.Sleep(lookEvery)
		kilobytes := anonymous(router)
		peak = max(peak, kilobytes)
		over = kilobytes > memoryMB<<10
		if over || time.Since(logged) > time.Second {
			logged = time.Now()
			t.c.Logf("the router's own memory: %d kB of %d; requests sent %d, served %d, refused %d, "+
				"without a whole answer %d, with another value %d", kilobytes, memoryMB<<10,
				t.sent.Load(), t.served.Load(), t.refused.Load(), t.failed.Load(), t.wrong.Load())
		}
	}
	if over {
		t.c.Logf("platform: the router is over its limit and is killed")
		router.Stop(syscall.SIGKILL)
		time.Sleep(time.Second) // its clients see the end of their connections
	}
	close(t.stop)
	running.Wait()
	t.c.Logf("peak %d kB of %d after %.1f s; requests sent %d, served %d, refused %d, "+
		"without a whole answer %d", peak, memoryMB<<10, time.Since(began).Seconds(),
		t.sent.Load(), t.served.Load(), t.refused.Load(), t.failed.Load())
	switch {
	case over || router.Crashed():
		return rig.Broken, nil
	case t.served.Load() == 0:
		return rig.NotRun, nil
	}
	return rig.Held, nil
}

// anonymous returns the memory of the process that is its own, without the pages of
// its program file, in kB.
func anonymous(router *rig.Router) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", router.Pid()))
	if err != nil {
		return 0 // it has ended
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes
		}
	}
	return 0
}
