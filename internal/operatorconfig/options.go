// Package operatorconfig reads the operators' settings file: JSON with comments
// and trailing commas (JWCC). Every section is optional. Without its section the
// edge, membership or shared state is off, and the log is text at level info.
// Parsing is strict: an unknown key or an invalid value is an error of one line
// that names the file, the line and the path, and yields no options, so that a
// caller that reloads keeps its current ones.
package operatorconfig

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
)

// Options holds the validated contents of the settings file.
type Options struct {
	Level slog.Level // the lowest level that is logged
	JSON  bool       // whether log lines are JSON instead of text
	Edge  *Edge      // nil if the edge is off
	// Membership is nil if the router is not a member of a fleet.
	Membership *Membership
	// Shared is nil if shared state is off; it requires Membership.
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

// Parse reads the contents of a settings file. name is the file's name in errors.
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
		root.fail("shared requires membership")
	}
	if err := root.file.err; err != nil {
		return nil, err
	}
	return options, nil
}

// parseLog reads the log section.
func (o *Options) parseLog(section *value) {
	section.section(map[string]func(*value){
		"level": func(v *value) {
			level := v.choice("debug", "info", "warn", "error")
			if v.ok() {
				_ = o.Level.UnmarshalText([]byte(level)) // cannot fail: slog knows these names
			}
		},
		"form": func(v *value) { o.JSON = v.choice("text", "json") == "json" },
	})
}
