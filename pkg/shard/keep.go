package shard

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/journal"
)

// Bounds of appending live records again.
const (
	keepSweep = time.Second
	keepGuard = time.Minute     // between two keep records of a job, so that an outage does not pile them up
	keepLeft  = 3 * time.Second // until the next keep record of a job, if tasks had to be left out of one
	keepTasks = 500             // tasks in one record
	keepJobs  = 200             // jobs in one sweep
)

// keepLive appends live records again well before the log service drops them.
func (c *Core) keepLive() {
	if c.now.Sub(c.sweepAt) < keepSweep || c.writer.Stalled(c.now) > stalledFor {
		return
	}
	c.sweepAt = c.now
	kept := 0
	for range c.jobOrder {
		if c.keepNext >= len(c.jobOrder) {
			c.keepNext = 0
		}
		j := c.jobOrder[c.keepNext]
		c.keepNext++
		if c.keepJob(j) {
			kept++
		}
		if kept == keepJobs {
			return
		}
	}
}

func (c *Core) keepGuard() time.Duration { return min(keepGuard, c.cfg.Limits.Retention/8) }

// keepJob queues the records of a job's unfinished tasks whose last full record is old. Tasks with a record on its way
// are left for a later sweep, because the record here would not match the state at its own place in the stream.
func (c *Core) keepJob(j *job) bool {
	if j.finished() || j.cancelPending || c.now.Sub(j.keptAt) < c.keepGuard() {
		return false
	}
	// Three eighths, so that the record is stored before half of the retention has passed.
	limit := c.now.Add(-c.cfg.Limits.Retention * 3 / 8)
	var tasks []journal.KeptTask
	left := false
	for index := range j.Count {
		t := j.tasks[index]
		switch {
		case t == nil || !t.keptAt.Before(limit):
		case t.pending == "":
			tasks = append(tasks, t.kept())
		default:
			left = true
		}
	}
	tasks = append(tasks, j.guest.keptEnds(limit)...)
	if len(tasks) == 0 {
		return false
	}
	j.keptAt = c.now
	if left {
		// The tasks that were left out are as old: they follow when their records are read back.
		j.keptAt = c.now.Add(keepLeft - c.keepGuard())
	}
	for start := 0; start < len(tasks); start += keepTasks {
		spec := j.Job
		c.record(false, journal.Record{
			Kind: journal.KindKeep, Job: &spec, Counts: c.countsAhead(j),
			Tasks: tasks[start:min(start+keepTasks, len(tasks))],
		})
	}
	return true
}

func (t *task) kept() journal.KeptTask {
	return journal.KeptTask{
		Index: t.index, Attempt: t.attempt, Worker: t.worker, Checkpoint: t.checkpoint, Cancelled: t.cancelled,
		Failures: t.failures, Moved: t.state == taskMoved, To: t.to, At: t.movedAt,
	}
}

// countsAhead returns the counts as they will be when the records queued so far are read back.
func (c *Core) countsAhead(j *job) *journal.Counts {
	counts := j.counts
	for _, t := range j.tasks {
		switch {
		case t.pending == journal.KindDone:
			counts.Done++
		case t.pending == journal.KindFail && t.final && !t.cancelled:
			counts.Failed++
		case (t.pending == journal.KindFree || t.pending == journal.KindFail) && t.cancelled:
			counts.Cancelled++
		}
	}
	return &counts
}
