package shard

import (
	"slices"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// takeInventory compares what a worker runs with what the stream says. The first inventory under a term also ends the
// assignments of earlier owners that the worker does not know: it refuses their starts from now on, and a start of the
// same attempt by this owner could be its second one if the worker was restarted.
func (c *Core) takeInventory(w *worker, inventory oleanderline.Inventory, first bool) {
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
	c.takeOutcomes(w)
	for _, t := range w.tasks {
		if t.ended || t.pending != "" || leased[t.key()] {
			continue
		}
		switch {
		case t.running || t.sent:
			// The start never arrived, or the worker has lost the attempt. A confirmed stop excludes a late start.
			t.mustStop("the worker does not know the attempt")
		case first:
			c.free(t, "not started by the earlier owner", "")
		}
	}
}

// takeOutcomes queues the records of the outcomes that a worker has reported.
func (c *Core) takeOutcomes(w *worker) {
	for _, outcome := range w.outcomes {
		t := c.assignedTo(w, outcome.AttemptKey)
		switch {
		case t == nil:
			c.finishLate(w, c.find(outcome.Task))
		case t.pending == "" && !t.ended:
			c.finish(t, outcome)
		}
	}
}

func (w *worker) orphan(lease oleanderline.Lease) orphan {
	for _, g := range w.orphans {
		if g.AttemptKey == lease.AttemptKey {
			return g
		}
	}
	return orphan{AttemptKey: lease.AttemptKey, size: lease.Size}
}

func (c *Core) replaceOrphans(w *worker, orphans []orphan) {
	for _, g := range w.orphans {
		w.committed = w.committed.Sub(g.size)
	}
	for _, g := range orphans {
		w.committed = w.committed.Add(g.size)
	}
	w.orphans = orphans
}

func (c *Core) orphanStopped(w *worker, key oleanderline.AttemptKey, stopped bool) {
	for i := range w.orphans {
		g := &w.orphans[i]
		if g.AttemptKey != key {
			continue
		}
		if stopped {
			w.committed = w.committed.Sub(g.size)
			w.orphans = slices.Delete(w.orphans, i, i+1)
			return
		}
		g.tries++
		g.retryAt = c.now.Add(min(stopRetryFirst<<min(g.tries-1, 8), stopRetryMost))
		return
	}
}

// finishLate queues the completion of a waiting task whose last attempt was given up as expired although it had
// completed: its worker has told so before another attempt was assigned.
func (c *Core) finishLate(w *worker, t *task) {
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

// finish queues the record of an outcome. The worker keeps the outcome until the record is read back.
func (c *Core) finish(t *task, outcome oleanderline.Outcome) {
	c.workers.unreserve(t)
	t.ended = true
	record := journal.Record{Task: t.id, Attempt: t.attempt, Reason: outcome.Reason}
	switch outcome.State {
	case oleanderline.OutcomeDone:
		record.Kind, record.Ran = journal.KindDone, outcome.Ran
	case oleanderline.OutcomeFailed:
		t.final = c.exhausted(t)
		record.Kind, record.Final = journal.KindFail, t.final
		c.counters.Failed++
	default:
		record.Kind, record.Checkpoint = journal.KindFree, outcome.Checkpoint
	}
	t.pending = record.Kind
	c.record(t.job.Urgent, record)
}

// maxFailures bounds the attempts of a task, as a multiple of the failures on good workers after which it is given up.
const maxFailures = 3

// exhausted reports whether a task that has just failed again is given up. Failures at workers that are known to be bad
// by now do not count, up to a bound.
func (c *Core) exhausted(t *task) bool {
	if t.failures+1 >= maxFailures*c.cfg.Limits.Failures {
		return true
	}
	counted := t.failures - len(t.failedOn)
	for _, id := range append(slices.Clone(t.failedOn), t.worker) {
		if c.health.Good(id) {
			counted++
		}
	}
	return counted >= c.cfg.Limits.Failures
}
