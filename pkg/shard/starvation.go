package shard

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/placement"
)

// reserveForStarved reserves one worker for a batch task that has waited longer than the queue's MaxWait: no further batch
// task is placed there until this one fits. Without the reservation smaller tasks take each part of the capacity that
// becomes free, and a large task waits for ever. The reservation stays at the same worker as long as that one can be used.
func (c *Core) reserveForStarved(t *task, previous oleanderline.WorkerID, workers []*worker, candidates []placement.Candidate) {
	if c.cfg.Disabled.StarvationReserve || c.reservedWorker != "" || t.job.Kind != oleanderline.KindBatch {
		return
	}
	best := -1
	for i := range candidates {
		if !t.size().Fits(candidates[i].Capacity) || !c.health.Healthy(workers[i].id) {
			continue
		}
		if workers[i].id == previous {
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
	c.reservedWorker = w.id
	candidates[best].BatchFree, candidates[best].HasHold = oleanderline.Size{}, true
	for _, other := range w.tasks {
		if !other.reserved && !other.ended && other.pending == "" && !other.job.Urgent && c.neverRan(w, other) {
			c.freeTask(other, "its worker is kept for a task that has waited too long", "")
		}
	}
}

// overdue reports whether a task that waits at its worker has waited so long that others there must not start before it.
func (c *Core) overdue(t *task) bool {
	return !c.cfg.Disabled.StarvationReserve && c.now.Sub(t.entered) > c.cfg.Queue.MaxWait
}
