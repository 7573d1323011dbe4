package shard

import (
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// Explanation describes the state of a task and what it waits for.
type Explanation struct {
	Task    oleanderline.TaskID
	State   string // waiting, assigned, running, stopping, moved, finished, unknown
	Worker  oleanderline.WorkerID
	Attempt oleanderline.Attempt
	Since   time.Time
	Reasons []string // first what it waits for, then its history
}

// addReason appends a reason.
func (e *Explanation) addReason(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

// Explain returns the explanation for a task. Only the owner has the details that are not in the stream.
func (c *Core) Explain(id oleanderline.TaskID) Explanation {
	name, index, err := splitTaskID(id)
	j := c.jobs[name]
	e := Explanation{Task: id, State: "unknown"}
	if err != nil || j == nil || index < 0 || index >= j.Count {
		e.addReason("no such task is recorded, or it finished long ago")
		return e
	}
	t := j.tasks[index]
	switch {
	case t == nil:
		e.State, e.Since = "finished", j.finishedAt
		e.addReason("%d tasks of the job are done, %d failed, %d were cancelled", j.counts.Done, j.counts.Failed, j.counts.Cancelled)
	case t.state == taskMoved:
		e.State, e.Attempt, e.Since = "moved", t.attempt, t.since
		e.addReason("it moved to shard %d, whose owner knows more", t.to)
	case t.state == taskAssigned:
		e.State, e.Worker, e.Attempt, e.Since = "assigned", t.worker, t.attempt, t.since
		c.explainAssigned(t, &e)
	default:
		e.State, e.Attempt, e.Since = "waiting", t.attempt, t.since
		c.explainWaiting(t, &e)
	}
	if t != nil && t.failures > 0 {
		e.addReason("%d attempts have failed", t.failures)
	}
	if j.reason != "" {
		e.addReason("the last attempt of the job that did not complete ended: %s", j.reason)
	}
	return e
}

func (c *Core) explainWaiting(t *task, e *Explanation) {
	switch {
	case !c.owning:
		e.addReason("this process only follows the shard, its owner knows more")
	case !c.mayAct():
		e.addReason("the owner must read its stream to the end before it acts")
	case t.pending == journal.KindAssign:
		e.addReason("the record of its assignment to %s is not yet read back", t.target)
	case c.now.Before(t.notBefore):
		e.addReason("its next attempt starts after a pause, at %s", t.notBefore.UTC().Format(time.RFC3339))
	case c.LogStalled():
		e.addReason("the log service does not answer")
	case c.releasing:
		e.addReason("the shard is being handed over")
	case !c.withinQuota(t):
		e.addReason("team %s has used its portion of its quota in this shard", t.job.Team)
	default:
		e.addReason("no worker of the shard has %s free", t.size())
	}
}

func (c *Core) explainAssigned(t *task, e *Explanation) {
	w := c.workers.byID[t.worker]
	switch {
	case !c.owning || w == nil:
		e.addReason("this process only follows the shard, its owner knows more")
	case t.pending != "":
		e.addReason("its %s record is not yet read back", t.pending)
	case !w.reachable() || w.absent:
		e.addReason("worker %s does not answer; its lease is waited for", w.id)
	case !w.fenced:
		e.addReason("the inventory of worker %s is not yet known", w.id)
	case t.stop:
		e.State = "stopping"
		e.addReason("worker %s has not confirmed the stop after %d attempts; stopped because: %s", w.id, t.stopTries, t.stopReason)
	case t.running:
		e.State = "running"
		e.addReason("worker %s has confirmed the start", w.id)
	case t.reserved:
		e.addReason("worker %s has not confirmed the start", w.id)
	default:
		e.addReason("it waits at worker %s for %s, free are %s", w.id, t.size(), w.freeCapacity())
	}
}

// Status is a summary of a shard for operators.
type Status struct {
	Shard       oleanderline.ShardID
	Owner       oleanderline.VMID
	Term        oleanderline.Term
	Owning      bool
	Acting      bool // whether the owner may call workers; false until it has read the stream to its end
	Next        oleanderline.Offset
	ReadAt      time.Time // when the last read that reached the end of the stream was sent
	Waiting     int       // tasks
	Assigned    int
	Running     int
	Jobs        int
	Workers     int // workers in the VM list
	Leaving     int // workers in the VM list that operators drain or that the list shows as leaving
	Unreachable int
	Unknown     int  // workers in the VM list whose inventory is not known yet
	LogStalled  bool // an append has been without an answer for so long that placement pauses
	Committed   oleanderline.Size
	Records     int // records that wait for the log service
	Counters    Counters
}

// Status returns the summary of the shard.
func (c *Core) Status() Status {
	owner, _ := c.order.Owner()
	s := Status{
		Shard: c.cfg.Shard, Owner: owner, Term: c.order.Term(), Owning: c.owning, Acting: c.mayAct(), Next: c.next,
		ReadAt: c.readAt, Jobs: len(c.jobs), Records: c.writer.PendingRecords(), Counters: c.counters,
		LogStalled: c.LogStalled(),
	}
	for _, w := range c.workers.order {
		c.addWorker(&s, w)
	}
	for _, j := range c.jobOrder {
		s.Waiting += len(j.tasks)
	}
	s.Waiting -= s.Assigned + len(c.movedTasks)
	return s
}

func (c *Core) addWorker(s *Status, w *worker) {
	if w.listed {
		s.Workers++
		if c.workers.draining(w) {
			s.Leaving++
		}
		if !w.fenced {
			s.Unknown++
		}
	}
	if !w.reachable() || w.absent {
		s.Unreachable++
	}
	s.Committed = s.Committed.Add(w.committed)
	s.Assigned += len(w.tasks)
	for _, t := range w.tasks {
		if t.running && !t.ended {
			s.Running++
		}
	}
}

// LogStalled reports whether an append has been without an answer for so long that placement pauses.
func (c *Core) LogStalled() bool { return c.writer.Stalled(c.now) > stallTimeout }
