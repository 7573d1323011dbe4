package shard

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/journal"
)

// Limits for the refresh of live records.
const (
	refreshInterval    = time.Second
	minRefreshInterval = time.Minute     // minimum interval between keep records of a job, so that they do not pile up during an outage
	leftOutDelay       = 3 * time.Second // delay until the next keep record of a job if tasks were left out of the last one
	maxKeptTasks       = 500             // most tasks in one record
	maxKeptJobs        = 200             // most jobs in one pass
)

// refreshLiveRecords appends the live records again well before the log service drops them.
func (c *Core) refreshLiveRecords() {
	if c.now.Sub(c.refreshedAt) < refreshInterval || c.writer.Stalled(c.now) > stallTimeout {
		return
	}
	c.refreshedAt = c.now
	kept := 0
	for range c.jobOrder {
		if c.refreshNext >= len(c.jobOrder) {
			c.refreshNext = 0
		}
		j := c.jobOrder[c.refreshNext]
		c.refreshNext++
		if c.refreshJob(j) {
			kept++
		}
		if kept == maxKeptJobs {
			return
		}
	}
}

func (c *Core) minRefreshInterval() time.Duration {
	return min(minRefreshInterval, c.cfg.Limits.Retention/8)
}

// refreshJob queues keep records for a job's unfinished tasks whose last full record is old. A task with another record in
// flight is left for a later pass, because a keep record written now would not match the state at its own offset in the
// stream.
func (c *Core) refreshJob(j *job) bool {
	if j.finished() || j.cancelPending || c.now.Sub(j.keepQueuedAt) < c.minRefreshInterval() {
		return false
	}
	// Three eighths of the retention, so that the record is stored before half of the retention has passed.
	limit := c.now.Add(-c.cfg.Limits.Retention * 3 / 8)
	var tasks []journal.TaskState
	leftOut := false
	for index := range j.Count {
		t := j.tasks[index]
		switch {
		case t == nil || !t.fullRecordAt.Before(limit):
		case t.pending == "":
			tasks = append(tasks, t.keptTask())
		default:
			leftOut = true
		}
	}
	tasks = append(tasks, j.guest.endsToRefresh(limit)...)
	if len(tasks) == 0 {
		return false
	}
	j.keepQueuedAt = c.now
	if leftOut {
		// The tasks that were left out are just as old. They follow once their records in flight are read back.
		j.keepQueuedAt = c.now.Add(leftOutDelay - c.minRefreshInterval())
	}
	for start := 0; start < len(tasks); start += maxKeptTasks {
		spec := j.Job
		c.record(false, journal.Record{
			Kind: journal.KindKeep, Job: &spec, Counts: c.projectedCounts(j),
			Tasks: tasks[start:min(start+maxKeptTasks, len(tasks))],
		})
	}
	return true
}

func (t *task) keptTask() journal.TaskState {
	return journal.TaskState{
		Index: t.index, Attempt: t.attempt, Worker: t.worker, Checkpoint: t.checkpoint, Cancelled: t.cancelled,
		Failures: t.failures, Moved: t.state == taskMoved, To: t.to, At: t.movedAt,
	}
}

// projectedCounts returns the counts as they will be when the records queued so far are read back.
func (c *Core) projectedCounts(j *job) *journal.Counts {
	counts := j.counts
	for _, t := range j.tasks {
		switch {
		case t.pending == journal.KindDone:
			counts.Done++
		case t.pending == journal.KindFail && t.finalFailure && !t.cancelled:
			counts.Failed++
		case (t.pending == journal.KindFree || t.pending == journal.KindFail) && t.cancelled:
			counts.Cancelled++
		}
	}
	return &counts
}
