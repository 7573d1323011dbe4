package shard

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/placement"
	"github.com/oleanderline/oleanderline/pkg/queue"
)

// Limits of one placement pass.
const (
	maxRebalanced = 16 // most tasks that are freed from workers' queues
	// stallTimeout is how long an append may be without an answer before placement pauses, because further records would
	// only pile up.
	stallTimeout = time.Second
)

// place assigns waiting tasks to workers, first within the free capacity of a worker, then to a worker's queue.
func (c *Core) place() {
	if c.releasing || c.writer.Stalled(c.now) > stallTimeout || c.writer.PendingRecords() > c.cfg.Limits.MaxPendingRecords/2 {
		return
	}
	if c.queue.Len() == 0 && !c.anyQueued() {
		return
	}
	workers, candidates := c.candidates()
	if len(workers) == 0 {
		return
	}
	c.placeWaiting(workers, candidates)
	if c.queue.Len() == 0 {
		c.rebalance(candidates)
	}
}

func (c *Core) candidates() ([]*worker, []placement.Candidate) {
	workers := make([]*worker, 0, len(c.workers.order))
	candidates := make([]placement.Candidate, 0, len(c.workers.order))
	for _, w := range c.workers.order {
		if !c.workers.usable(w) || !c.health.Accepts(w.id, len(w.tasks)+len(w.incoming), c.now) {
			continue
		}
		workers = append(workers, w)
		candidate := placement.Candidate{
			Worker: w.id, Domain: w.vm.Domain, Rack: w.vm.Rack, Capacity: w.vm.Size, Free: w.freeCapacity(), Queued: w.queuedSize(),
		}
		candidate.BatchFree, candidate.HasHold = c.batchCapacity(w)
		if w.restrained() {
			candidate.BatchFree, candidate.HasHold = oleanderline.Size{}, true
		}
		candidates = append(candidates, candidate)
	}
	return workers, candidates
}

// batchCapacity returns the capacity that holds leave to further batch tasks on a worker, and whether any hold applies.
func (c *Core) batchCapacity(w *worker) (oleanderline.Size, bool) {
	held, applies := placement.ReservedByHolds(c.rules, w.vm, c.now)
	if !applies || c.cfg.Disabled.Holds {
		return oleanderline.Size{}, false
	}
	capacity := w.vm.Size.Sub(held)
	take := func(t *task) {
		if t.reserved && t.reservedOn == w.id && t.job.Kind == oleanderline.KindBatch {
			capacity = capacity.Sub(t.size())
		}
	}
	for _, t := range w.tasks {
		take(t)
	}
	for _, t := range w.incoming {
		take(t)
	}
	return capacity, true
}

// startable reports whether a task that waits at its worker may start there now.
func (c *Core) startable(w *worker, t *task) bool {
	if !t.size().Fits(w.freeCapacity()) || (!t.job.Urgent && (w.id == c.reservedWorker || c.now.Before(w.urgentUntil))) {
		return false
	}
	capacity, held := c.batchCapacity(w)
	return !held || t.job.Kind != oleanderline.KindBatch || t.size().Fits(capacity)
}

// queuedSize returns the total size of the tasks that wait at the worker. They have a claim to the capacity that becomes
// free.
func (w *worker) queuedSize() oleanderline.Size {
	var sum oleanderline.Size
	w.eachQueued(func(t *task) { sum = sum.Add(t.size()) })
	return sum
}

func (c *Core) placeWaiting(workers []*worker, candidates []placement.Candidate) {
	previous := c.reservedWorker
	c.reservedWorker = ""
	spreads := map[*job]*placement.Spread{}
	c.queue.Each(c.now, c.load(), func(t *task, starved bool) queue.Verdict {
		if !c.withinQuota(t) {
			return queue.Blocked
		}
		need := t.need()
		need.Spread = c.spreadOf(t.job, spreads)
		if len(t.failedOn) < len(candidates) {
			need.Avoid = t.failedOn // a failure elsewhere shows that the task is at fault, a success that the worker is
		}
		if i, ok := c.cfg.Chooser.Choose(need, candidates); ok {
			candidates[i].Take(&need)
			if !c.health.Healthy(workers[i].id) {
				candidates[i].Free = oleanderline.Size{} // a worker in quarantine is probed with one task at a time
			}
			c.workers.reserve(t, workers[i])
			c.assign(t, workers[i])
			return queue.Placed
		}
		c.preempt(t)
		if starved {
			c.reserveForStarved(t, previous, workers, candidates)
		}
		if w := c.chooseQueue(t, workers); w != nil {
			c.assign(t, w)
			return queue.Placed
		}
		return queue.NoRoom
	})
}

func (t *task) need() placement.Need {
	return placement.Need{Size: t.size(), Kind: t.job.Kind, Team: t.job.Team, Job: t.job.ID, Urgent: t.job.Urgent}
}

// spreadOf counts the instances of a latency-critical job by worker, rack and failure domain. The count is kept for one
// pass.
func (c *Core) spreadOf(j *job, known map[*job]*placement.Spread) *placement.Spread {
	if j.Kind != oleanderline.KindCritical || known[j] != nil {
		return known[j]
	}
	spread := placement.NewSpread()
	for _, t := range j.tasks {
		for _, id := range []oleanderline.WorkerID{t.worker, t.target} {
			if w := c.workers.byID[id]; w != nil {
				spread.Add(w.id, w.vm.Domain, w.vm.Rack)
			}
		}
	}
	known[j] = spread
	return spread
}

// chooseQueue returns the worker with the shortest queue that is large enough for the task.
func (c *Core) chooseQueue(t *task, workers []*worker) *worker {
	if t.job.Kind != oleanderline.KindBatch || t.job.Urgent {
		return nil // urgent tasks wait for the first free capacity anywhere, not at one worker
	}
	var best *worker
	bestLength := c.cfg.Limits.MaxQueued
	for _, w := range workers {
		if !t.size().Fits(w.vm.Size) || w.id == c.reservedWorker || w.restrained() || !c.health.Healthy(w.id) || slices.Contains(t.failedOn, w.id) {
			continue
		}
		if length := w.queueLength(); length < bestLength {
			best, bestLength = w, length
		}
	}
	return best
}

func (c *Core) assign(t *task, w *worker) {
	t.pending = journal.KindAssign
	c.countQuota(t)
	c.workers.addIncoming(t, w)
	record := journal.Record{Kind: journal.KindAssign, Task: t.id, Attempt: t.attempt + 1, Worker: w.id}
	c.record(t.job.Urgent, record)
	if c.cfg.Disabled.ReadBack {
		c.applyAssign(record, c.now)
	}
}

func (c *Core) anyQueued() bool {
	for _, w := range c.workers.order {
		if w.queueLength() > 0 {
			return true
		}
	}
	return false
}

// rebalance frees tasks that wait at a worker while another worker has capacity for them.
func (c *Core) rebalance(candidates []placement.Candidate) {
	moves := 0
	for _, w := range c.workers.order {
		for _, t := range w.tasks {
			if moves == maxRebalanced {
				return
			}
			if t.reserved || t.ended || t.stop || t.pending != "" || !c.neverRan(w, t) || t.size().Fits(w.freeCapacity()) {
				continue
			}
			need := t.need()
			if i, ok := c.cfg.Chooser.Choose(need, candidates); ok && candidates[i].Worker != w.id {
				candidates[i].Take(&need)
				c.freeTask(t, "another worker has room", "")
				moves++
			}
		}
	}
}
