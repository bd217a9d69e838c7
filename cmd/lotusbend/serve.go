package main

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/cloudwego/netpoll"

	"lotusbend/internal/clock"
	"lotusbend/internal/deployconfig"
	"lotusbend/internal/operatorconfig"
)

// heapShare is the fraction of the process's memory limit that limitHeap sets as
// the runtime's limit. The rest is for memory that the runtime does not count: the
// binary, the stacks of system threads and the system's buffers.
const heapShare = 0.6

type serveCmd struct{ settingsFlag }

// Run serves clients until SIGTERM or SIGINT.
func (cmd serveCmd) Run() error {
	// Signals are handled before anything else: a SIGHUP during the start must
	// not end the program, and a SIGTERM must end it gracefully. Repeated
	// signals have no further effect.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	options, err := cmd.load()
	if err != nil {
		return err
	}
	config, err := deployconfig.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	limitHeap(config)
	var level slog.LevelVar
	level.Set(options.Level)
	log := newLogger(os.Stderr, options.JSON, &level).With("router", config.Name)
	netpoll.SetLoggerOutput(debugLog{log}) // netpoll logs a line for each connection that a peer resets
	systemClock := clock.System()
	loop := clock.NewLoop(systemClock)
	n, err := newNode(config, options, loop, log)
	if err != nil {
		return err
	}
	member, err := startMembership(ctx, config, options, systemClock, log)
	if err != nil {
		return err
	}
	n.joinFleet(ctx, member)
	go loop.Run(context.Background()) // runs until the process exits
	n.start()
	reloads := reloader{cmd: cmd, node: n, started: options, level: &level, log: log}
	go reloads.run(hangups)
	return n.run(ctx)
}

// reloader reads the configuration file and the settings file again on SIGHUP.
// If a file is invalid, the error is logged and its old contents stay in force.
// Only some settings change without a restart: see node.reload and needsRestart.
type reloader struct {
	cmd     serveCmd
	node    *node
	started *operatorconfig.Options // the options that the program started with
	level   *slog.LevelVar
	log     *slog.Logger
}

// run reloads on every signal, until the process exits.
func (r *reloader) run(hangups <-chan os.Signal) {
	for range hangups {
		r.reloadConfig()
		r.reloadOptions()
	}
}

// reloadConfig reads the configuration file again and applies what can change.
func (r *reloader) reloadConfig() {
	config, err := deployconfig.Reload(os.Getenv)
	if err != nil {
		r.log.Error("configuration reload failed", "error", err)
		return
	}
	limitHeap(config)
	r.node.reload(config)
}

// reloadOptions reads the settings file again and applies the log level.
func (r *reloader) reloadOptions() {
	options, err := r.cmd.load()
	if err != nil {
		r.log.Error("settings file reload failed", "error", err)
		return
	}
	r.level.Set(options.Level)
	if needsRestart(r.started, options) {
		r.log.Warn("settings change needs a restart: log form, edge, membership or shared")
	}
}

// needsRestart reports whether the options differ in more than the log level,
// which is the only one that a reload applies.
func needsRestart(started, fresh *operatorconfig.Options) bool {
	return fresh.JSON != started.JSON ||
		!reflect.DeepEqual(fresh.Edge, started.Edge) ||
		!reflect.DeepEqual(fresh.Membership, started.Membership) ||
		!reflect.DeepEqual(fresh.Shared, started.Shared)
}

// newLogger returns a logger that writes lines as text or as JSON.
func newLogger(to io.Writer, asJSON bool, level slog.Leveler) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if asJSON {
		return slog.New(slog.NewJSONHandler(to, options))
	}
	return slog.New(slog.NewTextHandler(to, options))
}

// debugLog is an io.Writer that logs each line written to it at debug level.
type debugLog struct{ *slog.Logger }

// Write implements io.Writer.
func (l debugLog) Write(line []byte) (int, error) {
	l.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}

// limitHeap sets the runtime's soft memory limit, so that the garbage collector
// runs more often well before the process reaches the platform's limit. Without a
// limit in the configuration, the runtime's limit stays as it is.
func limitHeap(config *deployconfig.Config) {
	if config.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(config.MemoryMiB * (1 << 20) * heapShare))
	}
}
