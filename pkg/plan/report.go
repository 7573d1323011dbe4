package plan

import (
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
)

// awaitJob is how long a run of a job that is not known is left alone: an earlier leader may have read the job first.
const awaitJob = 3 * time.Second

// stopRepeat is how often a stop is ordered again while the run goes on.
const stopRepeat = time.Second

// Report takes in what a worker says, in answer to a request that was sent at sent.
func (p *Planner) Report(id oleanderline.WorkerID, report oleanderline.WorkerReport, sent, now time.Time) {
	p.now = now
	w := p.workers[id]
	if w == nil {
		return
	}
	if report.Life < w.life {
		return // an answer of an earlier life, overtaken
	}
	if report.Life != w.life {
		p.newLife(w, report.Life)
	}
	if w.silent {
		w.silent = false
		p.note(NoteWorker, oleanderline.RunKey{}, w, "answers again")
	}
	p.takeEnds(w, report.Ended, now)
	p.takeRunning(w, report.Running, sent, now)
	w.reported, w.heard = true, now
	if sent.After(w.asked) {
		w.asked = sent
	}
	p.controlPace(w, now)
}

// newLife begins a new life of a worker. Which tasks it has lost is told by its lists: a start that was ordered in the
// earlier life may have been carried out in the new one.
func (p *Planner) newLife(w *worker, life oleanderline.WorkerLife) {
	if w.life != 0 {
		p.note(NoteWorker, oleanderline.RunKey{}, w, "started again")
	}
	w.life, w.seen, w.acked = life, 0, 0
	w.health = health{}
}

func (p *Planner) takeEnds(w *worker, ends []oleanderline.RunEnd, now time.Time) {
	for _, end := range ends {
		if end.Number <= w.seen {
			continue
		}
		if p.awaited(end.Key, w) {
			return // and the ends after it, so that none is acknowledged before its job is read
		}
		w.seen = end.Number
		if t := p.task(end.Key.Task); t != nil {
			p.takeEnd(w, t, end, now)
		}
	}
}

func (p *Planner) takeEnd(w *worker, t *task, end oleanderline.RunEnd, now time.Time) {
	p.note(NoteEnd, end.Key, w, end.How.String())
	t.run = max(t.run, end.Key.Run)
	current := t.worker == w && t.runKey() == end.Key
	if end.Checkpoint != "" && (current || t.worker == nil) {
		t.saved = end.Checkpoint
	}
	switch end.How {
	case oleanderline.EndDone:
		w.health.ended(false, now)
		if !t.group.step.Lasting {
			p.complete(t)
		}
	case oleanderline.EndFailed:
		w.health.ended(!t.group.step.Lasting, now)
		t.avoid = w.entry.ID
		p.fail(t, end.Key.Run)
	}
	switch {
	case current:
		p.release(t)
	case t.done:
		p.stop(t, "another run is done")
	case t.worker == nil:
		p.queue(t)
	}
}

func (p *Planner) takeRunning(w *worker, running []oleanderline.RunStatus, sent, now time.Time) {
	listed := make(map[*task]struct{}, len(running))
	w.strangers = 0
	for _, status := range running {
		t := p.task(status.Key.Task)
		if t == nil || !p.takeStatus(w, t, status, now) {
			w.strangers++
			if p.awaited(status.Key, w) {
				continue
			}
			p.orders = append(p.orders, Order{Kind: OrderStop, Worker: w.entry.ID, Life: w.life, Key: status.Key})
			continue
		}
		listed[t] = struct{}{}
	}
	for t := range w.tasks {
		if _, ok := listed[t]; ok {
			continue
		}
		if t.state == taskLeaving && t.since.IsZero() && now.Sub(t.stopping) >= stopRepeat {
			p.orderStop(t, now) // the last stop was not answered
			continue
		}
		if t.since.IsZero() || !sent.After(t.since) {
			continue
		}
		if t.state == taskRunning || t.state == taskLeaving {
			p.note(NoteLost, t.runKey(), w, "not listed by its worker")
			p.release(t)
		}
	}
}

