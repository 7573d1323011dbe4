// Package lead decides when a process should claim leadership. Whether a claim succeeds is decided by the log.
package lead

import "time"

// Watch follows the leader's records as one process reads them.
type Watch struct {
	timeout  time.Duration
	heard    time.Time // when a record of the leader was read last
	readable time.Time // since when every read has succeeded; zero while reads fail
	resigned bool
	gone     bool // it is certain that the leader does not live any more
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
	w.resigned, w.gone = resigned, false
}

// Gone tells that the leader whose record was read does not live any more.
func (w *Watch) Gone(now time.Time) {
	w.heard, w.gone = now, true
}

// Claim reports whether this process should claim leadership after waiting for its own delay, which differs between
// processes so that they do not all claim at once. Time during which this process could not read does not count: the
// leader may have been unable to write for the same reason.
func (w *Watch) Claim(now time.Time, delay time.Duration) bool {
	due, known := w.Due(delay)
	return known && !now.Before(due)
}

// Due returns when this process should claim if it reads nothing of the leader until then. It is not known while reads
// fail.
func (w *Watch) Due(delay time.Duration) (due time.Time, known bool) {
	if w.readable.IsZero() {
		return time.Time{}, false
	}
	since := w.heard
	if w.readable.After(since) {
		since = w.readable
	}
	if w.gone || (w.resigned && w.readable.Before(w.heard)) {
		return since.Add(delay), true
	}
	return since.Add(w.timeout + delay), true
}
