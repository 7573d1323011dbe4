package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/interference"
)

// Intervals of calls whose failure has no effect on correctness.
const (
	usageInterval = 5 * time.Second
	throttleRetry = 5 * time.Second
)

// requestUsage requests the newest usage report of a worker that runs latency-critical instances beside batch tasks.
func (c *Core) requestUsage(w *worker) bool {
	if c.now.Sub(w.usageRequestedAt) < usageInterval || (!w.mixed() && !w.restrained()) {
		return false
	}
	w.usageRequestedAt = c.now
	c.send(w, Call{Kind: CallUsage})
	return true
}

// restrained reports whether batch tasks were restrained here recently. New batch tasks are not placed here meanwhile, so that
// an evicted task does not return at once.
func (w *worker) restrained() bool { return w.guard != nil && w.guard.Restrained() }

// mixed reports whether the worker runs both batch tasks and latency-critical instances.
func (w *worker) mixed() bool {
	batch, critical := false, false
	for _, t := range w.tasks {
		if t.running && !t.ended {
			batch = batch || t.job.Kind == oleanderline.KindBatch
			critical = critical || t.job.Kind == oleanderline.KindCritical
		}
	}
	return batch && critical
}

// handleUsage updates the interference model from a usage report, and restrains a batch task if a latency-critical instance
// is slowed down.
func (c *Core) handleUsage(w *worker, usage oleanderline.Usage) {
	if w.guard == nil {
		w.guard = interference.NewGuard(c.cfg.Guard)
	}
	band := interference.Band(float64(usage.CPU) / float64(max(w.vm.Size.CPU, 1)))
	batch := w.batchRunning()
	report := interference.Report{Time: usage.Time}
	for _, t := range batch {
		report.Batch = append(report.Batch, t.key())
	}
	slowedClass := "" // class of the instance that is slowed down most
	for _, measured := range usage.Tasks {
		t := c.assignedTo(w, measured.AttemptKey)
		if t == nil || t.job.Kind != oleanderline.KindCritical {
			continue
		}
		if usage.Time.After(w.modelUpdatedAt) {
			c.model.Learn(pairs(t, batch, band), measured.Slowdown)
		}
		if measured.Slowdown > report.Worst {
			report.Worst, slowedClass = measured.Slowdown, t.job.Class
		}
	}
	w.modelUpdatedAt = usage.Time
	kind, key := w.guard.Decide(report, c.now, func() (oleanderline.AttemptKey, bool) {
		return c.worstBatchTask(slowedClass, batch, band)
	})
	c.restrain(w, kind, key)
}

func (w *worker) batchRunning() []*task {
	var running []*task
	for _, t := range w.tasks {
		if t.running && !t.ended && !t.stop && t.pending == "" && t.job.Kind == oleanderline.KindBatch {
			running = append(running, t)
		}
	}
	return running
}

func pairs(critical *task, batch []*task, band int) []interference.Pair {
	list := make([]interference.Pair, 0, len(batch))
	for _, t := range batch {
		list = append(list, interference.Pair{Critical: critical.job.Class, Batch: t.job.Class, Band: band})
	}
	return list
}

// worstBatchTask returns the batch task that is predicted to slow the instance down most; of equal ones, the newest.
func (c *Core) worstBatchTask(critical string, batch []*task, band int) (oleanderline.AttemptKey, bool) {
	var worst *task
	most := 0.0
	for _, t := range batch {
		excess := c.model.Excess(interference.Pair{Critical: critical, Batch: t.job.Class, Band: band})
		if worst == nil || excess > most || (excess == most && t.since.After(worst.since)) {
			worst, most = t, excess
		}
	}
	if worst == nil {
		return oleanderline.AttemptKey{}, false
	}
	return worst.key(), true
}

func (c *Core) restrain(w *worker, kind interference.Kind, key oleanderline.AttemptKey) {
	t := c.assignedTo(w, key)
	if t == nil {
		return
	}
	switch kind {
	case interference.Throttle:
		t.throttleShare = c.cfg.Guard.Share
		c.counters.Throttled++
	case interference.Evict:
		t.requestStop("slows latency-critical work on its worker, as the usage reports say")
		c.counters.Evicted++
	case interference.Release:
		t.throttleShare = 1
	}
}

// sendThrottle sends a changed share of the processors for one throttled task to the worker.
func (c *Core) sendThrottle(w *worker) bool {
	for _, t := range w.tasks {
		if t.throttleShare == t.confirmedShare || !t.running || t.ended || t.stop || c.now.Sub(t.shareSentAt) < throttleRetry {
			continue
		}
		t.shareSentAt = c.now
		c.send(w, Call{Kind: CallThrottle, Throttle: oleanderline.ThrottleRequest{
			Shard: c.cfg.Shard, Term: c.term, Task: t.id, Attempt: t.attempt, Share: t.throttleShare,
		}})
		return true
	}
	return false
}

func (c *Core) throttleDone(w *worker, request oleanderline.ThrottleRequest) {
	if t := c.assignedTo(w, oleanderline.AttemptKey{Task: request.Task, Attempt: request.Attempt}); t != nil {
		t.confirmedShare = request.Share
	}
}

// PredictionError returns the mean absolute error of the predicted slowdowns, and how many predictions were compared.
func (c *Core) PredictionError() (float64, int) { return c.model.Accuracy() }
