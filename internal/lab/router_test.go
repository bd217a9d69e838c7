package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// If a router exits at its start, the error must contain its last log line, which is
// usually the cause.
func TestWaitReadyErrorHasLastLogLine(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "router")
	script := "#!/bin/sh\necho first >&2\necho 'address already in use' >&2\nexit 1\n"
	if err := os.WriteFile(program, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	readyAddress, err := addresses.allocate("tcp")
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	router := &Router{Name: "n1", readyAddress: readyAddress.String(), dir: dir, binary: program, log: &log}
	if err := router.Start(); err != nil {
		t.Fatal(err)
	}
	err = router.waitReady()
	if err == nil || !strings.Contains(err.Error(), `"address already in use"`) {
		t.Errorf("waitReady() = %v, want an error with the last log line", err)
	}
	if want := "first\naddress already in use\n"; log.String() != want {
		t.Errorf("log = %q, want %q", log.String(), want)
	}
}

func TestLastLineWriterKeepsLastLine(t *testing.T) {
	long := strings.Repeat("x", 2*maxLineBytes)
	for _, test := range []struct {
		name   string
		writes []string
		want   string
	}{
		{"nothing written", nil, ""},
		{"complete lines", []string{"a\nb\n"}, "b"},
		{"line without an end", []string{"a\nb"}, "b"},
		{"line written in pieces", []string{"a\nb", "c", "\n"}, "bc"},
		{"empty lines after the last one", []string{"a\n\n\n"}, "a"},
		{"long line", []string{long, "y\n"}, long[:maxLineBytes]},
	} {
		t.Run(test.name, func(t *testing.T) {
			writer := &lastLineWriter{}
			for _, text := range test.writes {
				if n, err := writer.Write([]byte(text)); n != len(text) || err != nil {
					t.Fatalf("Write(%d bytes) = %d, %v, want all bytes and no error", len(text), n, err)
				}
			}
			if got := writer.last(); got != test.want {
				t.Errorf("last() = %q, want %q", got, test.want)
			}
		})
	}
}
