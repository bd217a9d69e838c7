package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lotusbend/internal/postgres/wire"
)

const (
	usualClients    = 10
	usualPause      = 50 * time.Millisecond
	usualValueBytes = 256
	// usualWait is how long a usual client waits, d of viewStatement.
	usualWait = time.Second
)

// flood is a way in which bad clients load a router.
type flood struct {
	clients int
	// connection sends on a new connection until the connection or the test ends.
	connection func(conn net.Conn, number int)
}

// run lets the bad clients connect again and again until stop is closed.
func (f flood) run(address string, stop <-chan struct{}) {
	for number := range f.clients {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				ended := make(chan struct{})
				go func() {
					select {
					case <-stop:
					case <-ended:
					}
					_ = conn.Close()
				}()
				f.connection(conn, number)
				close(ended)
			}
		}()
	}
}

// discardAnswers reads from a connection until it ends.
func discardAnswers(conn net.Conn) {
	buffer := make([]byte, 32<<10)
	for err := error(nil); err == nil; {
		_, err = conn.Read(buffer)
	}
}

// sendOnce returns the connection of a flood that sends a message and reads until the
// router ends the connection.
func sendOnce(message []byte) func(net.Conn, int) {
	return func(conn net.Conn, _ int) {
		if _, err := conn.Write(message); err == nil {
			discardAnswers(conn)
		}
	}
}

// sendForever returns the connection of a flood that sends messages at full speed and
// reads the answers if reads is set. message returns the next messages.
func sendForever(reads bool, message func(number, count int) []byte) func(net.Conn, int) {
	return func(conn net.Conn, number int) {
		if reads {
			go discardAnswers(conn)
		}
		_, err := conn.Write(wire.AppendStartup(nil, "app", "shop"))
		for count := 0; err == nil; count++ {
			_, err = conn.Write(message(number, count))
		}
	}
}

// sendSlowly returns the connection of a flood that sends a message in pieces, over
// about a second and a half.
func sendSlowly(message []byte) func(net.Conn, int) {
	const pieces, pause = 40, 40 * time.Millisecond
	return func(conn net.Conn, _ int) {
		for piece := range pieces {
			from, to := len(message)*piece/pieces, len(message)*(piece+1)/pieces
			if _, err := conn.Write(message[from:to]); err != nil {
				return
			}
			time.Sleep(pause)
		}
		discardAnswers(conn)
	}
}

// numbered returns many copies of a statement, each with an identifier of its own. %d
// in the statement is the number of the copy.
func numbered(statement string) func(number, count int) []byte {
	const copies = 100
	return func(number, count int) (b []byte) {
		for i := range copies {
			n := (number*1000+count)*copies + i
			b = wire.AppendQuery(b, []byte(strings.ReplaceAll(statement, "%d", fmt.Sprint(n))))
		}
		return b
	}
}

// repeated returns many copies of a message.
func repeated(message []byte) func(int, int) []byte {
	all := bytes.Repeat(message, 4000)
	return func(int, int) []byte { return all }
}

// usualTraffic counts what becomes of the reads of usual clients.
type usualTraffic struct {
	answered, served, late atomic.Int64
	longestMs              atomic.Int64
}

// client sends reads with pauses until stop is closed.
func (u *usualTraffic) client(t *testing.T, address string, number int, stop <-chan struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	remote := newPeer(t, conn)
	_, _ = conn.Write(wire.AppendStartup(nil, "app", "shop"))
	remote.answer()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(usualPause):
		}
		sent := time.Now()
		_ = conn.SetDeadline(sent.Add(2 * usualWait))
		query := strings.Replace(viewStatement, "9b1f", fmt.Sprintf("%04x%08x", number, n), 1)
		_, _ = conn.Write(wire.AppendQuery(nil, []byte(query)))
		answer := remote.answer()
		took := time.Since(sent)
		u.longestMs.Store(max(u.longestMs.Load(), took.Milliseconds()))
		switch {
		case strings.Contains(answer, "closed"), took > usualWait:
			u.late.Add(1)
			return
		case len(answer) >= usualValueBytes:
			u.served.Add(1)
		}
		u.answered.Add(1)
	}
}

