package journal

import (
	"errors"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Times of a Writer.
const (
	// gather is how long the first record waits for others. Urgent records do not wait.
	gather = 10 * time.Millisecond
	// gap is the least time between two appends. With 4 shards it bounds a region to 80 appends a second.
	gap = 50 * time.Millisecond
	// urgentGap is the least time between two appends when an urgent record waits.
	urgentGap = 10 * time.Millisecond
	// retryFirst and retryMost bound the wait before a group is sent again.
	retryFirst = 50 * time.Millisecond
	retryMost  = 2 * time.Second
	// maxGroup bounds the records of one append.
	maxGroup = 2000
)

// Writer collects records into groups and keeps one group at a time in flight. A group whose answer was lost is sent
// again unchanged until it is known to be stored. It is a pure data structure: the caller sends what Next returns.
type Writer struct {
	id       oleanderline.WriterID
	seq      Seq
	queue    []Record
	first    time.Time // when the oldest queued record came
	urgent   bool
	last     time.Time // when the last new group was formed
	inflight *Group
	sending  bool
	maybe    bool // an attempt of the group in flight may have been stored
	since    time.Time
	retryAt  time.Time
	backoff  time.Duration
}

// NewWriter returns a writer for one incarnation of a process and one stream.
func NewWriter(id oleanderline.WriterID) *Writer { return &Writer{id: id} }

// Idle reports whether no record waits or is on its way.
func (w *Writer) Idle() bool { return len(w.queue) == 0 && w.inflight == nil }

// Add queues records for the next group.
func (w *Writer) Add(now time.Time, urgent bool, records ...Record) {
	if len(records) == 0 {
		return
	}
	if len(w.queue) == 0 {
		w.first = now
	}
	w.urgent = w.urgent || urgent
	for _, record := range records {
		if !w.joinCancel(record) {
			w.queue = append(w.queue, record)
		}
	}
}

// joinCancel adds a cancellation to the one queued last, so that a burst takes one record.
func (w *Writer) joinCancel(record Record) bool {
	n := len(w.queue)
	if record.Kind != KindCancel || n == 0 || w.queue[n-1].Kind != KindCancel {
		return false
	}
	w.queue[n-1].Jobs = append(w.queue[n-1].Jobs, record.Jobs...)
	return true
}

// Next returns the group to send now, if any. The caller reports its answer by Answered. The stream has been read up to
// base.
func (w *Writer) Next(term oleanderline.Term, base oleanderline.Offset, now time.Time) (Group, bool) {
	if w.sending {
		return Group{}, false
	}
	if w.inflight != nil {
		if now.Before(w.retryAt) {
			return Group{}, false
		}
		w.sending = true
		return *w.inflight, true
	}
	if len(w.queue) == 0 || !w.due(now) {
		return Group{}, false
	}
	n := min(len(w.queue), maxGroup)
	w.seq++
	w.inflight = &Group{Writer: w.id, Seq: w.seq, Term: term, Base: base, List: slices.Clone(w.queue[:n])}
	w.queue = slices.Delete(w.queue, 0, n)
	w.sending, w.maybe, w.backoff = true, false, retryFirst
	w.last, w.first, w.since = now, now, now
	w.urgent = false
	return *w.inflight, true
}

func (w *Writer) due(now time.Time) bool {
	if w.urgent {
		return now.Sub(w.last) >= urgentGap
	}
	return now.Sub(w.first) >= gather && now.Sub(w.last) >= gap
}

// Answered reports the end of an attempt to append the group seq. Answers for other groups are ignored.
func (w *Writer) Answered(seq Seq, err error, now time.Time) {
	if w.inflight == nil || w.inflight.Seq != seq {
		return
	}
	w.sending = false
	if err == nil {
		w.inflight = nil
		return
	}
	w.maybe = w.maybe || !errors.Is(err, oleanderline.ErrUnavailable)
	w.retryAt = now.Add(w.backoff)
	w.backoff = min(2*w.backoff, retryMost)
}

// Seen reports that a group was read back. If it is the one in flight, it needs no further attempt.
func (w *Writer) Seen(writer oleanderline.WriterID, seq Seq) {
	if w.inflight != nil && writer == w.id && seq == w.inflight.Seq {
		w.inflight, w.sending = nil, false
	}
}

// Withdraw removes the queued records that match, and reports whether there were any. Records that an attempt may have
// stored cannot be withdrawn.
func (w *Writer) Withdraw(match func(Record) bool) bool {
	n := len(w.queue)
	w.queue = slices.DeleteFunc(w.queue, match)
	removed := len(w.queue) < n
	if w.inflight != nil && !w.sending && !w.maybe {
		n = len(w.inflight.List)
		w.inflight.List = slices.DeleteFunc(w.inflight.List, match)
		removed = removed || len(w.inflight.List) < n
	}
	return removed
}

// Reset drops everything that is not stored, after the term was lost. The sequence goes on, so that a late copy of a
// dropped group is recognized.
func (w *Writer) Reset() {
	w.queue, w.inflight, w.sending = nil, nil, false
}

// Waiting returns the number of records that are queued or in flight.
func (w *Writer) Waiting() int {
	if w.inflight == nil {
		return len(w.queue)
	}
	return len(w.queue) + len(w.inflight.List)
}

// Stalled returns how long the group in flight has been without an answer.
func (w *Writer) Stalled(now time.Time) time.Duration {
	if w.inflight == nil {
		return 0
	}
	return now.Sub(w.since)
}
