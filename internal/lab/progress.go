package lab

import (
	"io"
	"log/slog"
)

// newProgress returns a log for the events of a drill. A nil writer discards
// them.
func newProgress(to io.Writer, drill string) *slog.Logger {
	if to == nil {
		to = io.Discard
	}
	return slog.New(slog.NewTextHandler(to, nil)).With("drill", drill)
}
