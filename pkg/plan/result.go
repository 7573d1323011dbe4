package plan

import (
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
)

// HandleResult processes the outcome of an order.
func (p *Planner) HandleResult(result Result, now time.Time) {
	p.now = now
	t := p.task(result.Order.Key.Task)
	if t != nil {
		t = t.runningOn(p.workers[result.Order.Worker])
	}
	if t == nil || t.run != result.Order.Key.Run {
		return
	}
	if t.worker.incarnation != result.Order.Life && result.Order.Kind != OrderStart {
		return
	}
	switch result.Order.Kind {
	case OrderStart:
		p.handleStartResult(t, result, now)
	case OrderStop:
		p.handleStopResult(t, result, now)
	case OrderThrottle:
		if result.Err != nil {
			t.throttle = -1 // unknown, so it is ordered again after the next report
		}
	}
}

func (p *Planner) handleStartResult(t *task, result Result, now time.Time) {
	if result.startUnanswered() {
		t.startUnanswered, t.stopFirst = true, t.stopFirst || result.Order.Life != t.worker.incarnation
	}
	if t.state != taskStarting {
		return
	}
	if result.Err == nil {
		t.state, t.answeredAt, t.progressAt = taskRunning, now, now
		t.pace.Start(0, now)
		p.recordStart(t)
		return
	}
	w := t.worker
	var refused *oleanderline.RefusedError
	switch {
	case !errors.As(result.Err, &refused):
		w.backOff(now.Add(failedStartBackoff))
	case refused.Reason == oleanderline.RefusedTicket:
		delete(t.group.tickets, w.entry.ID)
	case refused.Reason == oleanderline.RefusedUnhealthy:
		w.backOff(now.Add(unhealthyBackoff))
	default:
		w.backOff(now.Add(failedStartBackoff))
	}
	released := p.certainlyNotStarted(result, refused)
	failure := &StartFailure{Attempts: result.Attempts, Took: result.Took, Released: released}
	p.addNote(Note{Kind: NoteStop, Run: t.runKey(), Reason: result.Err.Error(), Failure: failure}, w)
	if released {
		p.release(t)
		return
	}
	p.orderStop(t, now)
}

// certainlyNotStarted reports whether a failed start certainly has not taken effect and cannot do so later.
func (p *Planner) certainlyNotStarted(result Result, refused *oleanderline.RefusedError) bool {
	if result.Attempts > 1 {
		return false
	}
	if refused == nil {
		return errors.Is(result.Err, oleanderline.ErrUnavailable)
	}
	return refused.Reason != oleanderline.RefusedStale
}

func (p *Planner) handleStopResult(t *task, result Result, now time.Time) {
	if t.state == taskStopping && result.Err == nil {
		t.answeredAt, t.stoppedOn = now, t.worker.incarnation
	}
}