// checkServiceBesideFlood runs a router beside a flood. The router must stay within its
// memory limit, and each usual client must get its answers while it waits for them.
func checkServiceBesideFlood(t *testing.T, limits floodLimits, f flood) {
	t.Helper()
	program := startMemoryProgram(t, limits.memoryMiB, limits.descriptors, startValueHosts(t, usualValueBytes)...)
	stop := make(chan struct{})
	var usual usualTraffic
	var running sync.WaitGroup
	for number := range usualClients {
		running.Go(func() { usual.client(t, program.address, number, stop) })
	}
	f.run(program.address, stop)
	most := program.watch(limits.lasts)
	close(stop)
	if most > limits.memoryMiB {
		t.Errorf("the router used %d MiB, want at most %d", most, limits.memoryMiB)
		_ = program.command.Process.Signal(os.Kill)
	}
	running.Wait()
	t.Logf("at most %d MiB, %d usual reads answered, %d of them served, after at most %d ms",
		most, usual.answered.Load(), usual.served.Load(), usual.longestMs.Load())
	if usual.late.Load() > 0 || usual.answered.Load() == 0 {
		t.Errorf("%d of %d usual clients got no answer within %v, want none",
			usual.late.Load(), usualClients, usualWait)
	}
}

// Many clients that write slowly, stop half way through a request or send heads of many
// short fields must not drive the router over its memory limit or hold up other clients.
func TestUsualClientsAreServedBesideManyBadClients(t *testing.T) {
	command := wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), bytes.Repeat([]byte("x"), 60_000))
	startup := wire.AppendStartup(nil, "app", strings.Repeat("shop\x00a\x00b\x00", 900)+"c")
	limits := floodLimits{memoryMiB: 32, descriptors: 512, lasts: 3 * time.Second}
	for name, connection := range map[string]func(net.Conn, int){
		"half a request":         sendOnce(command[:len(command)-10]),
		"slow writes":            sendSlowly(command),
		"startup of many fields": sendOnce(startup),
	} {
		t.Run(name, func(t *testing.T) {
			checkServiceBesideFlood(t, limits, flood{clients: 310, connection: connection})
		})
	}
}

// One client that sends at full speed must not hold up other clients or make the
// router's memory grow, whether it reads the answers or not.
func TestUsualClientsAreServedBesideOneFastClient(t *testing.T) {
	limits := floodLimits{memoryMiB: 32, descriptors: 256, lasts: 2 * time.Second}
	for name, message := range map[string]func(int, int) []byte{
		"messages without a statement": repeated([]byte("S\x00\x00\x00\x04")),
		"extended protocol":            repeated([]byte("P\x00\x00\x00\x08\x00\x00\x00\x00S\x00\x00\x00\x04")),
		"unknown classes":              numbered(`SELECT 1 /* id=%d,c=none%d,d=1000,cluster=1 */`),
		"sound reads":                  numbered(`SELECT doc FROM items WHERE id = 'x' /* id=%d,c=view,d=1000,cluster=1 */`),
	} {
		for suffix, reads := range map[string]bool{"": true, ", answers unread": false} {
			t.Run(name+suffix, func(t *testing.T) {
				checkServiceBesideFlood(t, limits, flood{clients: 1, connection: sendForever(reads, message)})
			})
		}
	}
}

// Clients that send reads of large values at full speed and read no answer must not
// drive the router over its memory limit: what is being sent to them counts, too.
func TestUnreadAnswersStayWithinMemoryLimit(t *testing.T) {
	program := startMemoryProgram(t, 32, 512, startValueHosts(t, 60_000)...)
	stop := make(chan struct{})
	read := numbered(`SELECT doc FROM items WHERE id = 'x' /* id=%d,c=view,d=1000,cluster=1 */`)
	flood{clients: 310, connection: sendForever(false, read)}.run(program.address, stop)
	most := program.watch(4 * time.Second)
	close(stop)
	t.Logf("at most %d MiB", most)
	if most > program.limit {
		t.Errorf("the router used %d MiB, want at most %d", most, program.limit)
	}
}
