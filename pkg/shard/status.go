package shard

import (
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// Explanation tells what a task does and what it waits for.
type Explanation struct {
	Task       oleanderline.TaskID
	State      string // waiting, assigned, running, stopping, finished, unknown
	Worker     oleanderline.WorkerID
	Attempt    oleanderline.Attempt
	Since      time.Time
	WaitingFor string
	Failures   int
	Reason     string // why the last attempt of the job ended
}

// Why explains a task. Details beyond the stream are known to the owner only.
func (c *Core) Why(id oleanderline.TaskID) Explanation {
	name, index, err := splitTaskID(id)
	j := c.jobs[name]
	if err != nil || j == nil || index < 0 || index >= j.Count {
		return Explanation{Task: id, State: "unknown", WaitingFor: "nothing: no such task is recorded, or it finished long ago"}
	}
	t := j.tasks[index]
	if t == nil {
		return Explanation{Task: id, State: "finished", Since: j.finishedAt, Reason: j.reason}
	}
	e := Explanation{
		Task: id, State: "waiting", Worker: t.worker, Attempt: t.attempt, Since: t.since, Failures: t.failures,
		Reason: j.reason,
	}
	if t.state == taskAssigned {
		e.State = "assigned"
		c.explainAssigned(t, &e)
		return e
	}
	e.WaitingFor = c.explainWaiting(t)
	return e
}

func (c *Core) explainWaiting(t *task) string {
	switch {
	case !c.owning:
		return "unknown here: this process follows the shard, ask its owner"
	case !c.mayAct():
		return "the owner to read its stream again"
	case t.pending == journal.KindAssign:
		return fmt.Sprintf("the record of its assignment to %s to be read back", t.target)
	case c.now.Before(t.notBefore):
		return fmt.Sprintf("the end of its backoff at %s", t.notBefore.UTC().Format(time.RFC3339))
	case c.writer.Stalled(c.now) > stalledFor:
		return "the log service, which does not answer"
	case c.releasing:
		return "the next owner of the shard"
	default:
		return fmt.Sprintf("a worker with %s free", t.size())
	}
}

func (c *Core) explainAssigned(t *task, e *Explanation) {
	w := c.workers.byID[t.worker]
	switch {
	case !c.owning || w == nil:
		e.WaitingFor = "unknown here: this process follows the shard, ask its owner"
	case t.pending != "":
		e.WaitingFor = fmt.Sprintf("its %s record to be read back", t.pending)
	case !w.reachable() || w.absent:
		e.WaitingFor = fmt.Sprintf("worker %s to answer, or its lease to expire", w.id)
	case !w.fenced:
		e.WaitingFor = fmt.Sprintf("the inventory of worker %s", w.id)
	case t.stop:
		e.State = "stopping"
		e.WaitingFor = fmt.Sprintf("worker %s to confirm the stop, asked %d times", w.id, t.stopTries)
	case t.running:
		e.State = "running"
		e.WaitingFor = "its end"
	case t.reserved:
		e.WaitingFor = fmt.Sprintf("worker %s to confirm the start", w.id)
	default:
		e.WaitingFor = fmt.Sprintf("room at worker %s: needs %s, free %s", w.id, t.size(), w.free())
	}
}

// Status is a summary of a shard for operators.
type Status struct {
	Shard       oleanderline.ShardID
	Owner       oleanderline.VMID
	Term        oleanderline.Term
	Owning      bool
	Acting      bool // false while the owner must read the stream before it acts
	Next        oleanderline.Offset
	ReadAt      time.Time // when the last read that reached the end was sent
	Waiting     int       // tasks
	Assigned    int
	Jobs        int
	Workers     int
	Unreachable int
	Committed   oleanderline.Size
	Records     int // that wait for the log service
	Counters    Counters
}

// Status returns the summary.
func (c *Core) Status() Status {
	owner, _ := c.order.Owner()
	s := Status{
		Shard: c.cfg.Shard, Owner: owner, Term: c.order.Term(), Owning: c.owning, Acting: c.mayAct(), Next: c.next,
		ReadAt: c.readAt, Jobs: len(c.jobs), Records: c.writer.Waiting(), Counters: c.counters,
	}
	for _, w := range c.workers.order {
		if w.listed {
			s.Workers++
		}
		if !w.reachable() || w.absent {
			s.Unreachable++
		}
		s.Committed = s.Committed.Add(w.committed)
		s.Assigned += len(w.tasks)
	}
	for _, j := range c.jobOrder {
		s.Waiting += len(j.tasks)
	}
	s.Waiting -= s.Assigned
	return s
}

// LogStalled reports whether an append has been without an answer for so long that placement pauses.
func (c *Core) LogStalled() bool { return c.writer.Stalled(c.now) > stalledFor }
