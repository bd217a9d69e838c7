package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"lotusbend/internal/fleetstate"
	"lotusbend/internal/membership"
)

// asProgram in the environment makes the test's own binary the program.
const asProgram = "LOTUSBEND_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Args = []string{"lotusbend", "serve"}
		main()
		return
	}
	os.Exit(m.Run())
}

// startWithLog starts the program and returns its log.
func startWithLog(t *testing.T, program *exec.Cmd, variables ...string) io.Reader {
	t.Helper()
	program.Env = append(append(os.Environ(), asProgram+"=1"), variables...)
	log, err := program.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	return log
}

// A line of netpoll's for every connection that is reset would fill the log.
func TestNetpollLogsAtDebugLevel(t *testing.T) {
	for level, want := range map[slog.Level]bool{slog.LevelInfo: false, slog.LevelDebug: true} {
		var out bytes.Buffer
		l := debugLog{slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level}))}
		if n, err := l.Write([]byte("reset by peer\n")); n != 14 || err != nil || strings.Contains(out.String(), "reset") != want {
			t.Errorf("%v: wrote %d, %v: %q", level, n, err, out.String())
		}
	}
}

// A settings file in disorder ends the start with one plain line.
func TestInvalidSettingsEndStartWithOneLine(t *testing.T) {
	dir := t.TempDir()
	config, settings := filepath.Join(dir, "config.json"), filepath.Join(dir, "settings.json5")
	for text, want := range map[string]string{
		"{\n\"lug\": {}}": `settings.json5:2: lug: unknown key; is "log" meant?`,
		`{"edge": {"frames": "127.0.0.1:0", "routes": [{"match": "r", "groups": [1], "write": "view", "check": "view"}]}}`: `edge.routes[0].write: class "view" is not a class of writes with an idempotency key`,
	} {
		for name, contents := range map[string][]byte{config: configuration(listen(t), 100), settings: []byte(text)} {
			if err := os.WriteFile(name, contents, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		program := exec.Command(os.Args[0])
		program.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+config, "LOTUSBEND_SETTINGS="+settings)
		out, err := program.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), want) {
			t.Errorf("%s: %v: %q", text, err, out)
		}
	}
}

// SIGHUP must not end the program; it reads the file anew, and one that is in
// disorder leaves the old configuration in force.
func TestSIGHUPReloadsTheConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	put := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, second := listen(t), listen(t)
	put(configuration(first, 100))
	program := exec.Command(os.Args[0])
	settings := filepath.Join(t.TempDir(), "settings.json5")
	set := func(text string) {
		t.Helper()
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	set(`{"log": {"form": "json"}} // from here on`)
	log := startWithLog(t, program, "GW_CONFIG="+path, "LOTUSBEND_SETTINGS="+settings)
	lines := bufio.NewScanner(log)
	await := func(part string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), part) {
				return
			}
		}
		t.Fatalf("the program ended before it said %q", part)
	}
	signal := func(s os.Signal) {
		t.Helper()
		if err := program.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	await(`"msg":"serving"`)
	put(configuration(second, 200))
	signal(syscall.SIGHUP)
	await("configuration read anew")
	acceptWatch(t, second)
	put(bytes.Replace(configuration(first, 100), []byte(`"settings"`), []byte(`"other"`), 1))
	signal(syscall.SIGHUP)
	await("not taken")
	set(`{"log": {"form": "jsn"}}`)
	signal(syscall.SIGHUP)
	await("the new settings file is not taken")
	set(`{"log": {"form": "text"}}`)
	signal(syscall.SIGHUP)
	await("takes effect at the next start")
	signal(syscall.SIGTERM)
	await("stopped")
	if err := program.Wait(); err != nil {
		t.Error(err)
	}
}

// The page that a router serves is the one that the command reads and prints.
func TestFleetPageIsDecodedAndPrinted(t *testing.T) {
	p := fleetPage{Classes: []string{"view"}, View: membership.View{Version: 3, Fleet: membership.Size{Low: 1, High: 2},
		Members: []membership.Update{{Name: "a", Zone: "z", State: membership.Suspect, Start: 1}}}}
	var totals fleetstate.Counters
	totals.Add(0, fleetstate.Rejections, 7)
	p.Shared = &fleetstate.StatusPage{Routers: 4, Totals: totals, SlowStart: map[string]fleetstate.Quota{"h1": {Own: 0.125, Borrowed: 0.25, Until: math.MaxInt64}},
		Ejections: []fleetstate.Ejection{{Endpoint: "h2", Status: fleetstate.Unresponsive, Until: 1000, Support: 2}}, Reputation: map[string]float64{"liar": 0.25}}
	b, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	var got fleetPage
	if err := json.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := got.print(&out, time.UnixMilli(5000)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1 to 2 routers", "suspect", "stake 1/4", "h1: own quota 0.1250, borrowed 0.2500", "h2: unresponsive", "liar: reputation 0.25"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not printed:\n%s", want, out.String())
		}
	}
	if !regexp.MustCompile(`view +0 +7 +0 +0 +0`).MatchString(out.String()) {
		t.Errorf("the totals are not printed:\n%s", out.String())
	}
}
