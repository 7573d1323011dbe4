package shard

import (
	"errors"

	"github.com/oleanderline/oleanderline"
)

// startMayArrive reports whether a start without an answer may still take effect. A frozen VM handles the requests that it
// received earlier as soon as it resumes, so the wait for such a start is as long as the wait after a change of the owner.
func (c *Core) startMayArrive(w *worker, t *task) bool {
	unanswered := t.sent && !t.running && !w.absent && !c.cfg.Disabled.LeaseWait
	limits := c.cfg.Limits
	return unanswered && c.now.Sub(w.leaseCallAt) <= limits.Horizon+limits.Lease+limits.Margin
}

func (c *Core) sendStart(w *worker) bool {
	// A worker that failed a call may have restarted and lost the newer terms that it had seen, so this owner must first
	// read the stream and see that there is no newer term.
	if c.releasing || !c.readAt.After(w.failedAt) {
		return false
	}
	overdue := false // a starved task goes next here
	for _, t := range w.tasks {
		if t.sent || t.running || t.ended || t.stop || t.pending != "" {
			continue
		}
		if !t.reserved && (overdue && !t.job.Urgent || !c.startable(w, t)) {
			overdue = overdue || c.overdue(t)
			continue
		}
		c.workers.reserve(t, w)
		t.sent = true
		c.send(w, Call{Kind: CallStart, Start: c.startRequest(t)})
		return true
	}
	return false
}

func (c *Core) startRequest(t *task) oleanderline.StartRequest {
	return oleanderline.StartRequest{
		Shard: c.cfg.Shard, Term: c.term, Task: t.id, Attempt: t.attempt, Kind: t.job.Kind, Class: t.job.Class,
		Command: t.job.Command, Size: t.size(), Lease: c.cfg.Limits.Lease, Checkpoint: t.checkpoint,
	}
}

// startNotSent clears the mark that a start was sent, if the start is known to have had no effect.
func (c *Core) startNotSent(w *worker, call Call, e CallDone) {
	if call.Kind != CallStart || (e.Sent && !errors.Is(e.Err, oleanderline.ErrUnavailable)) {
		return
	}
	if t := c.assignedTo(w, oleanderline.AttemptKey{Task: call.Start.Task, Attempt: call.Start.Attempt}); t != nil {
		t.sent = false
	}
}

func (c *Core) startAnswered(w *worker, request oleanderline.StartRequest, err error) {
	t := c.assignedTo(w, oleanderline.AttemptKey{Task: request.Task, Attempt: request.Attempt})
	if t == nil {
		return
	}
	if err == nil {
		t.running = true
		c.counters.Starts++
		return
	}
	// Either there is a newer owner, which the next read shows, or the attempt was stopped before. A confirmed stop resolves
	// the second case.
	t.requestStop("the worker refused the start")
	if errors.Is(err, oleanderline.ErrFenced) {
		c.markStale(c.now)
	}
}
