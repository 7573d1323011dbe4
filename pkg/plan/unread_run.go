package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// unreadRun is a run that a worker has reported before its job was read.
type unreadRun struct {
	worker        *worker
	incarnation   oleanderline.WorkerIncarnation
	firstReported time.Time
}

// isUnread reports whether a run belongs to an unknown job that may still be read. It records the worker that reported the run.
func (p *Planner) isUnread(key oleanderline.RunKey, w *worker) bool {
	if p.jobs[key.Task.Job] != nil {
		return false
	}
	run, known := p.unreadRuns[key]
	if !known {
		run = unreadRun{worker: w, incarnation: w.incarnation, firstReported: p.now}
		p.unreadRuns[key] = run
	}
	return p.now.Sub(run.firstReported) < unreadJobTimeout
}

// adoptUnread adopts the runs of a job that were reported before the job was read. Later reports show whether they still run.
func (p *Planner) adoptUnread(j *job) {
	for key, run := range p.unreadRuns {
		if key.Task.Job != j.spec.ID {
			continue
		}
		delete(p.unreadRuns, key)
		t := p.task(key.Task)
		if t == nil || t.done || t.worker != nil || run.worker.incarnation != run.incarnation || p.workers[run.worker.entry.ID] != run.worker {
			continue
		}
		p.adopt(run.worker, t, key.Run, p.now)
	}
}
