package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"lotusbend/internal/postgres/wire"
)

var servingLine = regexp.MustCompile(`msg=serving .*\blisten=(\S+)`)

// startProgram runs the program until the test ends, with a line of shell and the
// contents of a configuration file. It returns the address for clients, which the
// program logs once it serves, and the lines logged before that one.
func startProgram(t *testing.T, line string, configuration []byte) (address string, before []string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config")
	if err := os.WriteFile(path, configuration, 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command("/bin/sh", "-c", line, os.Args[0])
	log := startWithLog(t, program, "GW_CONFIG="+path)
	t.Cleanup(func() { _ = program.Process.Kill(); _ = program.Wait() })
	lines := bufio.NewScanner(log)
	for address == "" && lines.Scan() {
		if found := servingLine.FindStringSubmatch(lines.Text()); found != nil {
			address = found[1]
		} else {
			before = append(before, lines.Text())
		}
	}
	if address == "" {
		t.Fatal("the program ended before it logged msg=serving")
	}
	go func() { // a full pipe would block the program
		for lines.Scan() {
		}
	}()
	return address, before
}

// maxStartDuration is how long a restarted router may take until it is ready on the
// operators' machines. That the router waits for nothing is checked by the order
// of its log lines, which does not depend on the load of this machine.
const maxStartDuration = 10 * time.Second

// A router that starts while discovery does not answer must be ready at once and
// serve from the endpoint list in its configuration.
func TestStartServesWhileDiscoveryIsSilent(t *testing.T) {
	discovery, listener := listen(t), listen(t) // requests to discovery are never answered
	began := time.Now()
	address, before := startProgram(t, `exec "$0"`, configuration(discovery, 100, endpointEntry("p", listener, "off", "ready")))
	for _, line := range before {
		if strings.Contains(line, "component=discovery") {
			t.Errorf("a request to discovery ended before the program served: %s", line)
		}
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	client := newPeer(t, conn)
	client.write(wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), nil))
	client.want(client.answer(), "RKZ")
	client.want(client.answer(), "IZ")
	if took := time.Since(began); took > maxStartDuration {
		t.Errorf("ready after %v, want at most %v", took, maxStartDuration)
	}
	client.query(writeStatement)
	accept(t, listener).serve("value", "off")
	client.want(client.answer(), "value")
}

// Idle clients may use up the descriptors while discovery is down: the watch and
// the connections to endpoints must still get descriptors, so that a client that
// connects later is served. The system's limit equals the configured one.
func TestIdleClientsLeaveDescriptorsToDiscoveryAndEndpoints(t *testing.T) {
	const descriptors, idle = 100, 300
	discovery, listener := reservePort(t), listen(t)
	address, _ := startProgram(t, fmt.Sprintf(`ulimit -n %d; exec "$0"`, descriptors), configuration(discovery, descriptors))
	for range idle {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = conn.Write(wire.AppendStartup(nil, "app", "shop"))
	}
	discoveryListener := discovery.listen()
	if err := discoveryListener.(*net.TCPListener).SetDeadline(time.Now().Add(6 * time.Second)); err != nil {
		t.Fatal(err)
	}
	watch := acceptWatch(t, discoveryListener)
	watch.answerWatch("/v1/endpoints", fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[%s]}`, endpointEntry("p", listener, "off", "ready")))
	if _, err := http.ReadRequest(watch.in); err != nil { // the next request: the list has been applied
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	client := newPeer(t, conn)
	client.write(wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), []byte(writeStatement)))
	if err := listener.(*net.TCPListener).SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	accept(t, listener).serve("value", "off")
	client.want(client.answer(), "RKZ")
	client.want(client.answer(), "value")
}
