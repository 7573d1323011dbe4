package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/interference"
)

// Times between calls that are only advisory.
const (
	usageEvery    = 5 * time.Second
	throttleRetry = 5 * time.Second
)

// sendUsage asks a worker that runs latency-critical instances beside batch tasks for its newest usage report.
func (c *Core) sendUsage(w *worker) bool {
	if c.now.Sub(w.usageAt) < usageEvery || (!w.mixed() && !w.inWave()) {
		return false
	}
	w.usageAt = c.now
	c.send(w, Call{Kind: CallUsage})
	return true
}

// inWave reports whether batch work was restrained here lately. An evicted task must not come back at once.
func (w *worker) inWave() bool { return w.guard != nil && w.guard.InWave() }

// mixed reports whether a worker runs both kinds of tasks.
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

// judgeUsage learns from a usage report, and restrains a batch task if a latency-critical instance suffers.
func (c *Core) judgeUsage(w *worker, usage oleanderline.Usage) {
	if w.guard == nil {
		w.guard = interference.NewGuard(c.cfg.Guard)
	}
	band := interference.Band(float64(usage.CPU) / float64(max(w.vm.Size.CPU, 1)))
	batch := w.batchRunning()
	report := interference.Report{Time: usage.Time}
	for _, t := range batch {
		report.Batch = append(report.Batch, t.key())
	}
	victim := ""
	for _, measured := range usage.Tasks {
		t := c.assignedTo(w, measured.AttemptKey)
		if t == nil || t.job.Kind != oleanderline.KindCritical {
			continue
		}
		if usage.Time.After(w.learnedAt) {
			c.model.Learn(pairs(t, batch, band), measured.Slow)
		}
		if measured.Slow > report.Worst {
			report.Worst, victim = measured.Slow, t.job.Class
		}
	}
	w.learnedAt = usage.Time
	kind, key := w.guard.Judge(report, c.now, func() (oleanderline.AttemptKey, bool) {
		return c.worstNeighbour(victim, batch, band)
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

// worstNeighbour returns the batch task that is expected to slow the instance down most; of equal ones, the newest.
func (c *Core) worstNeighbour(critical string, batch []*task, band int) (oleanderline.AttemptKey, bool) {
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
		t.share = c.cfg.Guard.Share
		c.counters.Throttled++
	case interference.Evict:
		t.mustStop("slows latency-critical work on its worker, as the usage reports say")
		c.counters.Evicted++
	case interference.Release:
		t.share = 1
	}
}

// sendThrottle passes a changed share of processors to the worker.
func (c *Core) sendThrottle(w *worker) bool {
	for _, t := range w.tasks {
		if t.share == t.shareSent || !t.running || t.ended || t.stop || c.now.Sub(t.shareAt) < throttleRetry {
			continue
		}
		t.shareAt = c.now
		c.send(w, Call{Kind: CallThrottle, Throttle: oleanderline.ThrottleRequest{
			Shard: c.cfg.Shard, Term: c.term, Task: t.id, Attempt: t.attempt, Share: t.share,
		}})
		return true
	}
	return false
}

func (c *Core) throttled(w *worker, request oleanderline.ThrottleRequest) {
	if t := c.assignedTo(w, oleanderline.AttemptKey{Task: request.Task, Attempt: request.Attempt}); t != nil {
		t.shareSent = request.Share
	}
}

// Interference returns the mean absolute error of the predicted slowdowns, and how many were compared.
func (c *Core) Interference() (float64, int) { return c.model.Accuracy() }
