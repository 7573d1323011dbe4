package cellfake

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// maxCopyDelay is how long after the acknowledgement of its completion a start of a task with copies may still be sent: the start may have been
// decided before, and an order is at most a second old when it is sent.
const maxCopyDelay = time.Second

// copyChecks is what the Checker knows about tasks of steps that allow copies.
type copyChecks struct {
	ackedAt map[oleanderline.TaskKey]time.Time // when the completion of a task was first acknowledged
	// workers holds on which worker each run was started.
	workers map[oleanderline.RunKey]oleanderline.WorkerID
	started int // runs that began while another run of their task was active
}

func newCopyChecks() copyChecks {
	return copyChecks{ackedAt: map[oleanderline.TaskKey]time.Time{}, workers: map[oleanderline.RunKey]oleanderline.WorkerID{}}
}

// CopiesStarted returns the number of runs that began while another run of their task was active.
func (c *Checker) CopiesStarted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies.started
}

// allowsCopies reports whether two runs of a task may be active at the same time. The caller must hold c.mu.
func (c *Checker) allowsCopies(task oleanderline.TaskKey) bool {
	j := c.jobs[task.Job]
	return j != nil && task.Step < len(j.job.Steps) && j.job.Steps[task.Step].AllowsCopies()
}

// checkCopy checks the start of a run of a task that may have copies. The caller must hold c.mu.
func (c *Checker) checkCopy(key oleanderline.RunKey, worker oleanderline.WorkerID, sentAt time.Time) {
	if at, acked := c.copies.ackedAt[key.Task]; acked && sentAt.Sub(at) > maxCopyDelay && sentAt.After(c.disturbedUntil.Add(contactTime)) {
		c.violation("TWICE: the start of %s run %d on %s was sent %s after the completion of the task was acknowledged", key.Task, key.Run, worker, sentAt.Sub(at))
	}
	if other, used := c.copies.workers[key]; used && other != worker {
		c.violation("TWICE: %s run %d starts on %s and on %s", key.Task, key.Run, other, worker)
	}
	c.copies.workers[key] = worker
	if len(c.active[key.Task]) > 0 {
		c.copies.started++
	}
}

// ackedCopied records that the completion of a task that may have copies was acknowledged. The caller must hold c.mu.
func (c *Checker) ackedCopied(task oleanderline.TaskKey) {
	if _, acked := c.copies.ackedAt[task]; !acked {
		c.copies.ackedAt[task] = time.Now()
	}
}
