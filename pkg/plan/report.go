package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/speed"
)

// unreadJobTimeout is how long a reported run of an unknown job is not stopped: an earlier leader may have read the job from
// the log before this one.
const unreadJobTimeout = 3 * time.Second

// maxEndsPerReport is the highest number of ends in a report. The others follow once these are acknowledged.
const maxEndsPerReport = 500

// stopRepeatInterval is the interval at which a stop is ordered again while the run continues.
const stopRepeatInterval = time.Second

// Report processes a worker's report, the answer to a request that was sent at sent.
func (p *Planner) Report(id oleanderline.WorkerID, report oleanderline.WorkerReport, sent, now time.Time) {
	p.now = now
	w := p.workers[id]
	if w == nil {
		return
	}
	if w.isLate(report, sent) {
		return
	}
	if report.Life != w.incarnation {
		p.newIncarnation(w, report.Life)
	}
	if w.unreachable {
		w.unreachable = false
		p.note(NoteWorker, oleanderline.RunKey{}, w, "worker is reachable again")
	}
	w.confirmService()
	allEnds := p.handleEnds(w, report.Ended, now)
	listed := p.handleRunning(w, report.Running, now)
	p.observeSpeed(w, listed, now)
	p.handleMissing(w, listed, allEnds, sent, now)
	first := w.reportedAt.IsZero()
	w.reported, w.reportedAt = w.reported || allEnds, now
	if first {
		p.noteFirstReport(w)
	}
	if sent.After(w.callSentAt) {
		w.callSentAt = sent
	}
	p.controlBestEffort(w, now)
}

// handleEnds processes the ended runs in a worker's report that have not been processed yet. It reports whether these are all ends on
// the worker.
func (p *Planner) handleEnds(w *worker, ends []oleanderline.RunEnd, now time.Time) (all bool) {
	for _, end := range ends {
		if end.Number <= w.processed {
			continue
		}
		if p.isUnread(end.Key, w) {
			return false // the ends after it wait as well, because acknowledging a later end would cover this one
		}
		w.processed = end.Number
		if t := p.task(end.Key.Task); t != nil {
			p.handleEnd(w, t, end, now)
		}
	}
	return len(ends) < maxEndsPerReport
}

func (p *Planner) handleEnd(w *worker, t *task, end oleanderline.RunEnd, now time.Time) {
	p.note(NoteEnd, end.Key, w, end.How.String())
	ended := t.runningOn(w)
	if ended != nil && ended.run != end.Key.Run {
		ended = nil
	}
	t.noteEnded(end.Key.Run)
	if end.Checkpoint != "" && (ended == t || t.worker == nil) {
		t.checkpoint = end.Checkpoint
	}
	switch end.How {
	case oleanderline.EndDone:
		p.recordSuccess(t, w, now)
		w.rampFinished(t)
		if ended != nil {
			p.observeDone(ended, now)
			if ended.original != nil && !t.done {
				p.copies.Won++
			}
		}
		if !t.group.step.LongRunning {
			p.complete(t)
		}
	case oleanderline.EndFailed:
		p.recordFailure(t, w, now)
		t.avoidWorker = w.entry.ID
		p.countFailure(t, end.Key.Run)
	}
	if t.done {
		p.stopOther(t, ended)
	}
	switch {
	case ended != nil:
		p.release(ended)
	case t.worker == nil:
		p.enqueue(t)
	}
}

// handleRunning processes the running runs in a worker's report. It stops runs that should not exist, and returns the tasks of the others.
func (p *Planner) handleRunning(w *worker, running []oleanderline.RunStatus, now time.Time) map[*task]struct{} {
	listed := make(map[*task]struct{}, len(running))
	w.unknownRuns = 0
	notedBefore := w.unexpectedRuns
	p.forgetUnexpected(w)
	for _, status := range running {
		t := p.task(status.Key.Task)
		if t == nil || !p.handleStatus(w, t, status, now) {
			w.unknownRuns++
			if p.isUnread(status.Key, w) {
				continue
			}
			p.orders = append(p.orders, Order{Kind: OrderStop, Worker: w.entry.ID, Life: w.incarnation, Key: status.Key})
			p.noteUnexpected(w, status.Key, t, notedBefore)
			continue
		}
		listed[t.runningOn(w)] = struct{}{}
	}
	return listed
}

