package shard

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// waiters are the callers that wait for a record to be read back. The lists are in the order of the deadlines.
type waiters struct {
	submits     map[oleanderline.JobID][]Token
	submitOrder []submitWait
	cancels     map[oleanderline.JobID][]*cancelWait
	cancelOrder []*cancelWait
}

// submitWait is the deadline of all callers that wait for the record of a job.
type submitWait struct {
	job      oleanderline.JobID
	first    Token // the caller that began the wait
	deadline time.Time
}

type cancelWait struct {
	token    Token
	deadline time.Time
	jobs     []oleanderline.JobID
	left     int // jobs whose record is not yet read back
	answered bool
}

func newWaiters() waiters {
	return waiters{
		submits: map[oleanderline.JobID][]Token{},
		cancels: map[oleanderline.JobID][]*cancelWait{},
	}
}

// submit records a job, or answers at once.
func (c *Core) submit(e Submit) {
	id := e.Job.ID
	if verdict, reason := c.judge(e.Job); verdict != 0 {
		c.answer(e.Token, verdict, reason, id)
		return
	}
	_, recording := c.waiters.submits[id]
	c.waiters.submits[id] = append(c.waiters.submits[id], e.Token)
	if recording {
		return
	}
	c.waiters.submitOrder = append(c.waiters.submitOrder, submitWait{
		job: id, first: e.Token, deadline: c.now.Add(c.cfg.Limits.Hold),
	})
	spec := e.Job
	c.record(spec.Urgent, journal.Record{Kind: journal.KindSubmit, Job: &spec})
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
	case spec.Kind == oleanderline.KindBatch && c.quotas.Refuse(spec.Team, spec.Size) != "":
		return Impossible, c.quotas.Refuse(spec.Team, spec.Size)
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
	for _, token := range c.waiters.submits[id] {
		c.answer(token, Accepted, "", id)
	}
	delete(c.waiters.submits, id)
}

// cancel records cancellations. Jobs that are finished or unknown need none.
func (c *Core) cancel(e Cancel) {
	if !c.owning {
		c.answer(e.Token, NotOwner, "another process owns the shard", e.Jobs...)
		return
	}
	wait := &cancelWait{token: e.Token, deadline: c.now.Add(c.cfg.Limits.Hold), jobs: e.Jobs}
	record := journal.Record{Kind: journal.KindCancel}
	for _, id := range e.Jobs {
		j := c.jobs[id]
		if j == nil || len(j.tasks) == 0 {
			continue
		}
		wait.left++
		c.waiters.cancels[id] = append(c.waiters.cancels[id], wait)
		if !j.cancelPending {
			j.cancelPending = true
			record.Jobs = append(record.Jobs, id)
		}
	}
	if wait.left == 0 {
		c.answer(e.Token, Accepted, "", e.Jobs...)
		return
	}
	c.waiters.cancelOrder = append(c.waiters.cancelOrder, wait)
	if len(record.Jobs) > 0 {
		c.record(false, record)
	}
}

func (c *Core) answerCancels(id oleanderline.JobID) {
	for _, wait := range c.waiters.cancels[id] {
		wait.left--
		if wait.left == 0 && !wait.answered {
			wait.answered = true
			c.answer(wait.token, Accepted, "", wait.jobs...)
		}
	}
	delete(c.waiters.cancels, id)
}

// expireWaiters answers the callers whose time is over. A job whose record was never sent is withdrawn.
func (c *Core) expireWaiters() {
	w := &c.waiters
	for len(w.submitOrder) > 0 && !c.now.Before(w.submitOrder[0].deadline) {
		first := w.submitOrder[0]
		w.submitOrder = w.submitOrder[1:]
		if tokens := w.submits[first.job]; len(tokens) > 0 && tokens[0] == first.first {
			c.giveUp(first.job, "the log service does not answer")
		}
	}
	for len(w.cancelOrder) > 0 && !c.now.Before(w.cancelOrder[0].deadline) {
		c.giveUpCancel(w.cancelOrder[0], "the log service does not answer")
		w.cancelOrder = w.cancelOrder[1:]
	}
}

func (c *Core) giveUpCancel(wait *cancelWait, reason string) {
	if !wait.answered {
		wait.answered = true
		c.answer(wait.token, Unsure, reason, wait.jobs...)
	}
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
	for _, token := range c.waiters.submits[id] {
		c.answer(token, verdict, reason, id)
	}
	delete(c.waiters.submits, id)
}

// withdrawWaiters answers all callers when the ownership ends. The record of a job that may have been stored is still
// read by every later owner, so its caller is told to ask again.
func (c *Core) withdrawWaiters() {
	for _, wait := range c.waiters.submitOrder {
		if len(c.waiters.submits[wait.job]) > 0 {
			c.giveUp(wait.job, "the shard changed its owner")
		}
	}
	for _, wait := range c.waiters.cancelOrder {
		c.giveUpCancel(wait, "the shard changed its owner")
	}
	c.waiters = newWaiters()
}

// JobStatus returns what this process knows about a job.
func (c *Core) JobStatus(id oleanderline.JobID) JobStatus {
	if j := c.jobs[id]; j != nil {
		return j.status()
	}
	return JobStatus{ID: id}
}
