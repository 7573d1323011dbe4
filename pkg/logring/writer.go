// Package logring keeps log lines from slowing a process down: a writer takes lines into a bounded ring and a goroutine
// writes them out. Lines beyond a bound a second, and lines that find the ring full, are dropped and counted.
package logring

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	ringLines = 2048
	second    = time.Second
)

// minor marks the lines that are dropped first, in the format of common.NewLogger.
var minor = []byte(`"level":"info"`)

// majorFactor is how many times more lines a second are admitted of those that tell of a refusal, a failure or a loss.
const majorFactor = 4

// Writer implements io.Writer. Each call of Write is one line.
type Writer struct {
	clock   oleanderline.Clock
	lines   chan []byte
	limit   int // lines a second
	dropped atomic.Int64

	mu     sync.Mutex
	window time.Time
	count  int
}

// New returns a writer that passes at most limit lines a second to out. notice returns a line about n dropped ones.
func New(out io.Writer, clock oleanderline.Clock, limit int, notice func(n int64) []byte) *Writer {
	w := &Writer{clock: clock, lines: make(chan []byte, ringLines), limit: limit}
	go w.drain(out, notice)
	return w
}

// Write never blocks. It reports success for a dropped line, which is counted.
func (w *Writer) Write(line []byte) (int, error) {
	if w.admit(bytes.Contains(line, minor)) {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of lines dropped and not reported yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) admit(info bool) bool {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.window) >= second {
		w.window, w.count = now, 0
	}
	w.count++
	if info {
		return w.count <= w.limit
	}
	return w.count <= majorFactor*w.limit
}

// drain writes lines out. An error of the output is ignored, because there is nowhere to report it.
func (w *Writer) drain(out io.Writer, notice func(n int64) []byte) {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = out.Write(notice(n))
		}
		_, _ = out.Write(line)
	}
}
