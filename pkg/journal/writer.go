package journal

import (
	"errors"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Limits of a Writer.
const (
	// maxBatchDelay is how long the first queued record waits for others. Urgent records do not wait.
	maxBatchDelay = 10 * time.Millisecond
	// minInterval is the minimum interval between two appends. With 4 shards it limits a region to 80 appends per second.
	minInterval = 50 * time.Millisecond
	// urgentMinInterval is the minimum interval between two appends if an urgent record is queued.
	urgentMinInterval = 10 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff before a group is sent again.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxGroupRecords is the maximum number of records in one append.
	maxGroupRecords = 2000
)

// Writer collects records into groups. At most one group is in flight. A group whose append failed is sent again with the
// same sequence number until it is known to be stored. Once it may be stored, its records no longer change. Writer does no
// I/O: the caller sends what Next returns.
type Writer struct {
	id            oleanderline.WriterID
	seq           Seq
	queue         []Record
	oldestQueued  time.Time // when the oldest queued record was added
	urgent        bool
	lastFormed    time.Time // when the last new group was formed
	inFlight      *Group    // may also wait for its next retry
	sending       bool      // an append of the group in flight has not returned
	maybeStored   bool      // the group in flight may already be stored
	inFlightSince time.Time
	retryAt       time.Time
	backoff       time.Duration
}

// NewWriter returns a writer for one incarnation of a process and one stream.
func NewWriter(id oleanderline.WriterID) *Writer { return &Writer{id: id} }

// Idle reports whether no record is queued or in flight.
func (w *Writer) Idle() bool { return len(w.queue) == 0 && w.inFlight == nil }

// Add queues records for the next group.
func (w *Writer) Add(now time.Time, urgent bool, records ...Record) {
	if len(records) == 0 {
		return
	}
	if len(w.queue) == 0 {
		w.oldestQueued = now
	}
	w.urgent = w.urgent || urgent
	for _, record := range records {
		if !w.mergeCancel(record) {
			w.queue = append(w.queue, record)
		}
	}
}

// mergeCancel merges a cancel record into the last queued record if that is a cancel record, too, so that a burst of
// cancellations takes one record. It reports whether it did.
func (w *Writer) mergeCancel(record Record) bool {
	n := len(w.queue)
	if record.Kind != KindCancel || n == 0 || w.queue[n-1].Kind != KindCancel {
		return false
	}
	w.queue[n-1].Jobs = append(w.queue[n-1].Jobs, record.Jobs...)
	return true
}

// Next returns the group to send now, if any. The caller passes the result of the append to HandleResult. base is the first
// offset that has not been read.
func (w *Writer) Next(term oleanderline.Term, base oleanderline.Offset, now time.Time) (Group, bool) {
	if w.sending {
		return Group{}, false
	}
	if w.inFlight != nil {
		if now.Before(w.retryAt) {
			return Group{}, false
		}
		w.sending = true
		return *w.inFlight, true
	}
	if len(w.queue) == 0 || !w.isDue(now) {
		return Group{}, false
	}
	n := min(len(w.queue), maxGroupRecords)
	w.seq++
	w.inFlight = &Group{Writer: w.id, Seq: w.seq, Term: term, Base: base, List: slices.Clone(w.queue[:n])}
	w.queue = slices.Delete(w.queue, 0, n)
	w.sending, w.maybeStored, w.backoff = true, false, minBackoff
	w.lastFormed, w.oldestQueued, w.inFlightSince = now, now, now
	w.urgent = false
	return *w.inFlight, true
}

func (w *Writer) isDue(now time.Time) bool {
	if w.urgent {
		return now.Sub(w.lastFormed) >= urgentMinInterval
	}
	return now.Sub(w.oldestQueued) >= maxBatchDelay && now.Sub(w.lastFormed) >= minInterval
}

// HandleResult processes the result of an append of the group seq. Results for other groups are ignored.
func (w *Writer) HandleResult(seq Seq, err error, now time.Time) {
	if w.inFlight == nil || w.inFlight.Seq != seq {
		return
	}
	w.sending = false
	if err == nil {
		w.inFlight = nil
		return
	}
	w.maybeStored = w.maybeStored || !errors.Is(err, oleanderline.ErrUnavailable)
	w.retryAt = now.Add(w.backoff)
	w.backoff = min(2*w.backoff, maxBackoff)
}

// HandleReadBack processes a group that was read from the stream. If it is the group in flight, it is stored and not sent again.
func (w *Writer) HandleReadBack(writer oleanderline.WriterID, seq Seq) {
	if w.inFlight != nil && writer == w.id && seq == w.inFlight.Seq {
		w.inFlight, w.sending = nil, false
	}
}

// Withdraw removes the matching records that are certainly not stored, and reports whether there were any. Records that are
// being sent or may be stored are not removed.
func (w *Writer) Withdraw(match func(Record) bool) bool {
	n := len(w.queue)
	w.queue = slices.DeleteFunc(w.queue, match)
	removed := len(w.queue) < n
	if w.inFlight != nil && !w.sending && !w.maybeStored {
		n = len(w.inFlight.List)
		w.inFlight.List = slices.DeleteFunc(w.inFlight.List, match)
		removed = removed || len(w.inFlight.List) < n
	}
	return removed
}

// Reset drops all records that are queued or in flight, after the term was lost. The sequence numbers continue, so that
// readers recognize a delayed copy of a dropped group.
func (w *Writer) Reset() {
	w.queue, w.inFlight, w.sending = nil, nil, false
}

// PendingRecords returns the number of records that are queued or in flight.
func (w *Writer) PendingRecords() int {
	if w.inFlight == nil {
		return len(w.queue)
	}
	return len(w.queue) + len(w.inFlight.List)
}

// Stalled returns the time since the group in flight was formed, or 0 if there is none.
func (w *Writer) Stalled(now time.Time) time.Duration {
	if w.inFlight == nil {
		return 0
	}
	return now.Sub(w.inFlightSince)
}
