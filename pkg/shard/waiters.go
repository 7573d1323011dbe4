package shard

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// waiters holds the callers that wait for a record to be read back. The lists are in the order of the deadlines.
type waiters struct {
	submits     map[oleanderline.JobID][]Token
	submitOrder []submitWait
	cancels     map[oleanderline.JobID][]*cancelWait
	cancelOrder []*cancelWait
}

// submitWait is the deadline of all callers that wait for the submit record of a job.
type submitWait struct {
	job      oleanderline.JobID
	first    Token // the first caller that waits for the record
	deadline time.Time
}

type cancelWait struct {
	token     Token
	deadline  time.Time
	jobs      []oleanderline.JobID
	remaining int // jobs whose cancel record is not yet read back
	answered  bool
}

func newWaiters() waiters {
	return waiters{
		submits: map[oleanderline.JobID][]Token{},
		cancels: map[oleanderline.JobID][]*cancelWait{},
	}
}

// submit queues the record of a job, or answers at once if none is needed.
func (c *Core) submit(e Submit) {
	id := e.Job.ID
	if verdict, reason := c.checkSubmit(e.Job); verdict != 0 {
		c.answer(e.Token, verdict, reason, id)
		return
	}
	_, recording := c.waiters.submits[id]
	c.waiters.submits[id] = append(c.waiters.submits[id], e.Token)
	if recording {
		return
	}
	c.waiters.submitOrder = append(c.waiters.submitOrder, submitWait{
		job: id, first: e.Token, deadline: c.now.Add(c.cfg.Limits.AnswerTimeout),
	})
	spec := e.Job
	c.record(spec.Urgent, journal.Record{Kind: journal.KindSubmit, Job: &spec})
}

// checkSubmit returns the verdict and its reason for a job that needs no record, or 0 if the job must be recorded.
func (c *Core) checkSubmit(spec journal.Job) (Verdict, string) {
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
	case c.writer.PendingRecords() >= c.cfg.Limits.MaxPendingRecords:
		c.counters.Refused++
		return NotRun, "too many records wait for the log"
	case !c.fitsAnyWorker(spec.Size):
		return Impossible, "no worker of the region is large enough"
	case spec.Kind == oleanderline.KindBatch && c.quotas.RefusalReason(spec.Team, spec.Size) != "":
		return Impossible, c.quotas.RefusalReason(spec.Team, spec.Size)
	default:
		return 0, ""
	}
}

// fitsAnyWorker reports whether any worker of the region is large enough for the size. It returns true while no VM list has
// been read.
func (c *Core) fitsAnyWorker(size oleanderline.Size) bool {
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

// cancel queues the records of cancellations. Jobs that are finished or unknown need none.
func (c *Core) cancel(e Cancel) {
	if !c.owning {
		c.answer(e.Token, NotOwner, "another process owns the shard", e.Jobs...)
		return
	}
	wait := &cancelWait{token: e.Token, deadline: c.now.Add(c.cfg.Limits.AnswerTimeout), jobs: e.Jobs}
	record := journal.Record{Kind: journal.KindCancel}
	for _, id := range e.Jobs {
		j := c.jobs[id]
		if j == nil || len(j.tasks) == 0 {
			continue
		}
		wait.remaining++
		c.waiters.cancels[id] = append(c.waiters.cancels[id], wait)
		if !j.cancelPending {
			j.cancelPending = true
			record.Jobs = append(record.Jobs, id)
		}
	}
	if wait.remaining == 0 {
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
		wait.remaining--
		if wait.remaining == 0 && !wait.answered {
			wait.answered = true
			c.answer(wait.token, Accepted, "", wait.jobs...)
		}
	}
	delete(c.waiters.cancels, id)
}

// expireWaiters answers the callers whose deadline has passed. The record of a job is withdrawn if it was never sent.
func (c *Core) expireWaiters() {
	w := &c.waiters
	for len(w.submitOrder) > 0 && !c.now.Before(w.submitOrder[0].deadline) {
		first := w.submitOrder[0]
		w.submitOrder = w.submitOrder[1:]
		if tokens := w.submits[first.job]; len(tokens) > 0 && tokens[0] == first.first {
			c.failSubmits(first.job, "the log service does not answer")
		}
	}
	for len(w.cancelOrder) > 0 && !c.now.Before(w.cancelOrder[0].deadline) {
		c.failCancel(w.cancelOrder[0], "the log service does not answer")
		w.cancelOrder = w.cancelOrder[1:]
	}
}

func (c *Core) failCancel(wait *cancelWait, reason string) {
	if !wait.answered {
		wait.answered = true
		c.answer(wait.token, Uncertain, reason, wait.jobs...)
	}
}

func (c *Core) failSubmits(id oleanderline.JobID, reason string) {
	withdrawn := c.writer.Withdraw(func(record journal.Record) bool {
		return record.Kind == journal.KindSubmit && record.Job.ID == id
	})
	verdict := Uncertain
	if withdrawn {
		verdict = NotRun
		c.counters.Refused++
	}
	for _, token := range c.waiters.submits[id] {
		c.answer(token, verdict, reason, id)
	}
	delete(c.waiters.submits, id)
}

// failWaiters answers all callers when the ownership ends. A job record that may have been stored is read by every later
// owner, so its caller receives Uncertain and must repeat the request.
func (c *Core) failWaiters() {
	for _, wait := range c.waiters.submitOrder {
		if len(c.waiters.submits[wait.job]) > 0 {
			c.failSubmits(wait.job, "the shard changed its owner")
		}
	}
	for _, wait := range c.waiters.cancelOrder {
		c.failCancel(wait, "the shard changed its owner")
	}
	c.waiters = newWaiters()
}

// JobStatus returns the status of a job as far as this process has read it.
func (c *Core) JobStatus(id oleanderline.JobID) JobStatus {
	if j := c.jobs[id]; j != nil {
		return j.status()
	}
	return JobStatus{ID: id}
}
