package shard

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// waiters are the callers that wait for a record to be read back.
type waiters struct {
	submits map[oleanderline.JobID][]submitWait
	cancels []*cancelWait
}

type submitWait struct {
	token    Token
	deadline time.Time
}

type cancelWait struct {
	token    Token
	deadline time.Time
	jobs     []oleanderline.JobID
	left     map[oleanderline.JobID]bool // not yet read back
}

func newWaiters() waiters {
	return waiters{submits: map[oleanderline.JobID][]submitWait{}}
}

// submit records a job, or answers at once.
func (c *Core) submit(e Submit) {
	id := e.Job.ID
	if verdict, reason := c.judge(e.Job); verdict != 0 {
		c.answer(e.Token, verdict, reason, id)
		return
	}
	_, recording := c.waiters.submits[id]
	wait := submitWait{token: e.Token, deadline: c.now.Add(c.cfg.Limits.Hold)}
	c.waiters.submits[id] = append(c.waiters.submits[id], wait)
	if !recording {
		spec := e.Job
		c.record(spec.Urgent, journal.Record{Kind: journal.KindSubmit, Job: &spec})
	}
}

// judge returns the verdict on a job that needs no record, or zero.
func (c *Core) judge(spec journal.Job) (Verdict, string) {
	if known := c.jobs[spec.ID]; known != nil {
		if known.Job != spec {
			return Conflict, "the idempotency key belongs to another job"
		}
		return Accepted, ""
	}
	switch {
	case !c.owning:
		return NotOwner, "another process owns the shard"
	case c.leaving || c.releasing:
		return NotRun, "the shard is being handed over"
	case c.writer.Waiting() >= c.cfg.Limits.MaxWait:
		c.counters.Refused++
		return NotRun, "too many records wait for the log"
	case !c.possible(spec.Size):
		return Impossible, "no worker of the region is large enough"
	default:
		return 0, ""
	}
}

// possible reports whether some worker of the region could ever hold the size. It is true while no list is known.
func (c *Core) possible(size oleanderline.Size) bool {
	return len(c.largest) == 0 || slices.ContainsFunc(c.largest, size.Fits)
}

func (c *Core) answer(token Token, verdict Verdict, reason string, jobs ...oleanderline.JobID) {
	answer := Answer{Token: token, Verdict: verdict, Reason: reason}
	for _, id := range jobs {
		answer.Jobs = append(answer.Jobs, c.JobStatus(id))
	}
	if verdict == NotOwner {
		answer.Owner, answer.Address = c.order.Owner()
	}
	c.emit(answer)
}

func (c *Core) answerSubmits(id oleanderline.JobID) {
	for _, wait := range c.waiters.submits[id] {
		c.answer(wait.token, Accepted, "", id)
	}
	delete(c.waiters.submits, id)
}

// cancel records cancellations. Jobs that are finished or unknown need none.
func (c *Core) cancel(e Cancel) {
	if !c.owning {
		c.answer(e.Token, NotOwner, "another process owns the shard", e.Jobs...)
		return
	}
	wait := &cancelWait{
		token: e.Token, deadline: c.now.Add(c.cfg.Limits.Hold), jobs: e.Jobs, left: map[oleanderline.JobID]bool{},
	}
	record := journal.Record{Kind: journal.KindCancel}
	for _, id := range e.Jobs {
		j := c.jobs[id]
		if j == nil || len(j.tasks) == 0 {
			continue
		}
		wait.left[id] = true
		if !j.cancelPending {
			j.cancelPending = true
			record.Jobs = append(record.Jobs, id)
		}
	}
	if len(wait.left) == 0 {
		c.answer(e.Token, Accepted, "", e.Jobs...)
		return
	}
	c.waiters.cancels = append(c.waiters.cancels, wait)
	if len(record.Jobs) > 0 {
		c.record(false, record)
	}
}

func (c *Core) answerCancels(id oleanderline.JobID) {
	c.waiters.cancels = slices.DeleteFunc(c.waiters.cancels, func(wait *cancelWait) bool {
		delete(wait.left, id)
		if len(wait.left) > 0 {
			return false
		}
		c.answer(wait.token, Accepted, "", wait.jobs...)
		return true
	})
}

// expireWaiters answers the callers whose time is over. A job whose record was never sent is withdrawn.
func (c *Core) expireWaiters() {
	for _, id := range sortedKeys(c.waiters.submits) {
		if !c.now.Before(c.waiters.submits[id][0].deadline) {
			c.giveUp(id, "the log service does not answer")
		}
	}
	c.waiters.cancels = slices.DeleteFunc(c.waiters.cancels, func(wait *cancelWait) bool {
		if c.now.Before(wait.deadline) {
			return false
		}
		c.answer(wait.token, Unsure, "the log service does not answer", wait.jobs...)
		return true
	})
}

func (c *Core) giveUp(id oleanderline.JobID, reason string) {
	withdrawn := c.writer.Withdraw(func(record journal.Record) bool {
		return record.Kind == journal.KindSubmit && record.Job.ID == id
	})
	verdict := Unsure
	if withdrawn {
		verdict = NotRun
		c.counters.Refused++
	}
	for _, wait := range c.waiters.submits[id] {
		c.answer(wait.token, verdict, reason, id)
	}
	delete(c.waiters.submits, id)
}

// withdrawWaiters answers all callers when the ownership ends. The record of a job that may have been stored is still
// read by every later owner, so its caller is told to ask again.
func (c *Core) withdrawWaiters() {
	for _, id := range sortedKeys(c.waiters.submits) {
		c.giveUp(id, "the shard changed its owner")
	}
	for _, wait := range c.waiters.cancels {
		c.answer(wait.token, Unsure, "the shard changed its owner", wait.jobs...)
	}
	c.waiters.cancels = nil
}

func sortedKeys[V any](m map[oleanderline.JobID]V) []oleanderline.JobID {
	keys := make([]oleanderline.JobID, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// JobStatus returns what this process knows about a job.
func (c *Core) JobStatus(id oleanderline.JobID) JobStatus {
	if j := c.jobs[id]; j != nil {
		return j.status()
	}
	return JobStatus{ID: id}
}
