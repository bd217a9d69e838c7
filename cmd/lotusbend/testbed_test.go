package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"lotusbend/internal/clock"
	"lotusbend/internal/deployconfig"
	"lotusbend/internal/operatorconfig"
	"lotusbend/internal/postgres/wire"
)

const startMs = 1767225600000 // initial time of the manual clock, in Unix milliseconds

const settingsJSON = `{"Classes": [
	{"AimMs": 500, "GiveUpMs": 1200, "Group": "all", "Importance": 2, "KeyTtlMs": 5000, "LateWorth": 0, "Name": "view", "Semantics": "pure"},
	{"AimMs": 750, "GiveUpMs": 5000, "Group": "cell", "Importance": 4, "KeyTtlMs": 5000, "LateWorth": 0.3, "Name": "write", "Semantics": "token"}],
	"Discovery": "push", "FamilyInfo": {"ClassRead": ["bounded", "write"], "OldestDataMs": [800, 0], "Stamps": true, "Tokens": "carried", "WhenBehind": "refuse"},
	"Feedback": {"Fields": ["x0", "x1"], "Via": "on_probe"}, "FleetSize": 1,
	"Limits": {"Cancelling": true, "ConnIdleMs": 30000, "ConnectTimeoutMs": 250, "MaxAttempts": 6, "MaxRetryAfterMs": 1000, "ParallelTries": true, "Probes": false, "RetryAfter": true},
	"Locality": 0, "Rules": {"ColdMs": 18000, "OverloadFactor": 2, "OverloadForMs": 1000, "StartCapacity": 0.2}, "Zones": ["a", "b"]}`

// settleDelayMs is longer than a connection to an endpoint stays unused after an
// answer, in milliseconds.
const settleDelayMs = 5

// testbed runs a router on loopback between scripted clients, endpoints and a
// scripted discovery service, on a clock that only the test advances.
type testbed struct {
	t         *testing.T
	clock     *clock.Clock
	loop      *clock.Loop
	node      *node
	discovery net.Listener
	stop      context.CancelFunc // begins the shutdown
	ended     chan error         // receives the result of node.run
	logged    chan string        // receives the lines of the log
}

// Write implements io.Writer for the router's log. It drops lines when the channel
// is full.
func (bed *testbed) Write(line []byte) (int, error) {
	select {
	case bed.logged <- string(line):
	default: // no test waits for this line
	}
	return len(line), nil
}

// listen returns a listener on a free port of loopback.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// reservedPort is a port of loopback that no other process can bind until the test
// ends. It refuses connections until listen is called.
type reservedPort struct {
	t    *testing.T
	file *os.File
	port int
}

// reservePort binds a free port of loopback.
func reservePort(t *testing.T) *reservedPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "reserved port")
	t.Cleanup(func() { _ = file.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return &reservedPort{t, file, bound.(*syscall.SockaddrInet4).Port}
}

func (r *reservedPort) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: r.port}
}

// listen returns a listener on the port, which accepts connections from now on.
func (r *reservedPort) listen() net.Listener {
	r.t.Helper()
	if err := syscall.Listen(int(r.file.Fd()), syscall.SOMAXCONN); err != nil {
		r.t.Fatal(err)
	}
	listener, err := net.FileListener(r.file)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// addresser is a listener or a reserved port.
type addresser interface{ Addr() net.Addr }

// endpointEntry returns an entry of the endpoint list, in group 1.
func endpointEntry(name string, listener addresser, recovery, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","group":1,"status":%q,"recovery":%q,"since_ms":0}`,
		name, listener.Addr(), status, recovery)
}

