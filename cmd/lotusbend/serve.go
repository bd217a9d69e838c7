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

// heapShare is the part of the memory limit for the heap; the rest is for
// stacks, the binary and the system's buffers.
const heapShare = 0.6

type serveCmd struct{ settingsFlag }

// Run implements the command.
func (cmd serveCmd) Run() error {
	// From the first moment on SIGHUP must not end the program, and SIGTERM must
	// end it in good order. A second one changes nothing.
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
	netpoll.SetLoggerOutput(debugLog{log}) // it has a line for each connection that a peer resets
	systemClock := clock.System()
	loop := clock.NewLoop(systemClock)
	n, err := newNode(config, options, loop, log)
	if err != nil {
		return err
	}
	members, err := startMembership(ctx, config, options, systemClock, log)
	if err != nil {
		return err
	}
	n.joinFleet(ctx, members)
	go loop.Run(context.Background()) // it ends with the process
	n.start()
	reloads := reloader{cmd: cmd, node: n, started: options, level: &level, log: log}
	go reloads.run(hangups)
	return n.run(ctx)
}

// reloader reads the two configurations again on SIGHUP. One that is not in
// order is logged, and the old one stays in force.
type reloader struct {
	cmd     serveCmd
	node    *node
	started *operatorconfig.Options // those of the start
	level   *slog.LevelVar
	log     *slog.Logger
}

// run lives as long as the process.
func (r *reloader) run(hangups <-chan os.Signal) {
	for range hangups {
		r.reloadConfig()
		r.reloadOptions()
	}
}

func (r *reloader) reloadConfig() {
	config, err := deployconfig.Reload(os.Getenv)
	if err != nil {
		r.log.Error("the new configuration is not taken", "error", err)
		return
	}
	limitHeap(config)
	r.node.reload(config)
}

func (r *reloader) reloadOptions() {
	options, err := r.cmd.load()
	if err != nil {
		r.log.Error("the new settings file is not taken", "error", err)
		return
	}
	r.level.Set(options.Level)
	if needsRestart(r.started, options) {
		r.log.Warn("a new form of the log, edge, membership or shared state takes effect at the next start")
	}
}

// needsRestart reports whether the settings differ in more than the log's level.
func needsRestart(started, fresh *operatorconfig.Options) bool {
	return fresh.JSON != started.JSON ||
		!reflect.DeepEqual(fresh.Edge, started.Edge) ||
		!reflect.DeepEqual(fresh.Membership, started.Membership) ||
		!reflect.DeepEqual(fresh.Shared, started.Shared)
}

// newLogger writes lines as text or JSON.
func newLogger(to io.Writer, asJSON bool, level slog.Leveler) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if asJSON {
		return slog.New(slog.NewJSONHandler(to, options))
	}
	return slog.New(slog.NewTextHandler(to, options))
}

// debugLog takes another package's lines as debugging ones.
type debugLog struct{ *slog.Logger }

// Write implements io.Writer.
func (l debugLog) Write(line []byte) (int, error) {
	l.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}

// limitHeap lets the garbage collector work harder long before the platform's
// limit.
func limitHeap(config *deployconfig.Config) {
	if config.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(config.MemoryMiB * (1 << 20) * heapShare))
	}
}