// forgetUnexpected forgets the unexpected runs in a worker's newest report.
func (p *Planner) forgetUnexpected(w *worker) {
	for key := range w.unexpectedRuns {
		p.unexpected[key.Task]--
		if p.unexpected[key.Task] == 0 {
			delete(p.unexpected, key.Task)
		}
	}
	w.unexpectedRuns = nil
}

// handleMissing releases the tasks of a worker whose run is missing from a report, and orders stops again that have not succeeded. It
// releases nothing unless the report had all ends, because the run may have ended as done.
func (p *Planner) handleMissing(w *worker, listed map[*task]struct{}, allEnds bool, sent, now time.Time) {
	for t := range w.tasks {
		if _, ok := listed[t]; ok {
			continue
		}
		if t.state == taskStopping && t.answeredAt.IsZero() && now.Sub(t.stopOrderedAt) >= stopRepeatInterval {
			p.orderStop(t, now) // the last stop has not succeeded
			continue
		}
		if !allEnds || t.answeredAt.IsZero() || !sent.After(t.answeredAt) {
			continue
		}
		if t.stopFirst {
			p.note(NoteStop, t.runKey(), w, "run is gone after a restart of its worker, but a call of its start may still be carried out")
			p.orderStop(t, now)
			continue
		}
		if t.state == taskStopping && t.stoppedOn == w.incarnation && !sent.After(t.answeredAt.Add(p.settings.StopGrace)) {
			continue // a run that is being stopped may be missing before its end is listed
		}
		if t.state == taskRunning || t.state == taskStopping {
			p.noteLost(t, "run is missing from the report of its worker", Loss{RequestedAt: sent})
			p.release(t)
		}
	}
}

// handleStatus processes the status of a run of a known task. It returns false if the run should be stopped.
func (p *Planner) handleStatus(w *worker, t *task, status oleanderline.RunStatus, now time.Time) bool {
	if listed := t.runningOn(w); listed != nil && listed.adopted && status.Key.Run > listed.run {
		// The worker has restarted, and an earlier leader has started the task there again.
		p.noteLost(listed, "an earlier leader has replaced the run", Loss{})
		p.release(listed)
	}
	p.adoptIfExpected(w, t, status.Key.Run, now)
	t = t.runningOn(w)
	if t == nil || t.run != status.Key.Run {
		return false
	}
	t.unreported, t.listed = false, true
	if status.Checkpoint != "" {
		t.checkpoint = status.Checkpoint
	}
	if status.Percent >= percentComplete && t.percent < percentComplete && t.group.step.LongRunning {
		w.rampFinished(t)
	}
	if status.Percent != t.percent {
		t.percent, t.progressAt = status.Percent, now
	}
	t.gauge = status.Gauge
	if !t.pace.Started() {
		t.pace.Start(status.Percent, now)
	}
	switch {
	case t.state == taskStarting:
		t.state, t.answeredAt = taskRunning, now
		p.recordStart(t)
	case t.state == taskStopping && now.Sub(t.stopOrderedAt) >= stopRepeatInterval:
		p.orderStop(t, now)
	case t.state == taskRunning && t.done && !t.group.step.Gang:
		p.stop(t, "task is done")
	}
	return true
}

// adopt takes over a run that an earlier leader has started.
func (p *Planner) adopt(w *worker, t *task, run int, now time.Time) {
	p.dequeue(t)
	if t.group.step.Gang {
		p.dequeueGang(t.group) // its tasks start together, once all of them are idle
	}
	t.run, t.state, t.answeredAt, t.startedAt, t.progressAt = run, taskRunning, now, now, now
	t.noteHighest(run)
	t.pace = speed.Run{}             // its progress is known with the next status
	t.throttle, t.adopted = -1, true // the throttle is unknown
	t.startUnanswered, t.stopFirst, t.listed = false, false, true
	w.adopted++
	p.charge(t, w)
	p.recordStart(t)
}

// recordStart records the first start of a job.
func (p *Planner) recordStart(t *task) {
	j := t.group.job
	if !j.progress.Started && j.active() {
		p.firstStarts = append(p.firstStarts, p.now.Sub(j.arrived))
		j.progress.Started = true
		p.dirty[j] = struct{}{}
	}
}

func (p *Planner) orderStop(t *task, now time.Time) {
	t.state, t.answeredAt, t.stopOrderedAt, t.stopFirst = taskStopping, time.Time{}, now, false
	p.orders = append(p.orders, Order{Kind: OrderStop, Worker: t.worker.entry.ID, Life: t.worker.incarnation, Key: t.runKey()})
}
