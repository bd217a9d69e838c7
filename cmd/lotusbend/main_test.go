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

// asProgram is the environment variable that makes the test binary run main.
const asProgram = "LOTUSBEND_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Args = []string{"lotusbend", "serve"}
		main()
		return
	}
	os.Exit(m.Run())
}

// startWithLog starts the program with environment variables and returns its
// standard error.
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

// Netpoll logs a line for every connection that is reset: at info level these would
// fill the log.
func TestNetpollLogsAtDebugLevel(t *testing.T) {
	for level, want := range map[slog.Level]bool{slog.LevelInfo: false, slog.LevelDebug: true} {
		var out bytes.Buffer
		writer := debugLog{slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: level}))}
		if n, err := writer.Write([]byte("reset by peer\n")); n != 14 || err != nil || strings.Contains(out.String(), "reset") != want {
			t.Errorf("level %v: Write = %d, %v with log %q, want 14, nil and the line logged: %v", level, n, err, out.String(), want)
		}
	}
}

// With an invalid settings file the program must fail to start, with one line that
// names the place of the error.
func TestInvalidSettingsEndStartWithOneLine(t *testing.T) {
	dir := t.TempDir()
	config, settings := filepath.Join(dir, "config.json"), filepath.Join(dir, "settings.json5")
	for text, want := range map[string]string{
		"{\n\"lug\": {}}": `settings.json5:2: lug: unknown key; did you mean "log"?`,
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
			t.Errorf("start with %s: got %v and output %q, want an error and one line with %q", text, err, out, want)
		}
	}
}

// SIGHUP must not end the program: it reads both files again, and an invalid file
// leaves its old contents in force.
func TestSIGHUPReloadsTheConfiguration(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, second := listen(t), listen(t)
	writeConfig(configuration(first, 100))
	program := exec.Command(os.Args[0])
	settings := filepath.Join(t.TempDir(), "settings.json5")
	writeSettings := func(text string) {
		t.Helper()
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeSettings(`{"log": {"form": "json"}} // from here on`)
	log := startWithLog(t, program, "GW_CONFIG="+path, "LOTUSBEND_SETTINGS="+settings)
	lines := bufio.NewScanner(log)
	await := func(part string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), part) {
				return
			}
		}
		t.Fatalf("the program ended before it logged %q", part)
	}
	signal := func(sig os.Signal) {
		t.Helper()
		if err := program.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
	}
	await(`"msg":"serving"`)
	writeConfig(configuration(second, 200))
	signal(syscall.SIGHUP)
	await("configuration reloaded")
	acceptWatch(t, second)
	writeConfig(bytes.Replace(configuration(first, 100), []byte(`"settings"`), []byte(`"other"`), 1))
	signal(syscall.SIGHUP)
	await("configuration reload failed")
	writeSettings(`{"log": {"form": "jsn"}}`)
	signal(syscall.SIGHUP)
	await("settings file reload failed")
	writeSettings(`{"log": {"form": "text"}}`)
	signal(syscall.SIGHUP)
	await("settings change needs a restart")
	signal(syscall.SIGTERM)
	await("stopped")
	if err := program.Wait(); err != nil {
		t.Errorf("program ended with %v, want success", err)
	}
}

// The fleet command must decode the page that a router serves, and print its
// contents.
func TestFleetPageIsDecodedAndPrinted(t *testing.T) {
	page := fleetPage{Classes: []string{"view"}, View: membership.View{Version: 3, Fleet: membership.Size{Low: 1, High: 2},
		Members: []membership.Update{{Name: "a", Zone: "z", State: membership.Suspect, Start: 1}}}}
	var totals fleetstate.Counters
	totals.Add(0, fleetstate.Rejections, 7)
	page.Shared = &fleetstate.StatusPage{Routers: 4, Totals: totals, SlowStart: map[string]fleetstate.Quota{"h1": {Own: 0.125, Borrowed: 0.25, Until: math.MaxInt64}},
		Ejections: []fleetstate.Ejection{{Endpoint: "h2", Status: fleetstate.Unresponsive, Until: 1000, Support: 2}}, Reputation: map[string]float64{"liar": 0.25}}
	encoded, err := json.Marshal(page)
	if err != nil {
		t.Fatal(err)
	}
	var got fleetPage
	if err := json.Unmarshal(encoded, &got); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := got.print(&out, time.UnixMilli(5000)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1 to 2 routers", "suspect", "stake 1/4", "h1: own quota 0.1250, borrowed 0.2500", "h2: unresponsive", "liar: reputation 0.25"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("print = %s\nwant it to contain %q", out.String(), want)
		}
	}
	if !regexp.MustCompile(`view +0 +7 +0 +0 +0`).MatchString(out.String()) {
		t.Errorf("print = %s\nwant the totals of class view: 0 7 0 0 0", out.String())
	}
}
