package plan

import "time"

// runningOn returns the run of the task that holds room on a worker, which is the task itself or its speculative copy; nil if there is none.
func (t *task) runningOn(w *worker) *task {
	switch {
	case w == nil:
		return nil
	case t.worker == w:
		return t
	case t.speculative != nil && t.speculative.worker == w:
		return t.speculative
	}
	return nil
}

// newSpeculative adds a speculative copy to a task that has none.
func (t *task) newSpeculative() *task {
	t.speculative = &task{group: t.group, index: t.index, original: t, checkpoint: t.checkpoint}
	return t.speculative
}

// promote makes the speculative copy of a task its only run, after the other run has ended.
func (p *Planner) promote(t *task) {
	c, ended := t.speculative, *t
	delete(c.worker.tasks, c)
	*t = *c
	t.speculative, t.original = nil, nil
	t.done, t.failures, t.highest = ended.done, ended.failures, ended.highest
	t.unreported, t.inheritedWorkers, t.avoidWorker, t.readyAt = ended.unreported, ended.inheritedWorkers, ended.avoidWorker, ended.readyAt
	t.worker.tasks[t] = struct{}{}
}

// noteHighest records a run number of a task or of its speculative copy.
func (t *task) noteHighest(run int) {
	if t.original != nil {
		t = t.original
	}
	t.highest = max(t.highest, run)
}

// noteEnded records the number of a run that has ended. An end of a higher number shows that the run in progress has been replaced, unless
// the step allows copies, which have numbers of their own.
func (t *task) noteEnded(run int) {
	t.highest = max(t.highest, run)
	if t.worker == nil || !t.group.step.AllowsCopies() {
		t.run = max(t.run, run)
	}
}

// adoptIfExpected adopts a run of a task that needs one, or the second run of a task of which the step allows copies.
func (p *Planner) adoptIfExpected(w *worker, t *task, run int, now time.Time) {
	if t.done || !t.group.job.active() {
		return
	}
	copied := t.group.step.AllowsCopies() && run <= p.runBase // the number may be lower than that of a run that has ended
	switch {
	case t.worker == nil && (run >= t.run || copied):
		p.adopt(w, t, run, now)
	case t.worker != nil && t.speculative == nil && copied && t.runningOn(w) == nil:
		p.adopt(w, t.newSpeculative(), run, now)
	}
}

// stop orders the stop of a task's runs, or removes a ready task from the queue.
func (p *Planner) stop(t *task, reason string) {
	if t.speculative != nil {
		p.stopRun(t.speculative, reason)
	}
	p.stopRun(t, reason)
}

// stopOther orders the stop of the runs of a task that is done, without the run that has just ended; nil if that is none of them.
func (p *Planner) stopOther(t, ended *task) {
	const reason = "another run of the task is done"
	if t.speculative != nil && t.speculative != ended {
		p.stopRun(t.speculative, reason)
	}
	if t != ended {
		p.stopRun(t, reason)
	}
}

func (p *Planner) stopRun(t *task, reason string) {
	switch t.state {
	case taskReady:
		p.dequeue(t)
	case taskStarting, taskRunning:
		if t.original != nil {
			p.copies.Stopped++
		}
		p.note(NoteStop, t.runKey(), t.worker, reason)
		p.orderStop(t, p.now)
	}
}

// CopyCounts counts speculative copies.
type CopyCounts struct {
	Started int
	Won     int // that were done before the other run of their task
	Stopped int // that were stopped, because another run of their task was done or the job has ended
}

// CopyCounts returns the counts since the last call.
func (p *Planner) CopyCounts() CopyCounts {
	counts := p.copies
	p.copies = CopyCounts{}
	return counts
}
