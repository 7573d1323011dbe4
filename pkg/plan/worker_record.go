package plan

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// removable reports whether nothing may run on a worker that the directory no longer has.
func (w *worker) removable() bool { return !w.listed && w.empty() }

// empty reports whether nothing may run on a silent worker.
func (w *worker) empty() bool { return w.silent && len(w.tasks) == 0 && w.reported }

// Records returns the records of workers that have changed, and the workers to which they belong. Workers that are gone are
// forgotten.
func (p *Planner) Records() (records []oleanderline.KeyedRecord, ids []oleanderline.WorkerID, err error) {
	for id, w := range p.workers {
		if w.removable() {
			delete(p.workers, id)
		}
		if w.empty() {
			if w.stored {
				w.stored, w.written, w.recorded = false, false, false
				records = append(records, record.DropWorker(id))
			}
			continue
		}
		if w.written && w.writtenSilent == w.silent {
			continue
		}
		if w.silent && !w.stored && !w.inherited {
			continue // never used
		}
		rec, err := record.ForWorker(w.record())
		if err != nil {
			return nil, nil, err
		}
		w.written, w.writtenSilent, w.stored = true, w.silent, true
		w.recorded = w.recorded && !w.silent
		records = append(records, rec)
		ids = append(ids, id)
	}
	return records, ids, nil
}

func (w *worker) record() record.Worker {
	rec := record.Worker{ID: w.entry.ID, Address: w.entry.Address, Silent: w.silent}
	if w.silent {
		for t := range w.tasks {
			rec.Tasks = append(rec.Tasks, t.key())
		}
	}
	return rec
}

// WorkerRecorded tells that the newest record of a worker is stored.
func (p *Planner) WorkerRecorded(id oleanderline.WorkerID) {
	if w := p.workers[id]; w != nil && w.written && !w.writtenSilent {
		w.recorded = true
	}
}
