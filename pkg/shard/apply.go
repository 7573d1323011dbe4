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
	t := &task{job: j, id: taskID(j.ID, index), index: index, since: at, entered: at, fullRecordAt: at}
	j.tasks[index] = t
	if c.owning {
		c.enqueue(t)
	}
	return t
}

func (c *Core) applyAssign(record journal.Record, at time.Time) {
	t := c.findTask(record.Task)
	if t == nil || t.state != taskWaiting || record.Attempt != t.attempt+1 {
		return
	}
	t.state, t.attempt, t.worker, t.since = taskAssigned, record.Attempt, record.Worker, at
	t.pending = ""
	c.workers.assign(t)
}

// applyFree applies the end of an attempt that did not complete its task, either as a free or as a fail record.
func (c *Core) applyFree(record journal.Record, at time.Time) {
	t := c.currentTask(record)
	if t == nil {
		return
	}
	moved, previousWorker := t.state == taskMoved, t.worker
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
		c.recordFailure(t, previousWorker, at)
	}
	t.ownerState = ownerState{}
	switch {
	case record.Kind == journal.KindFail && record.Final && !t.cancelled:
		t.job.counts.Failed++
		c.removeTask(t, record, at)
	case t.cancelled || moved:
		t.job.counts.Cancelled++
		c.removeTask(t, journal.Record{Kind: journal.KindFree, Attempt: t.attempt}, at)
	case c.owning:
		t.notBefore = c.now.Add(backoff(t.failures))
		c.enqueue(t)
		c.recordLateCompletion(c.workers.byID[previousWorker], t)
	}
	if c.owning {
		c.counters.Freed++
	}
}

func (c *Core) applyDone(record journal.Record, at time.Time) {
	t := c.currentTask(record)
	if t == nil {
		t = c.freedTask(record)
	}
	if t == nil {
		return
	}
	if t.worker != "" {
		c.health.Done(t.worker, t.job.ID, at)
	}
	c.workers.release(t)
	t.job.counts.Done++
	c.classes.Observe(t.job.class(), record.Ran+t.ran)
	c.queue.UpdateClass(t.job.class())
	if c.owning {
		c.counters.Done++
	}
	c.removeTask(t, record, at)
}

// recordFailure counts a failed attempt for the health of its worker. It does nothing if the task ran in another shard.
func (c *Core) recordFailure(t *task, id oleanderline.WorkerID, at time.Time) {
	if id != "" {
		t.failedOn = append(t.failedOn, id)
		c.health.Failed(id, t.job.ID, at)
	}
}

// currentTask returns the task if the record is about its assigned attempt, or about its end in another shard.
func (c *Core) currentTask(record journal.Record) *task {
	t := c.findTask(record.Task)
	switch {
	case t == nil:
		return nil
	case t.state == taskMoved && record.Attempt >= t.attempt, t.state == taskAssigned && record.Attempt == t.attempt:
		return t
	default:
		return nil
	}
}

// freedTask returns the task if the record is about its last attempt, which was freed before its outcome was known, and no
// further attempt was assigned.
func (c *Core) freedTask(record journal.Record) *task {
	t := c.findTask(record.Task)
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
		c.removeTask(t, journal.Record{Kind: journal.KindFree, Attempt: t.attempt}, at)
	}
}

// removeTask drops a finished task. The end of a task of another shard is kept until that shard has recorded it.
func (c *Core) removeTask(t *task, end journal.Record, at time.Time) {
	delete(t.job.tasks, t.index)
	c.queue.Drop(t)
	if t.job.guest != nil {
		t.job.guest.ends[t.index] = &guestEnd{
			End:          End{Task: t.id, Attempt: t.attempt, At: t.movedAt, Kind: end.Kind, Reason: end.Reason, Ran: end.Ran},
			fullRecordAt: at,
		}
	}
	if len(t.job.tasks) == 0 {
		t.job.finishedAt = at
	}
}

// applyKeep adds the job and the tasks that are not known yet. State that is already known is at least as new, because a
// keep record is written only while no other record about its tasks is in flight.
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

func (c *Core) applyKeptTask(j *job, kept journal.TaskState, at time.Time) {
	if t := j.tasks[kept.Index]; t != nil {
		t.fullRecordAt = at
		return
	}
	if j.guest != nil && !c.markAccepted(j, kept, at) || j.guest == nil && !j.rebuilt {
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

func (c *Core) addKept(j *job, kept journal.TaskState, at time.Time) *task {
	t := c.addTask(j, kept.Index, at)
	t.attempt, t.checkpoint, t.cancelled, t.failures = kept.Attempt, kept.Checkpoint, kept.Cancelled, kept.Failures
	t.movedAt = kept.At
	return t
}

// dropFinishedJobs drops the jobs that finished longer ago than the job retention. Their idempotency keys may then be used
// again.
func (c *Core) dropFinishedJobs() {
	for len(c.jobOrder) > 0 && c.expired(c.jobOrder[0]) {
		delete(c.jobs, c.jobOrder[0].ID)
		c.health.Forget(c.jobOrder[0].ID)
		c.jobOrder = c.jobOrder[1:]
	}
	if c.now.Sub(c.cleanedAt) < c.cfg.Limits.JobRetention/4 {
		return
	}
	c.cleanedAt = c.now
	kept := make([]*job, 0, len(c.jobOrder))
	for _, j := range c.jobOrder {
		if c.expired(j) {
			delete(c.jobs, j.ID)
			c.health.Forget(j.ID)
			continue
		}
		kept = append(kept, j)
	}
	c.jobOrder = kept
}

func (c *Core) expired(j *job) bool {
	keep := c.cfg.Limits.JobRetention
	if j.guest != nil {
		// An owner of the home shard that cannot read its stream may offer the task again until the outage horizon has
		// passed.
		keep += c.cfg.Limits.Horizon + c.cfg.Limits.Lease
	}
	return j.finished() && !j.finishedAt.IsZero() && c.now.Sub(j.finishedAt) > keep
}

// backoff returns the pause before the next attempt of a task that has failed n times.
func backoff(n int) time.Duration {
	const first, most = time.Second, time.Minute
	if n == 0 {
		return 0
	}
	return min(first<<min(n-1, 10), most)
}
