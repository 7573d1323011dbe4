package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

func (c *Core) applySubmit(record journal.Record, at time.Time) {
	if record.Job == nil {
		return
	}
	if c.jobs[record.Job.ID] == nil {
		j := c.addJob(*record.Job)
		for index := range j.Count {
			c.addTask(j, index, at)
		}
	}
	c.answerSubmits(record.Job.ID)
}

func (c *Core) addJob(spec journal.Job) *job {
	j := &job{Job: spec, tasks: map[int]*task{}}
	if home, err := ParseJobID(spec.ID); err == nil && home != c.cfg.Shard {
		j.guest = newGuest(home)
	}
	c.jobs[spec.ID] = j
	c.jobOrder = append(c.jobOrder, j)
	return j
}

func (c *Core) addTask(j *job, index int, at time.Time) *task {
	t := &task{job: j, id: taskID(j.ID, index), index: index, since: at, entered: at, keptAt: at}
	j.tasks[index] = t
	if c.owning {
		c.enqueue(t)
	}
	return t
}

func (c *Core) applyAssign(record journal.Record, at time.Time) {
	t := c.find(record.Task)
	if t == nil || t.state != taskWaiting || record.Attempt != t.attempt+1 {
		return
	}
	t.state, t.attempt, t.worker, t.since = taskAssigned, record.Attempt, record.Worker, at
	t.pending = ""
	c.workers.assign(t)
}

// applyFree handles the end of an attempt that did not complete the task.
func (c *Core) applyFree(record journal.Record, at time.Time) {
	t := c.current(record)
	if t == nil {
		return
	}
	moved, ranOn := t.state == taskMoved, t.worker
	t.attempt = record.Attempt
	c.workers.release(t)
	if record.Checkpoint != "" {
		t.checkpoint = record.Checkpoint
	}
	t.job.reason = record.Reason
	if t.running {
		t.ran += at.Sub(t.since)
	}
	t.state, t.worker, t.since = taskWaiting, "", at
	if record.Kind == journal.KindFail {
		t.failures++
		c.failedOn(t, ranOn, at)
	}
	t.owned = owned{}
	switch {
	case record.Kind == journal.KindFail && record.Final && !t.cancelled:
		t.job.counts.Failed++
		c.remove(t, record, at)
	case t.cancelled || moved:
		t.job.counts.Cancelled++
		c.remove(t, journal.Record{Kind: journal.KindFree, Attempt: t.attempt}, at)
	case c.owning:
		t.notBefore = c.now.Add(backoff(t.failures))
		c.enqueue(t)
		c.finishLate(c.workers.byID[ranOn], t)
	}
	if c.owning {
		c.counters.Freed++
	}
}

func (c *Core) applyDone(record journal.Record, at time.Time) {
	t := c.current(record)
	if t == nil {
		t = c.freed(record)
	}
	if t == nil {
		return
	}
	if t.worker != "" {
		c.health.Done(t.worker, t.job.ID, at)
	}
	c.workers.release(t)
	t.job.counts.Done++
	c.classes.Done(t.job.class(), record.Ran+t.ran)
	c.queue.Learned(t.job.class())
	if c.owning {
		c.counters.Done++
	}
	c.remove(t, record, at)
}

// failedOn enters the evidence of a failure, unless the task ran in another shard.
func (c *Core) failedOn(t *task, id oleanderline.WorkerID, at time.Time) {
	if id != "" {
		t.failedOn = append(t.failedOn, id)
		c.health.Failed(id, t.job.ID, at)
	}
}

// current returns the task if the record is about its assigned attempt, or about its end in another shard.
func (c *Core) current(record journal.Record) *task {
	t := c.find(record.Task)
	switch {
	case t == nil:
		return nil
	case t.state == taskMoved && record.Attempt >= t.attempt, t.state == taskAssigned && record.Attempt == t.attempt:
		return t
	default:
		return nil
	}
}

// freed returns the task if the record is about its last attempt, which was given up before its outcome was known, and no
// further attempt was assigned.
func (c *Core) freed(record journal.Record) *task {
	t := c.find(record.Task)
	if t == nil || t.state != taskWaiting || record.Attempt != t.attempt {
		return nil
	}
	return t
}

