// Package lead decides when a process should claim leadership. Whether a claim succeeds is decided by the log.
package lead

import "time"

// Watch follows the leader's records as one process reads them.
type Watch struct {
	timeout  time.Duration
	heard    time.Time // when a record of the leader was read last
	readable time.Time // since when every read has succeeded; zero while reads fail
	resigned bool
}

// NewWatch returns a watch that takes a leader as lost after timeout without a record of it.
func NewWatch(timeout time.Duration) *Watch { return &Watch{timeout: timeout} }

// Read tells that a read of the stream has succeeded or failed.
func (w *Watch) Read(ok bool, now time.Time) {
	switch {
	case !ok:
		w.readable = time.Time{}
	case w.readable.IsZero():
		w.readable = now
	}
}

// Heard tells that a record of the leader was read.
func (w *Watch) Heard(resigned bool, now time.Time) {
	w.heard = now
	w.resigned = resigned
}

// Claim reports whether this process should claim leadership after waiting for its own delay, which differs between
// processes so that they do not all claim at once. Time during which this process could not read does not count: the
// leader may have been unable to write for the same reason.
func (w *Watch) Claim(now time.Time, delay time.Duration) bool {
	if w.readable.IsZero() {
		return false
	}
	since := w.heard
	if w.readable.After(since) {
		since = w.readable
	}
	if w.resigned && w.readable.Before(w.heard) {
		return now.Sub(since) >= delay
	}
	return now.Sub(since) >= w.timeout+delay
}
