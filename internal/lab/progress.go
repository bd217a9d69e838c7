package lab

import (
	"io"
	"log/slog"
)

// newProgress returns a logger for the progress of a drill. It discards all events
// if the writer is nil.
func newProgress(to io.Writer, drill string) *slog.Logger {
	if to == nil {
		to = io.Discard
	}
	return slog.New(slog.NewTextHandler(to, nil)).With("drill", drill)
}