func (c *Core) applyCancel(record journal.Record, at time.Time) {
	for _, id := range record.Jobs {
		j := c.jobs[id]
		if j == nil {
			continue
		}
		j.cancelPending = false
		for index := range j.Count {
			if t := j.tasks[index]; t != nil {
				c.cancelTask(t, at)
			}
		}
		c.answerCancels(id)
	}
}

func (c *Core) cancelTask(t *task, at time.Time) {
	t.cancelled = true
	if t.state == taskWaiting {
		c.workers.release(t)
		t.job.counts.Cancelled++
		c.remove(t, journal.Record{Kind: journal.KindFree, Attempt: t.attempt}, at)
	}
}

// remove forgets a finished task. The end of a task of another shard is remembered until that shard has recorded it.
func (c *Core) remove(t *task, end journal.Record, at time.Time) {
	delete(t.job.tasks, t.index)
	c.queue.Drop(t)
	if t.job.guest != nil {
		t.job.guest.ends[t.index] = &guestEnd{
			End:    End{Task: t.id, Attempt: t.attempt, At: t.movedAt, Kind: end.Kind, Reason: end.Reason, Ran: end.Ran},
			keptAt: at,
		}
	}
	if len(t.job.tasks) == 0 {
		t.job.finishedAt = at
	}
}

// applyKeep adds what is not yet known. What is known is at least as new, because the record was written when no other
// record about these tasks was on its way.
func (c *Core) applyKeep(record journal.Record, at time.Time) {
	if record.Job == nil {
		return
	}
	j := c.jobs[record.Job.ID]
	created := j == nil
	if created {
		j = c.addJob(*record.Job)
	}
	if record.Counts != nil && (created || j.rebuilt) {
		j.counts, j.rebuilt = *record.Counts, true
	}
	for _, kept := range record.Tasks {
		c.applyKeptTask(j, kept, at)
	}
}

func (c *Core) applyKeptTask(j *job, kept journal.KeptTask, at time.Time) {
	if t := j.tasks[kept.Index]; t != nil {
		t.keptAt = at
		return
	}
	if j.guest != nil && !c.missing(j, kept, at) || j.guest == nil && !j.rebuilt {
		return
	}
	t := c.addKept(j, kept, at)
	switch {
	case kept.Moved:
		t.state, t.to = taskMoved, kept.To
		c.queue.Drop(t)
	case kept.Worker != "":
		t.state, t.worker = taskAssigned, kept.Worker
		c.queue.Drop(t)
		c.workers.assign(t)
	}
}

func (c *Core) addKept(j *job, kept journal.KeptTask, at time.Time) *task {
	t := c.addTask(j, kept.Index, at)
	t.attempt, t.checkpoint, t.cancelled, t.failures = kept.Attempt, kept.Checkpoint, kept.Cancelled, kept.Failures
	t.movedAt = kept.At
	return t
}

// forgetFinished drops jobs that finished long ago. Their keys may be used again.
func (c *Core) forgetFinished() {
	for len(c.jobOrder) > 0 && c.forgettable(c.jobOrder[0]) {
		delete(c.jobs, c.jobOrder[0].ID)
		c.health.Forget(c.jobOrder[0].ID)
		c.jobOrder = c.jobOrder[1:]
	}
	if c.now.Sub(c.sweptAt) < c.cfg.Limits.Keep/4 {
		return
	}
	c.sweptAt = c.now
	kept := make([]*job, 0, len(c.jobOrder))
	for _, j := range c.jobOrder {
		if c.forgettable(j) {
			delete(c.jobs, j.ID)
			c.health.Forget(j.ID)
			continue
		}
		kept = append(kept, j)
	}
	c.jobOrder = kept
}

func (c *Core) forgettable(j *job) bool {
	keep := c.cfg.Limits.Keep
	if j.guest != nil {
		// An owner of the home shard that cannot read its stream may offer the task again until the outage horizon.
		keep += c.cfg.Limits.Horizon + c.cfg.Limits.Lease
	}
	return j.finished() && !j.finishedAt.IsZero() && c.now.Sub(j.finishedAt) > keep
}

// backoff is the wait before the next attempt of a task that has failed n times.
func backoff(n int) time.Duration {
	const first, most = time.Second, time.Minute
	if n == 0 {
		return 0
	}
	return min(first<<min(n-1, 10), most)
}
