package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"lotusbend/internal/postgres/wire"
)

// Idle clients may fill the descriptors while discovery is down: its watch and
// connections to hosts still get theirs, and a client that comes then is
// served. The system's limit is that of the settings.
func TestIdleClientsLeaveDescriptorsToDiscoveryAndHosts(t *testing.T) {
	const descriptors, idle = 100, 300
	discovery, host, own := listen(t), listen(t), listen(t)
	address := own.Addr().String()
	_ = own.Close() // the program's
	_ = discovery.Close()
	path := filepath.Join(t.TempDir(), "config")
	text := strings.Replace(string(configuration(discovery, descriptors)), "127.0.0.1:0", address, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	program := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, descriptors), os.Args[0])
	program.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+path)
	log, err := program.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = program.Process.Signal(syscall.SIGTERM); _ = program.Wait() })
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), "msg=serving") {
	}
	go func() { // what it logs is read on
		for lines.Scan() {
		}
	}()
	for range idle {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = c.Write(wire.AppendStartup(nil, "app", "shop"))
	}
	// Discovery comes back at its old address.
	back, err := net.Listen("tcp", discovery.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = back.Close() })
	if err := back.(*net.TCPListener).SetDeadline(time.Now().Add(6 * time.Second)); err != nil {
		t.Fatal(err)
	}
	agent(t, back).tell("/v1/endpoints", fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[%s]}`, endpoint("p", host, "off", "ready")))
	agent(t, back) // its next call: the list has been taken
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := newPeer(t, c)
	p.write(wire.AppendQuery(wire.AppendStartup(nil, "app", "shop"), []byte(write)))
	if err := host.(*net.TCPListener).SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	accept(t, host).serve("value", "off")
	p.want(p.answer(), "RKZ")
	p.want(p.answer(), "value")
}
