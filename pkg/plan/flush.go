package plan

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// EndNumbers holds, by worker, the newest end of a run that the records of a flush cover.
type EndNumbers map[oleanderline.WorkerID]Acked

// Acked identifies the newest recorded end of a run on a worker. Each incarnation of a worker numbers its ends anew.
type Acked struct {
	Life   oleanderline.WorkerIncarnation
	Number int64
}

// Flush returns the records of the jobs whose progress has changed since the last flush. The caller passes the end numbers to
// Flushed once these records are stored.
func (p *Planner) Flush() ([]oleanderline.KeyedRecord, EndNumbers, error) {
	records := make([]oleanderline.KeyedRecord, 0, len(p.dirty))
	for j := range p.dirty {
		rec, err := p.progressRecord(j)
		if err != nil {
			return nil, nil, err
		}
		records = append(records, rec)
	}
	clear(p.dirty)
	ends := EndNumbers{}
	for id, w := range p.workers {
		if w.processed > w.acked {
			ends[id] = Acked{Life: w.incarnation, Number: w.processed}
		}
	}
	return records, ends, nil
}

// progressRecord returns the record of a job's progress. A job whose progress does not fit into a record fails: the log would refuse
// that record, and all others of the same append, again and again.
func (p *Planner) progressRecord(j *job) (oleanderline.KeyedRecord, error) {
	rec, err := record.ForProgress(j.spec.ID, &j.progress)
	if err != nil || rec.Fits(p.settings.MaxRecord) {
		return rec, err
	}
	run := oleanderline.RunKey{Task: oleanderline.TaskKey{Job: j.spec.ID}}
	p.notes = append(p.notes, Note{Kind: NoteJob, Run: run, Reason: "progress is too large for a record of the log"})
	if j.active() {
		p.finish(j, oleanderline.JobFailed)
	}
	j.progress = record.Progress{State: j.progress.State, Started: true}
	return record.ForProgress(j.spec.ID, &j.progress)
}

// Flushed marks the records of a flush as stored. It returns the ends that may now be acknowledged to the workers.
func (p *Planner) Flushed(ends EndNumbers) EndNumbers {
	acked := EndNumbers{}
	for id, a := range ends {
		if w := p.workers[id]; w != nil && w.incarnation == a.Life {
			w.acked = max(w.acked, a.Number)
			acked[id] = Acked{Life: w.incarnation, Number: w.acked}
		}
	}
	return acked
}
