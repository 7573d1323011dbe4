package shard

import (
	"slices"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// reconcileInventory compares the attempts at a worker with those in the stream. The first inventory under a term also frees
// the assignments of earlier owners that the worker does not have: it refuses their starts from now on, and if this owner
// sent a start for the same attempt, the attempt could run twice, because a restarted worker has no record of the first
// run.
func (c *Core) reconcileInventory(w *worker, inventory oleanderline.Inventory, first bool) {
	w.outcomes = inventory.Outcomes
	leased := make(map[oleanderline.AttemptKey]bool, len(inventory.Leases))
	var orphans []orphan
	for _, lease := range inventory.Leases {
		leased[lease.AttemptKey] = true
		t := c.assignedTo(w, lease.AttemptKey)
		if t == nil {
			orphans = append(orphans, w.orphan(lease))
			continue
		}
		t.running = true
		if t.pending == "" && !t.ended {
			c.workers.reserve(t, w)
		}
	}
	c.replaceOrphans(w, orphans)
	for _, outcome := range inventory.Outcomes {
		leased[outcome.AttemptKey] = true
	}
	c.recordOutcomes(w)
	for _, t := range w.tasks {
		if t.ended || t.pending != "" || leased[t.key()] {
			continue
		}
		switch {
		case t.running || t.sent:
			// The start never arrived, or the worker has lost the attempt. A confirmed stop ensures that a late start is
			// refused.
			t.requestStop("the worker does not know the attempt")
		case first:
			c.freeTask(t, "not started by the earlier owner", "")
		}
	}
}

// recordOutcomes queues the records of the outcomes that a worker has reported.
func (c *Core) recordOutcomes(w *worker) {
	for _, outcome := range w.outcomes {
		t := c.assignedTo(w, outcome.AttemptKey)
		switch {
		case t == nil:
			c.recordLateCompletion(w, c.findTask(outcome.Task))
		case t.pending == "" && !t.ended:
			c.recordOutcome(t, outcome)
		}
	}
}

func (w *worker) orphan(lease oleanderline.Lease) orphan {
	for _, o := range w.orphans {
		if o.AttemptKey == lease.AttemptKey {
			return o
		}
	}
	return orphan{AttemptKey: lease.AttemptKey, size: lease.Size}
}

func (c *Core) replaceOrphans(w *worker, orphans []orphan) {
	for _, o := range w.orphans {
		w.committed = w.committed.Sub(o.size)
	}
	for _, o := range orphans {
		w.committed = w.committed.Add(o.size)
	}
	w.orphans = orphans
}

func (c *Core) orphanStopped(w *worker, key oleanderline.AttemptKey, stopped bool) {
	for i := range w.orphans {
		o := &w.orphans[i]
		if o.AttemptKey != key {
			continue
		}
		if stopped {
			w.committed = w.committed.Sub(o.size)
			w.orphans = slices.Delete(w.orphans, i, i+1)
			return
		}
		o.tries++
		o.retryAt = c.now.Add(min(stopRetryFirst<<min(o.tries-1, 8), stopRetryMax))
		return
	}
}

// recordLateCompletion queues the completion of a waiting task whose last attempt was freed as expired although it had
// completed, if the worker has reported the outcome before another attempt was assigned.
func (c *Core) recordLateCompletion(w *worker, t *task) {
	if w == nil || t == nil || t.state != taskWaiting || t.pending != "" {
		return
	}
	for _, outcome := range w.outcomes {
		if outcome.AttemptKey != t.key() || outcome.State != oleanderline.OutcomeDone {
			continue
		}
		c.queue.Drop(t)
		t.pending = journal.KindDone
		c.record(t.job.Urgent, journal.Record{Kind: journal.KindDone, Task: t.id, Attempt: t.attempt, Ran: outcome.Ran})
		return
	}
}

// recordOutcome queues the record of an outcome. The worker keeps the outcome until the record is read back.
func (c *Core) recordOutcome(t *task, outcome oleanderline.Outcome) {
	c.workers.unreserve(t)
	t.ended = true
	record := journal.Record{Task: t.id, Attempt: t.attempt, Reason: outcome.Reason}
	switch outcome.State {
	case oleanderline.OutcomeDone:
		record.Kind, record.Ran = journal.KindDone, outcome.Ran
	case oleanderline.OutcomeFailed:
		t.finalFailure = c.failuresExhausted(t)
		record.Kind, record.Final = journal.KindFail, t.finalFailure
		c.counters.Failed++
	default:
		record.Kind, record.Checkpoint = journal.KindFree, outcome.Checkpoint
	}
	t.pending = record.Kind
	c.record(t.job.Urgent, record)
}

// maxFailureFactor times Limits.MaxFailures is the most failures of a task, counting those at bad workers as well.
const maxFailureFactor = 3

// failuresExhausted reports whether a task that has just failed again fails for good. Failures at workers that are in
// quarantine by now do not count, up to a limit.
func (c *Core) failuresExhausted(t *task) bool {
	if t.failures+1 >= maxFailureFactor*c.cfg.Limits.MaxFailures {
		return true
	}
	counted := t.failures - len(t.failedOn)
	for _, id := range append(slices.Clone(t.failedOn), t.worker) {
		if c.health.Healthy(id) {
			counted++
		}
	}
	return counted >= c.cfg.Limits.MaxFailures
}
