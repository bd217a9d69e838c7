// Package rig has what the cases 6 to 10 of the review share: the record of a run,
// a router that runs as a process of its own, a client, and stand-ins for database
// hosts and discovery that follow the operators' protocol page.
package rig

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Record is the file in which a case writes what was sent, answered and run. Its
// methods are safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// Logf writes one line with the time since the start of the case.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " | ")
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.began).Seconds(), line)
}

// Close writes what is still buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Write records the lines of a program's standard error.
func (r *Record) Write(text []byte) (int, error) {
	for line := range strings.Lines(string(text)) {
		r.Logf("router log: %s", strings.TrimRight(line, "\n"))
	}
	return len(text), nil
}

// Case is one run of a case.
type Case struct {
	*Record
	Trouble bool   // false with TROUBLE=0: the same without the disruption
	Root    string // folder of the repository
	Dir     string // temporary folder of this run
}

// Run runs a case whose folder and the repository's root are the program's two
// arguments, and exits with the case's result.
func Run(play func(*Case) (verdict int, err error)) {
	runtime.LockOSThread() // routers end with the thread that has started them
	os.Exit(run(play))
}

// run runs a case and returns the exit code.
func run(play func(*Case) (verdict int, err error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "two arguments are needed: the folder of the case and the repository's root")
		return NotRun
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c := &Case{Record: record, Trouble: os.Getenv("TROUBLE") != "0", Root: os.Args[2], Dir: dir}
	c.Logf("trouble: %v", c.Trouble)
	verdict, err := play(c)
	if err != nil {
		verdict = NotRun
		c.Logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	words := [...]string{"the rule held", "the rule was broken", "not run"}
	c.Logf("result: %s", words[verdict])
	fmt.Println("result:", words[verdict])
	return verdict
}
