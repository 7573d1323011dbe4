package shard

import (
	"cmp"
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// Retry intervals and limits of calls to workers.
const (
	callRetryFirst = 100 * time.Millisecond
	callRetryMax   = 2 * time.Second
	stopRetryFirst = 500 * time.Millisecond
	stopRetryMax   = 10 * time.Second
	// maxFailedCalls is the number of failed calls after which assignments that were never sent to the worker are freed.
	maxFailedCalls = 3
)

// operateWorker sends the next call to a worker that has none outstanding, after it has freed the tasks that cannot run
// there.
func (c *Core) operateWorker(w *worker) {
	c.evictTasks(w)
	if c.leasesExpired(w) {
		c.expireLeases(w)
	}
	if !w.busy && w.vm.Address != "" && !w.absent && !c.now.Before(w.retryAt) {
		c.sendNextCall(w)
	}
}

func (c *Core) sendNextCall(w *worker) {
	switch {
	case w.failures > 0:
		// A renewal may arrive even if its answer is lost, so sending one would restart the wait for the leases to expire.
		// An inventory request extends no lease.
		c.send(w, Call{Kind: CallInventory})
	case !w.fenced || c.now.Sub(w.renewedAt) >= c.cfg.Limits.Lease/3:
		c.renew(w)
	case c.sendStop(w):
	case c.sendStart(w):
	case c.sendThrottle(w), c.requestUsage(w):
	case c.now.Sub(w.renewedAt) >= c.cfg.Limits.Renew && (len(w.tasks) > 0 || len(w.outcomes) > 0 || len(w.orphans) > 0):
		c.renew(w)
	}
}

func (c *Core) send(w *worker, call Call) {
	c.callID++
	call.ID, call.Worker, call.Address = c.callID, w.id, w.vm.Address
	call.Before = c.now.Add(c.cfg.Limits.Lease / 3)
	if horizon := c.readAt.Add(c.cfg.Limits.Horizon); horizon.Before(call.Before) && !c.cfg.Disabled.SelfFence {
		call.Before = horizon
	}
	w.busy, w.callID, w.call = true, call.ID, call
	c.emit(call)
}

func (c *Core) renew(w *worker) {
	request := oleanderline.RenewRequest{Shard: c.cfg.Shard, Term: c.term, Lease: c.cfg.Limits.Lease}
	for _, outcome := range w.outcomes {
		if c.outcomeSettled(w, outcome.AttemptKey) {
			request.Acked = append(request.Acked, outcome.AttemptKey)
		}
	}
	c.send(w, Call{Kind: CallRenew, Renew: request})
}

// outcomeSettled reports whether the outcome of an attempt is recorded in the stream or not needed, so that the worker may
// drop it.
func (c *Core) outcomeSettled(w *worker, key oleanderline.AttemptKey) bool {
	if c.assignedTo(w, key) != nil {
		return false
	}
	t := c.findTask(key.Task)
	return t == nil || t.pending != journal.KindDone || t.attempt != key.Attempt
}

// assignedTo returns the task if this attempt is assigned to the worker, or nil.
func (c *Core) assignedTo(w *worker, key oleanderline.AttemptKey) *task {
	t := c.findTask(key.Task)
	if t == nil || t.state != taskAssigned || t.worker != w.id || t.attempt != key.Attempt {
		return nil
	}
	return t
}

// evictTasks marks the tasks that must leave the worker, and frees those that were never sent to it.
func (c *Core) evictTasks(w *worker) {
	draining := c.workers.draining(w)
	lost := w.failures >= maxFailedCalls || w.absent || !c.health.Accepts(w.id, 0, c.now)
	for _, t := range w.tasks {
		if t.pending != "" || t.ended {
			continue
		}
		switch {
		case t.cancelled:
			t.requestStop("cancelled")
		case draining && t.job.Kind == oleanderline.KindBatch:
			t.requestStop(c.workers.drainReason(w))
		}
		if (t.stop || lost) && c.neverRan(w, t) {
			c.freeTask(t, cmp.Or(t.stopReason, "not started"), "")
		}
	}
}

// neverRan reports whether the attempt is known not to run and not to start later: the worker refuses earlier owners, its
// inventory lacked the attempt, and no start was sent under this owner's term.
func (c *Core) neverRan(w *worker, t *task) bool { return w.fenced && !t.sent && !t.running }

// leasesExpired reports whether every lease at an unreachable worker has expired by the worker's own clock.
func (c *Core) leasesExpired(w *worker) bool {
	if len(w.tasks) == 0 || w.busy || (w.reachable() && !w.absent && w.vm.Address != "") {
		return false
	}
	return c.cfg.Disabled.LeaseWait || c.now.Sub(c.latestLeaseStart(w)) > c.cfg.Limits.Lease+c.cfg.Limits.Margin
}

// latestLeaseStart returns the latest time at which a lease at the worker may have begun.
func (c *Core) latestLeaseStart(w *worker) time.Time {
	if w.fenced {
		return w.leaseCallAt
	}
	earlier := c.claimedAt
	if !w.absent {
		earlier = earlier.Add(c.cfg.Limits.Horizon)
	}
	if earlier.After(w.leaseCallAt) {
		return earlier
	}
	return w.leaseCallAt
}

func (c *Core) expireLeases(w *worker) {
	for _, t := range w.tasks {
		if t.pending == "" && !c.startMayArrive(w, t) {
			c.counters.Expired++
			c.freeTask(t, "lease expired at a worker that does not answer", "")
		}
	}
}

// freeTask queues the record that an attempt does not run any more.
func (c *Core) freeTask(t *task, reason, checkpoint string) {
	c.workers.unreserve(t)
	t.pending = journal.KindFree
	c.record(t.job.Urgent, journal.Record{
		Kind: journal.KindFree, Task: t.id, Attempt: t.attempt, Reason: reason, Checkpoint: checkpoint,
	})
}

func (c *Core) sendStop(w *worker) bool {
	for _, t := range w.tasks {
		if t.stop && t.pending == "" && !t.ended && !c.now.Before(t.retryAt) {
			c.send(w, Call{Kind: CallStop, Stop: oleanderline.StopRequest{
				Shard: c.cfg.Shard, Term: c.term, Task: t.id, Attempt: t.attempt, Checkpoint: !t.cancelled,
			}})
			return true
		}
	}
	for i := range w.orphans {
		if o := &w.orphans[i]; !c.now.Before(o.retryAt) {
			c.send(w, Call{Kind: CallStop, Stop: oleanderline.StopRequest{
				Shard: c.cfg.Shard, Term: c.term, Task: o.Task, Attempt: o.Attempt,
			}})
			return true
		}
	}
	return false
}

// callDone handles the result of a call to a worker.
func (c *Core) callDone(e CallDone) {
	w := c.workers.byID[e.Worker]
	if w == nil || !w.busy || w.callID != e.ID {
		return
	}
	w.busy = false
	call := w.call
	if !c.owning || call.term() != 0 && call.term() != c.term {
		return
	}
	if e.Sent && (call.Kind == CallRenew || call.Kind == CallStart) {
		w.leaseCallAt = c.now
	}
	if (call.Kind == CallUsage || call.Kind == CallThrottle) && (!e.Sent || isCallFailure(e.Err)) {
		return // no effect on correctness; the next renewal shows whether the worker answers
	}
	if !e.Sent || isCallFailure(e.Err) {
		c.startNotSent(w, call, e)
		c.callFailed(w)
		return
	}
	if errors.Is(e.Err, oleanderline.ErrFenced) && call.Kind != CallStart {
		c.markStale(c.now)
		w.retryAt = c.now.Add(callRetryMax)
		return
	}
	c.callAnswered(w, call, e)
}

func (c *Core) callAnswered(w *worker, call Call, e CallDone) {
	w.failures = 0
	switch call.Kind {
	case CallInventory:
		w.renewedAt = time.Time{} // renew immediately
		// Only the outcomes are used, because they are final. The running attempts may still change before the renewal that
		// fences earlier owners.
		w.outcomes = e.Inventory.Outcomes
		c.recordOutcomes(w)
	case CallRenew:
		first := !w.fenced
		w.fenced, w.renewedAt = true, c.now
		c.reconcileInventory(w, e.Inventory, first)
	case CallStart:
		c.startAnswered(w, call.Start, e.Err)
	case CallStop:
		c.stopAnswered(w, call.Stop, e.Stop)
	case CallUsage:
		c.handleUsage(w, e.Usage)
	case CallThrottle:
		c.throttleDone(w, call.Throttle)
	}
}

func (call *Call) term() oleanderline.Term {
	return max(call.Start.Term, call.Renew.Term, call.Stop.Term, call.Throttle.Term)
}

func isCallFailure(err error) bool {
	return err != nil && !errors.Is(err, oleanderline.ErrFenced) && !errors.Is(err, oleanderline.ErrCapacity)
}

func (c *Core) callFailed(w *worker) {
	w.failures++
	w.failedAt = c.now
	w.retryAt = c.now.Add(min(callRetryFirst<<min(w.failures-1, 8), callRetryMax))
}

func (c *Core) stopAnswered(w *worker, request oleanderline.StopRequest, result oleanderline.StopResult) {
	key := oleanderline.AttemptKey{Task: request.Task, Attempt: request.Attempt}
	t := c.assignedTo(w, key)
	switch {
	case t != nil && t.pending == "" && !t.ended:
		c.taskStopped(t, result)
	case t == nil:
		c.orphanStopped(w, key, result.Stopped)
	}
}

func (c *Core) taskStopped(t *task, result oleanderline.StopResult) {
	switch {
	case !result.Stopped:
		t.stopTries++
		t.retryAt = c.now.Add(min(stopRetryFirst<<min(t.stopTries-1, 8), stopRetryMax))
	case result.Outcome != nil:
		c.recordOutcome(t, *result.Outcome)
	default:
		c.freeTask(t, cmp.Or(t.stopReason, "stopped"), result.Checkpoint)
	}
}
