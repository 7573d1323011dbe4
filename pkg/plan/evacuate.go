package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// checkInterval spaces the looks at all running tasks.
	checkInterval = 250 * time.Millisecond
	// maxLook bounds the time that one look counts for: before the first one, and while the process was paused, nothing is known.
	maxLook = time.Second
	// standstill is how long a run may show no progress at full pace before it is taken as stuck: a task seven times as long
	// as others of its kind still moves by a percent within it.
	standstill = 3 * time.Second
	// warmUp is how long a lasting task may take until it is at work.
	warmUp  = 4 * time.Second
	atWork  = 100 // percent
	minimum = 10  // percent from which progress tells the remaining time
	// leaveMargin is how long before its worker leaves a task is moved at the latest.
	leaveMargin = 500 * time.Millisecond
	// promiseFor covers the stop of a run and its start elsewhere.
	promiseFor = time.Second
)

// check moves tasks away from workers that leave, and stops runs that stand still.
func (p *Planner) check(now time.Time) {
	if now.Sub(p.checked) < checkInterval {
		return
	}
	since := now.Sub(p.checked)
	p.checked = now
	p.measureHeadroom(since)
	p.countLasting(min(since, maxLook))
	p.consolidate(now)
	for _, w := range p.workers {
		if !w.reported || w.silent {
			continue
		}
		for t := range w.tasks {
			if t.state != taskRunning {
				continue
			}
			switch {
			case w.leaves() && p.shouldLeave(w, t, now):
				p.move(t, "worker leaves", now)
			case p.shouldClear(w, t, now):
				p.move(t, "lasting tasks move together", now)
			case t.stuck(w.heard):
				w.health.ended(true, now)
				t.avoid = w.entry.ID
				p.move(t, "no progress", now)
			}
		}
	}
}

// move stops a run, whose task then starts again elsewhere from its checkpoint.
func (p *Planner) move(t *task, reason string, now time.Time) {
	p.note(NoteStop, t.runKey(), t.worker, reason)
	p.orderStop(t, now)
}

// shouldLeave reports whether a task should move from a worker that drains or is vacated: lasting tasks do as soon as there is room for
// them, others if they would not finish in time.
func (p *Planner) shouldLeave(w *worker, t *task, now time.Time) bool {
	if t.done {
		return false
	}
	if t.group.step.Lasting {
		return t.mayMiss() && p.roomElsewhere(t, now)
	}
	left := w.leavesAt.Sub(now)
	return left < t.remaining(now) && (t.group.step.Checkpoint || left < leaveMargin)
}

// roomElsewhere reports whether another worker can take a task now, and promises the room to it: tasks that are moved at the
// same time must not count on the same room.
func (p *Planner) roomElsewhere(t *task, now time.Time) bool {
	for _, w := range p.workers {
		if w.hasRoomFor(t, now) && w.promise(t.group.step.Size, now) {
			return true
		}
	}
	return false
}

// promise sets room aside for a task that is on its way, and reports false if there is not enough beside earlier promises.
func (w *worker) promise(size oleanderline.Size, now time.Time) bool {
	if now.After(w.promisedUntil) {
		w.promised = oleanderline.Size{}
	}
	promised := w.promised.Add(size)
	if !w.used.Add(promised).Fits(w.entry.Capacity) {
		return false
	}
	w.promised, w.promisedUntil = promised, now.Add(promiseFor)
	return true
}

// hasRoomFor reports whether a task could move to the worker.
func (w *worker) hasRoomFor(t *task, now time.Time) bool {
	return w != t.worker && w.usable(now) && w.suits(t.group) && w.holds(t.group) && (!w.cleared || !t.group.step.Lasting)
}

// remaining estimates the time to the end of a run from its progress, or from the step's estimate before there is any.
func (t *task) remaining(now time.Time) time.Duration {
	ran := now.Sub(t.began)
	if t.percent >= minimum {
		return ran * time.Duration(atWork-t.percent) / time.Duration(t.percent)
	}
	return max(0, t.group.step.Estimate-ran)
}

// stuck reports whether a run stands still for a cause of its own, as of the newest report.
func (t *task) stuck(heard time.Time) bool {
	if t.percent >= atWork || heard.Sub(t.moved) <= standstill {
		return false
	}
	if t.group.step.Lasting {
		return heard.Sub(t.began) > warmUp
	}
	return t.pace == paceFull && heard.Sub(t.paced) > standstill
}