// takeStatus takes in one run of a known task, and reports false if it should not run there.
func (p *Planner) takeStatus(w *worker, t *task, status oleanderline.RunStatus, now time.Time) bool {
	if t.worker == nil && !t.done && t.group.job.active() && status.Key.Run >= t.run {
		p.adopt(w, t, status.Key.Run, now)
	}
	if t.worker != w || t.run != status.Key.Run {
		return false
	}
	t.unseen = false
	if status.Checkpoint != "" {
		t.saved = status.Checkpoint
	}
	if status.Percent != t.percent {
		t.percent, t.moved = status.Percent, now
	}
	t.gauge = status.Gauge
	switch {
	case t.state == taskStarting:
		t.state, t.since = taskRunning, now
		p.started(t)
	case t.state == taskLeaving && now.Sub(t.stopping) >= stopRepeat:
		p.orderStop(t, now)
	case t.state == taskRunning && t.done && !t.group.step.Gang:
		p.stop(t, "task is done")
	}
	return true
}

// adopt takes over a run that an earlier leader has started.
func (p *Planner) adopt(w *worker, t *task, run int, now time.Time) {
	p.unready(t)
	t.run, t.state, t.since, t.began, t.moved = run, taskRunning, now, now, now
	t.pace = -1 // unknown
	p.charge(t, w)
	p.started(t)
}

func (p *Planner) started(t *task) {
	j := t.group.job
	if !j.progress.Started && j.active() {
		p.firsts = append(p.firsts, p.now.Sub(j.arrived))
		j.progress.Started = true
		p.dirty[j] = struct{}{}
	}
}

// stop orders the end of a task's run, or takes the task out of the queue if it has none.
func (p *Planner) stop(t *task, reason string) {
	switch t.state {
	case taskReady:
		p.unready(t)
	case taskStarting, taskRunning:
		p.note(NoteStop, t.runKey(), t.worker, reason)
		p.orderStop(t, p.now)
	}
}

func (p *Planner) orderStop(t *task, now time.Time) {
	t.state, t.since, t.stopping = taskLeaving, time.Time{}, now
	p.orders = append(p.orders, Order{Kind: OrderStop, Worker: t.worker.entry.ID, Life: t.worker.life, Key: t.runKey()})
}

// Answered takes in how an order ended.
func (p *Planner) Answered(result Result, now time.Time) {
	p.now = now
	t := p.task(result.Order.Key.Task)
	if t == nil || t.worker == nil || t.worker.entry.ID != result.Order.Worker || t.run != result.Order.Key.Run {
		return
	}
	if t.worker.life != result.Order.Life && result.Order.Kind != OrderStart {
		return
	}
	switch result.Order.Kind {
	case OrderStart:
		p.startAnswered(t, result, now)
	case OrderStop:
		p.stopAnswered(t, result, now)
	case OrderPace:
		if result.Err != nil {
			t.pace = -1 // unknown: the next report orders it again
		}
	}
}

func (p *Planner) startAnswered(t *task, result Result, now time.Time) {
	if t.state != taskStarting {
		return
	}
	if result.Err == nil {
		t.state, t.since, t.moved = taskRunning, now, now
		p.started(t)
		return
	}
	w := t.worker
	var refused *oleanderline.RefusedError
	if errors.As(result.Err, &refused) && refused.Reason == oleanderline.RefusedRoom {
		w.fullUntil = now.Add(fullPause)
	}
	if refused != nil && refused.Reason == oleanderline.RefusedTicket {
		delete(t.group.tickets, w.entry.ID)
	}
	p.note(NoteStop, t.runKey(), w, result.Err.Error())
	if errors.As(result.Err, &refused) && refused.Reason == oleanderline.RefusedUnhealthy {
		w.fullUntil = now.Add(unhealthyPause)
	}
	if p.surelyNotStarted(result, refused) {
		p.release(t)
		return
	}
	p.orderStop(t, now)
}

// surelyNotStarted reports whether no call of a start can have had, or have later, an effect.
func (p *Planner) surelyNotStarted(result Result, refused *oleanderline.RefusedError) bool {
	if result.Attempts > 1 {
		return false
	}
	if refused == nil {
		return errors.Is(result.Err, oleanderline.ErrUnavailable)
	}
	return refused.Reason != oleanderline.RefusedOld
}

func (p *Planner) stopAnswered(t *task, result Result, now time.Time) {
	if t.state == taskLeaving && result.Err == nil {
		t.since = now
	}
}
