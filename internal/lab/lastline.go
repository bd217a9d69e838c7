package lab

import (
	"bytes"
	"io"
	"sync"
)

// maxLineBytes is the length up to which a line is kept; the rest is dropped.
const maxLineBytes = 4 << 10

// lastLineWriter forwards the output of a process and keeps its last line for the
// error that reports an unexpected exit. It is safe for concurrent use.
type lastLineWriter struct {
	next io.Writer // receives the output; nil to discard it

	mu      sync.Mutex
	line    []byte // last complete line that is not empty
	partial []byte // incomplete line after it
}

// Write implements io.Writer.
func (w *lastLineWriter) Write(text []byte) (int, error) {
	w.keep(text)
	if w.next == nil {
		return len(text), nil
	}
	return w.next.Write(text)
}

func (w *lastLineWriter) keep(text []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		line, rest, complete := bytes.Cut(text, []byte{'\n'})
		remaining := maxLineBytes - len(w.partial)
		w.partial = append(w.partial, line[:min(len(line), remaining)]...)
		if !complete {
			return
		}
		if len(w.partial) > 0 {
			w.line = append(w.line[:0], w.partial...)
		}
		w.partial = w.partial[:0]
		text = rest
	}
}

// last returns the last line that is not empty, complete or not; "" if there is none.
func (w *lastLineWriter) last() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.partial) > 0 {
		return string(w.partial)
	}
	return string(w.line)
}
