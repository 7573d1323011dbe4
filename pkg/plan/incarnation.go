package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/speed"
)

// isLate reports whether a report comes from an earlier incarnation and is read after one of its successor. The incarnation is the time
// of day of the worker's start, so a lower one is not necessarily the earlier: the time of day may have been set back.
func (w *worker) isLate(report oleanderline.WorkerReport, sent time.Time) bool {
	if report.Life < w.incarnation {
		return !sent.After(w.callSentAt)
	}
	return report.Life != w.incarnation && sent.Before(w.callSentAt)
}

// newIncarnation records a new incarnation of a worker. Nothing starts there until the worker's record is stored again: the new
// incarnation refuses no earlier leader, so this leader first has to learn from the log that it still leads. The worker keeps its tasks,
// and its reports decide which of them are lost: a start that was ordered from the earlier incarnation may have been carried out by
// the new one.
func (p *Planner) newIncarnation(w *worker, incarnation oleanderline.WorkerIncarnation) {
	if w.incarnation != 0 {
		p.note(NoteWorker, oleanderline.RunKey{}, w, "worker has restarted")
	}
	if w.incarnation != 0 {
		w.written, w.useRecorded = false, false
	}
	w.incarnation, w.processed, w.acked = incarnation, 0, 0
	w.health, w.speed, w.takenDown = health{}, speed.Worker{}, false
	for t := range w.tasks {
		t.stopFirst = t.startUnanswered
	}
}
