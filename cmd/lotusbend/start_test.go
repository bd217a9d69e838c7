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

// startProgram runs the program by a line of the shell, with a configuration
// file of that text, until the test ends. It returns where clients connect,
// which the program logs once it serves, and what it has logged before.
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
		t.Fatal("the program ended before it served")
	}
	go func() { // what it logs is read on
		for lines.Scan() {
		}
	}()
	return address, before
}

// maxStartDuration is what a restarted router may take on the operators' machines.
// That it waits for nothing shows in the order of its log, however loaded this
// machine is.
const maxStartDuration = 10 * time.Second

// A router that starts while discovery is silent is ready at once and serves by
// the list that it was given: nothing is turned away for want of a new one.
func TestStartServesWhileDiscoveryIsSilent(t *testing.T) {
	discovery, host := listen(t), listen(t) // a call to the first is never answered
	began := time.Now()
	address, before := startProgram(t, `exec "$0"`, configuration(discovery, 100, endpoint("p", host, "off", "ready")))
	for _, line := range before {
		if strings.Contains(line, "component=discovery") {
			t.Errorf("a call to discovery ended before the program served: %s", line)
		}
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := newPeer(t, c)
	p.write(wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), nil))
	p.wantContains(p.answer(), "RKZ")
	p.wantContains(p.answer(), "IZ")
	if took := time.Since(began); took > maxStartDuration {
		t.Errorf("ready after %v", took)
	}
	p.query(writeQuery)
	accept(t, host).serve("value", "off")
	p.wantContains(p.answer(), "value")
}

// Idle clients may fill the descriptors while discovery is down: its watch and
// connections to hosts still get theirs, and a client that comes then is
// served. The system's limit is that of the settings.
func TestIdleClientsLeaveDescriptorsToDiscoveryAndEndpoints(t *testing.T) {
	const descriptors, idle = 100, 300
	discovery, host := reservePort(t), listen(t)
	address, _ := startProgram(t, fmt.Sprintf(`ulimit -n %d; exec "$0"`, descriptors), configuration(discovery, descriptors))
	for range idle {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = c.Write(wire.AppendStartup(nil, "app", "shop"))
	}
	back := discovery.listen()
	if err := back.(*net.TCPListener).SetDeadline(time.Now().Add(6 * time.Second)); err != nil {
		t.Fatal(err)
	}
	told := acceptWatch(t, back)
	told.answerWatch("/v1/endpoints", fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[%s]}`, endpoint("p", host, "off", "ready")))
	if _, err := http.ReadRequest(told.in); err != nil { // its next call: the list has been taken
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := newPeer(t, c)
	p.write(wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), []byte(writeQuery)))
	if err := host.(*net.TCPListener).SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	accept(t, host).serve("value", "off")
	p.wantContains(p.answer(), "RKZ")
	p.wantContains(p.answer(), "value")
}
