// Package operatorconfig reads the operators' own settings file: JSON with
// comments and trailing commas (JWCC). Everything in it is off where the file
// does not name it. It is strict: what it does not know, or cannot take, is an
// error of one line with file, line and path, and the caller keeps what it had.
package operatorconfig

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
)

// Options is the file's contents, checked.
type Options struct {
	Level slog.Level
	JSON  bool  // log lines as JSON
	Edge  *Edge // nil where the edge is off
	// Membership is nil where the routers keep no view of each other.
	Membership *Membership
	// Shared is nil where routers share no state; it needs Membership.
	Shared *Shared
}

// Load reads the file at path.
func Load(path string) (*Options, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the settings file: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's contents; name stands in its errors.
func Parse(name string, text []byte) (*Options, error) {
	if len(strings.TrimSpace(string(text))) == 0 {
		return nil, fmt.Errorf("%s:1: $: %w", name, errEmpty)
	}
	root, err := parse(name, text)
	if err != nil {
		return nil, err
	}
	options := &Options{}
	root.section(map[string]func(*value){
		"log":        options.parseLog,
		"edge":       func(v *value) { options.Edge = parseEdge(v) },
		"membership": func(v *value) { options.Membership = parseMembership(v) },
		"shared":     func(v *value) { options.Shared = parseShared(v) },
	})
	if root.ok() && options.Shared != nil && options.Membership == nil {
		root.fail("shared needs membership")
	}
	if err := root.file.err; err != nil {
		return nil, err
	}
	return options, nil
}

// parseLog reads the section on the log.
func (o *Options) parseLog(section *value) {
	section.section(map[string]func(*value){
		"level": func(v *value) {
			level := v.choice("debug", "info", "warn", "error")
			if v.ok() {
				_ = o.Level.UnmarshalText([]byte(level)) // one of its own names
			}
		},
		"form": func(v *value) { o.JSON = v.choice("text", "json") == "json" },
	})
}
