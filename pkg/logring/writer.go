// Package logring provides a non-blocking log writer, so that slow log output does not slow the process down. Lines are queued
// in a bounded buffer, and a goroutine writes them out. Lines above a rate limit, and lines that find the buffer full, are
// dropped and counted.
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
	bufferLines  = 2048        // lines that wait to be written out
	rateInterval = time.Second // over which the rate limit counts lines
)

// infoMarker identifies lines of level info, in the format of common.NewLogger. They are dropped first.
var infoMarker = []byte(`"level":"info"`)

// warnFactor multiplies the rate limit for lines of other levels than info, which report refusals, failures and losses.
const warnFactor = 4

// Writer is an io.Writer that takes one line per call of Write. It is safe for concurrent use.
type Writer struct {
	clock   oleanderline.Clock
	lines   chan []byte
	limit   int // lines per second
	dropped atomic.Int64

	mu            sync.Mutex
	intervalStart time.Time
	count         int
}

// New returns a writer to out. In each second it passes the first limit lines, and lines of other levels than info up to
// warnFactor*limit. notice formats the line that reports n dropped lines.
func New(out io.Writer, clock oleanderline.Clock, limit int, notice func(n int64) []byte) *Writer {
	w := &Writer{clock: clock, lines: make(chan []byte, bufferLines), limit: limit}
	go w.drain(out, notice)
	return w
}

// Write never blocks on the output. It also returns success for a dropped line, and counts it.
func (w *Writer) Write(line []byte) (int, error) {
	if w.admit(bytes.Contains(line, infoMarker)) {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported by a notice.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// admit counts a line and reports whether it is within the rate limit.
func (w *Writer) admit(isInfo bool) bool {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.intervalStart) >= rateInterval {
		w.intervalStart, w.count = now, 0
	}
	w.count++
	if isInfo {
		return w.count <= w.limit
	}
	return w.count <= warnFactor*w.limit
}

// drain writes queued lines to out. It ignores errors of out because there is nowhere to report them.
func (w *Writer) drain(out io.Writer, notice func(n int64) []byte) {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = out.Write(notice(n))
		}
		_, _ = out.Write(line)
	}
}
