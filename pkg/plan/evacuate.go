package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// checkInterval is the minimum time between checks of all running tasks.
	checkInterval = 250 * time.Millisecond
	// maxCheckGap is the maximum time that one check adds to the service level: the state before the first check, and while the
	// process was paused, is unknown.
	maxCheckGap = time.Second
	// stuckTimeout is how long a run at full speed may report no progress before it counts as stuck. A task that takes seven
	// times as long as others of its kind still advances by one percent in this time.
	stuckTimeout = 3 * time.Second
	// startupTimeout is how long a long-running task may take to start serving.
	startupTimeout = 4 * time.Second
	// percentComplete is the progress at which a task is complete, or a long-running task serves.
	percentComplete = 100
	// minPercentToExtrapolate is the progress in percent from which the remaining time of a run is extrapolated.
	minPercentToExtrapolate = 10
	// evacuateMargin is how long before its worker goes away a task without checkpoints is stopped at the latest.
	evacuateMargin = 500 * time.Millisecond
	// reservationLifetime is the lifetime of a reservation. It covers the stop of a run and its start on the other worker.
	reservationLifetime = time.Second
)

// checkRunning moves tasks off workers that drain or are vacated or that their image leaves, and restarts stuck runs on other workers. It also
// updates the headroom and the service levels.
func (p *Planner) checkRunning(now time.Time) {
	if now.Sub(p.checkedAt) < checkInterval {
		return
	}
	since := now.Sub(p.checkedAt)
	p.checkedAt = now
	p.updateHeadroom(since)
	p.countLongRunning(min(since, maxCheckGap))
	p.consolidate(now)
	p.checkDomains(now)
	for _, w := range p.workers {
		w.endRamp(now)
		if !w.reported || w.service != serviceOpen || w.unreachable {
			continue
		}
		for t := range w.tasks {
			if t.state != taskRunning {
				continue
			}
			switch {
			case w.evacuating() && p.shouldEvacuate(w, t, now):
				p.move(t, "worker is draining or vacated", now)
			case p.shouldMoveAway(w, t, now):
				p.move(t, "moving images of long-running tasks apart", now)
			case t.stuck(w.reportedAt):
				w.health.record(true, now)
				t.avoidWorker = w.entry.ID
				p.move(t, "no progress", now)
			}
		}
	}
}

// move stops a run. Once it has ended, its task is queued again and resumes from its checkpoint, usually on another worker.
func (p *Planner) move(t *task, reason string, now time.Time) {
	p.note(NoteStop, t.runKey(), t.worker, reason)
	p.orderStop(t, now)
}

// shouldEvacuate reports whether a task should move now from a worker that drains or is vacated. A long-running task moves as
// soon as another worker has room for it. Any other task moves if it would not finish in time: at once if it has
// checkpoints, otherwise shortly before the worker goes away.
func (p *Planner) shouldEvacuate(w *worker, t *task, now time.Time) bool {
	if t.done {
		return false
	}
	if t.group.step.LongRunning {
		return t.mayMove() && p.reserveElsewhere(t, now)
	}
	left := w.evacuateBy.Sub(now)
	return left < t.remaining(now) && (t.group.step.Checkpoint || left < evacuateMargin)
}

// reserveElsewhere reserves room for a task on another worker, or reports false if none has room. The reservation keeps tasks
// that move at the same time from counting on the same room.
func (p *Planner) reserveElsewhere(t *task, now time.Time) bool {
	for _, w := range p.workers {
		if w.canReceive(t, now) && w.reserve(t.group.step.Size, now) {
			return true
		}
	}
	return false
}

// reserve reserves room for a task that moves to the worker, or reports false if the room left by earlier reservations is too
// small. Reservations expire together, reservationLifetime after the newest one.
func (w *worker) reserve(size oleanderline.Size, now time.Time) bool {
	if now.After(w.reservedUntil) {
		w.reserved = oleanderline.Size{}
	}
	reserved := w.reserved.Add(size)
	if !w.used.Add(reserved).Fits(w.entry.Capacity) || !w.rampAdmits(w.reserved.CPU, size.CPU) {
		return false
	}
	w.reserved, w.reservedUntil = reserved, now.Add(reservationLifetime)
	return true
}

// canReceive reports whether a task could move to the worker, without regard to reservations.
func (w *worker) canReceive(t *task, now time.Time) bool {
	return w != t.worker && w.schedulable(now) && w.matches(t.group) && w.hasRoom(t.group) && !w.changesImages(t)
}

// remaining estimates the time to the end of a run: from its progress, or from the step's estimate while the progress is
// below minPercentToExtrapolate.
func (t *task) remaining(now time.Time) time.Duration {
	ran := now.Sub(t.startedAt)
	if t.percent >= minPercentToExtrapolate {
		return ran * time.Duration(percentComplete-t.percent) / time.Duration(t.percent)
	}
	return max(0, t.group.step.Estimate-ran)
}

// stuck reports whether a run is stuck, as of the report of its worker at reportedAt: a long-running task that does not serve
// after startupTimeout, or any other task that makes no progress at full speed.
func (t *task) stuck(reportedAt time.Time) bool {
	if t.percent >= percentComplete || reportedAt.Sub(t.progressAt) <= stuckTimeout {
		return false
	}
	if t.group.step.LongRunning {
		return reportedAt.Sub(t.startedAt) > startupTimeout
	}
	return t.throttle == throttleFull && reportedAt.Sub(t.throttleOrderedAt) > stuckTimeout
}