// newTestbed starts a router with a limit on descriptors and the known endpoints.
func newTestbed(t *testing.T, descriptors int, known ...string) *testbed {
	t.Helper()
	bed := &testbed{t: t, clock: clock.Manual(startMs), discovery: listen(t), ended: make(chan error, 1),
		logged: make(chan string, 100)}
	bed.loop = clock.NewLoop(bed.clock)
	config, err := deployconfig.Parse(configuration(bed.discovery, descriptors, known...), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if bed.node, err = newNode(config, &operatorconfig.Options{}, bed.loop, slog.New(slog.NewTextHandler(bed, nil))); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	bed.stop = cancel
	t.Cleanup(cancel)
	bed.node.start()
	go func() { bed.ended <- bed.node.run(ctx) }()
	return bed
}

// configuration returns the contents of a configuration file.
func configuration(discovery addresser, descriptors int, known ...string) []byte {
	return fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"sockets":%d},
		"known":{"index":1,"snapshot":true,"endpoints":[%s]},"settings":%s}`,
		discovery.Addr(), descriptors, strings.Join(known, ","), settingsJSON)
}

// advance moves the clock forward by ms, timer by timer. It first waits until no
// answer is unsent: a client can read an answer before the router learns that it
// was written, and the client's idle time begins only then.
func (bed *testbed) advance(ms float64) {
	bed.waitUntil(func() bool { return bed.node.server.UnsentClients() == 0 })
	end := bed.clock.Now() + ms
	for {
		at, ok := bed.loop.Next()
		if !ok || at > end {
			break
		}
		bed.clock.Set(max(at, bed.clock.Now()))
		bed.loop.Fire()
	}
	bed.clock.Set(end)
}

// advanceToAnswer advances the clock while p waits for its answer, by little more
// than the 2 s that the client of a write waits: later, the router would drop an
// answer that it has not written yet.
func (bed *testbed) advanceToAnswer(client *peer) string {
	done := make(chan string, 1)
	go func() { done <- client.answer() }()
	for range 201 {
		bed.advance(10)
		runtime.Gosched()
	}
	return <-done
}

// waitUntil waits until a condition on the router's state holds. The condition
// runs in the loop.
func (bed *testbed) waitUntil(holds func() bool) {
	for ok := false; !ok; runtime.Gosched() {
		bed.loop.Do(func() { ok = holds() })
	}
}

// peer is the test's end of a connection, as a client, an endpoint or discovery.
type peer struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

// newPeer returns the test's end of a connection, which is closed when the test ends.
func newPeer(t *testing.T, conn net.Conn) *peer {
	t.Cleanup(func() { _ = conn.Close() })
	return &peer{t, conn, bufio.NewReader(conn)}
}

func (p *peer) write(b []byte) {
	p.t.Helper()
	if _, err := p.conn.Write(b); err != nil {
		p.t.Fatal(err)
	}
}

// message reads one message. Kind 0 means that the connection has ended.
func (p *peer) message() (kind byte, body string) {
	header := make([]byte, wire.HeaderLen)
	if _, err := io.ReadFull(p.in, header); err != nil {
		return 0, ""
	}
	content := make([]byte, binary.BigEndian.Uint32(header[1:])-4)
	if _, err := io.ReadFull(p.in, content); err != nil {
		return 0, ""
	}
	return header[0], string(content)
}

// answer reads messages up to ReadyForQuery, or the end of the connection. It
// returns their kinds, without those of parameters, and the contents of rows and
// errors.
func (p *peer) answer() string {
	var kinds, text string
	for {
		kind, body := p.message()
		if kind == 0 {
			return kinds + " closed " + text
		}
		if kind == wire.DataRow || kind == wire.ErrorResponse {
			text += strings.ReplaceAll(body, "\x00", "|")
		}
		if kind != wire.ParameterStatus {
			kinds += string(kind)
		}
		if kind == wire.ReadyForQuery {
			return kinds + " " + text
		}
	}
}

// want ends the test if got does not contain part.
func (p *peer) want(got, part string) {
	p.t.Helper()
	if !strings.Contains(got, part) {
		p.t.Fatalf("got %q, want it to contain %q", got, part)
	}
}

// dial connects a client that has not sent anything.
func (bed *testbed) dial() *peer {
	bed.t.Helper()
	conn, err := net.Dial("tcp", bed.node.server.Address())
	if err != nil {
		bed.t.Fatal(err)
	}
	return newPeer(bed.t, conn)
}

// connectClient connects a connectClient up to its first ReadyForQuery.
func (bed *testbed) connectClient() *peer {
	client := bed.dial()
	client.write(wire.AppendStartup(nil, "app", "shop"))
	client.want(client.answer(), "RKZ")
	return client
}

// query sends a statement as a client.
func (p *peer) query(sql string) { p.write(wire.AppendQuery(nil, []byte(sql))) }

const (
	viewStatement  = `SELECT doc FROM items WHERE id = '7f3a' /* id=9b1f,c=view,d=1000,cluster=1 */`
	writeStatement = `INSERT INTO items (id, doc) VALUES ('7f3a', '\x9f03') RETURNING doc /* id=9b20,c=write,d=2000,k=5c0f,cluster=1 */`
)

// accept accepts a router's connection to an endpoint and answers its startup with
// ReadyForQuery.
func accept(t *testing.T, listener net.Listener) *peer {
	t.Helper()
	endpoint := acceptUnready(t, listener)
	endpoint.sendReady()
	return endpoint
}

// serve answers the next statement as an endpoint and returns the statement.
func (p *peer) serve(value, recovery string) string {
	kind, body := p.message()
	if kind != wire.Query {
		p.t.Fatalf("endpoint got a message %q, want a statement", kind)
	}
	p.write(rowAnswer(body, value, recovery))
	return strings.TrimRight(body, "\x00")
}

// rowAnswer returns an endpoint's complete answer to a statement.
func rowAnswer(statement, value, recovery string) []byte {
	answer := wire.AppendRowDescription(nil, wire.Column{Name: []byte("doc"), Type: 17, Size: -1, Binary: true})
	answer = wire.AppendDataRow(answer, []byte(value))
	tag := "SELECT 1"
	if strings.HasPrefix(statement, "INSERT") {
		tag = "INSERT 0 1"
	}
	answer = wire.AppendCommandComplete(answer, []byte(tag))
	answer = wire.AppendParameterStatus(answer, "recovery", recovery)
	answer = wire.AppendParameterStatus(answer, "lsn_ms", fmt.Sprint(startMs))
	return wire.AppendReadyForQuery(answer)
}

// refuse answers the next statement with an error as an endpoint.
func (p *peer) refuse(code string) {
	if kind, _ := p.message(); kind != wire.Query {
		p.t.Fatalf("endpoint got a message %q, want a statement", kind)
	}
	p.write(wire.AppendReadyForQuery(wire.AppendErrorResponse(nil, "ERROR", code, "no", "")))
}

// acceptWatch accepts the router's next connection to discovery.
func acceptWatch(t *testing.T, listener net.Listener) *peer {
	t.Helper()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return newPeer(t, conn)
}

// answerWatch answers the next request to discovery, which must be for want, with
// a list.
func (p *peer) answerWatch(wantURL, list string) {
	p.t.Helper()
	request, err := http.ReadRequest(p.in)
	if err != nil || request.URL.String() != wantURL {
		p.t.Fatalf("discovery got request %v, %v; want %s", request, err, wantURL)
	}
	p.write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
}
