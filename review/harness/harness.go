// Package harness runs one case of the review: it starts the project's router as
// a process of its own on loopback addresses, beside stand-ins for database hosts,
// the discovery agent and clients, and writes to a file what was sent, answered
// and run. The stand-ins follow the operators' protocol page and know nothing of
// the router's code but its encoder of PostgreSQL messages.
package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes lines to the record of a case. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecorder creates the file, or truncates it.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file, started: time.Now()}, nil
}

// Note writes one line, with the milliseconds since the start of the case.
func (r *Recorder) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := float64(time.Since(r.started).Microseconds()) / 1e3
	fmt.Fprintf(r.file, "%9.1f %s\n", elapsed, fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Recorder) Close() error { return r.file.Close() }

// NowMs returns the Unix time in milliseconds.
func NowMs() float64 { return float64(time.Now().UnixMicro()) / 1e3 }

// Sleep waits for a number of milliseconds.
func Sleep(ms float64) { time.Sleep(time.Duration(ms * float64(time.Millisecond))) }

// WaitFor waits until the condition holds, at most for a number of milliseconds.
// It reports whether it holds.
func WaitFor(ms float64, condition func() bool) bool {
	until := NowMs() + ms
	for !condition() {
		if NowMs() > until {
			return false
		}
		Sleep(5)
	}
	return true
}

// Exit codes of a case.
const (
	Held     = 0 // the rule held
	Broken   = 1 // the rule was broken
	CouldNot = 2 // the case could not run
)

// Main runs a case and ends the process with its exit code. The case gets the
// recorder and whether to cause the disruption, which TROUBLE=0 in the environment
// turns off. Its result says whether the rule held; an error means that the case
// could not run. The record's path is the program's only argument.
func Main(run func(record *Recorder, trouble bool) (held bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD")
		os.Exit(CouldNot)
	}
	record, err := NewRecorder(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Note("case begins, trouble=%v", trouble)
	held, err := run(record, trouble)
	code := Held
	switch {
	case err != nil:
		code = CouldNot
		record.Note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	case !held:
		code = Broken
		record.Note("the rule was broken")
		fmt.Println("the rule was broken")
	default:
		record.Note("the rule held")
		fmt.Println("the rule held")
	}
	_ = record.Close()
	os.Exit(code)
}
