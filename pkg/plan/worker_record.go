package plan

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// removable reports whether the worker is no longer in the directory, no run can exist on it and no record of it is in the log.
func (w *worker) removable() bool { return !w.inDirectory && w.unused() && !w.stored && !w.inLog }

// unused reports whether the worker is unreachable and no run can exist on it.
func (w *worker) unused() bool { return w.unreachable && (w.reported || !w.inherited) && w.empty() }

// empty reports whether this leader knows of no run on the worker.
func (w *worker) empty() bool { return len(w.tasks) == 0 && w.unknownRuns == 0 }

// listsTasks reports whether the worker's record lists the tasks that may run there, which the next leader takes for all of them.
// Runs that belong to no known task cannot be listed, so the record of a worker with such runs says that any task may run there.
func (w *worker) listsTasks() bool { return w.unreachable && w.unknownRuns == 0 }

// reportAwaited reports whether earlier leaders may have started tasks on the worker of which no report has told in this term.
func (w *worker) reportAwaited() bool { return w.inherited && !w.reported }

// Records returns the records of workers that have changed, and the ids of the workers for which the caller calls
// WorkerRecorded once they are stored, before the next call of Records. It removes workers that are gone.
func (p *Planner) Records() (records []oleanderline.KeyedRecord, ids []oleanderline.WorkerID, err error) {
	for id, w := range p.workers {
		if w.removable() {
			delete(p.workers, id)
		}
		if w.unused() {
			if w.stored {
				w.stored, w.written, w.useRecorded = false, false, false
				records = append(records, record.DropWorker(id))
				ids = append(ids, id)
				p.noteDrop(w)
			}
			continue
		}
		if w.reportAwaited() {
			continue // the record of the earlier leader knows more than this leader
		}
		since := p.sinceOf(w)
		if w.written && w.writtenUnreachable == w.listsTasks() && w.since == since {
			continue
		}
		if w.unreachable && !w.stored && w.empty() {
			continue // no task can have been started there
		}
		w.since = since
		value := w.record()
		rec, err := record.ForWorker(value)
		if err != nil {
			return nil, nil, err
		}
		p.noteRecord(w, value)
		w.written, w.writtenUnreachable, w.stored = true, value.Unreachable, true
		w.useRecorded = w.useRecorded && !value.Unreachable
		records = append(records, rec)
		ids = append(ids, id)
	}
	return records, ids, nil
}

// record returns the worker's record.
func (w *worker) record() record.Worker {
	rec := record.Worker{ID: w.entry.ID, Address: w.entry.Address, Unreachable: w.listsTasks(), Since: w.since}
	if rec.Unreachable {
		for t := range w.tasks {
			rec.Tasks = append(rec.Tasks, t.key())
		}
	}
	return rec
}

// WorkerRecorded marks the newest record of a worker, or its deletion, as stored. Unless the record says that the worker is unreachable,
// tasks may be placed there from then on.
func (p *Planner) WorkerRecorded(id oleanderline.WorkerID) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.inLog = w.stored
	if w.written && !w.writtenUnreachable {
		w.useRecorded = true
	}
}
