package shard

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/placement"
)

// clear keeps one worker free of further batch work until a task that has waited beyond the bound fits there. Otherwise
// smaller tasks take each part of the room that becomes free, and a large task waits for ever. The worker stays the same
// as long as it can be used.
func (c *Core) clear(t *task, earlier oleanderline.WorkerID, workers []*worker, candidates []placement.Candidate) {
	if c.cfg.Without.Clear || c.clearing != "" || t.job.Kind != oleanderline.KindBatch {
		return
	}
	best := -1
	for i := range candidates {
		if !t.size().Fits(candidates[i].Capacity) || !c.health.Good(workers[i].id) {
			continue
		}
		if workers[i].id == earlier {
			best = i
			break
		}
		if best < 0 || candidates[i].Free.CPU > candidates[best].Free.CPU {
			best = i
		}
	}
	if best < 0 {
		return
	}
	w := workers[best]
	c.clearing = w.id
	candidates[best].Batch, candidates[best].Holds = oleanderline.Size{}, true
	for _, other := range w.tasks {
		if !other.reserved && !other.ended && other.pending == "" && !other.job.Urgent && c.neverRan(w, other) {
			c.free(other, "its worker is kept for a task that has waited too long", "")
		}
	}
}

// overdue reports whether a task that waits at its worker has waited too long to let others there pass it.
func (c *Core) overdue(t *task) bool {
	return !c.cfg.Without.Clear && c.now.Sub(t.entered) > c.cfg.Queue.MaxWait
}
