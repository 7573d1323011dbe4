package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// sighting is a run that a worker has listed before its job was read.
type sighting struct {
	worker *worker
	life   oleanderline.WorkerLife
	first  time.Time
}

// awaited reports whether a run belongs to a job that may still be read, and notes where the run was seen.
func (p *Planner) awaited(key oleanderline.RunKey, w *worker) bool {
	if p.jobs[key.Task.Job] != nil {
		return false
	}
	seen, known := p.awaiting[key]
	if !known {
		seen = sighting{worker: w, life: w.life, first: p.now}
		p.awaiting[key] = seen
	}
	return p.now.Sub(seen.first) < awaitJob
}

// adoptSeen takes over the runs of a job that were seen before the job was read. Reports tell later whether they still run.
func (p *Planner) adoptSeen(j *job) {
	for key, seen := range p.awaiting {
		if key.Task.Job != j.spec.ID {
			continue
		}
		delete(p.awaiting, key)
		t := p.task(key.Task)
		if t == nil || t.done || t.worker != nil || seen.worker.life != seen.life || p.workers[seen.worker.entry.ID] != seen.worker {
			continue
		}
		p.adopt(seen.worker, t, key.Run, p.now)
	}
}
