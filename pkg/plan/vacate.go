package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// vacateTimeout is how long a batch task may continue on a vacated worker if it would finish in that time.
const vacateTimeout = 1500 * time.Millisecond

// Vacate sets which workers are vacated for maintenance: no task starts there, and the tasks there move away.
func (p *Planner) Vacate(ids []oleanderline.WorkerID, now time.Time) {
	wanted := map[oleanderline.WorkerID]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	for id, w := range p.workers {
		if wanted[id] && !w.vacating {
			w.evacuateBy = now.Add(vacateTimeout)
			p.note(NoteWorker, oleanderline.RunKey{}, w, "vacating the worker for maintenance")
		}
		w.vacating = wanted[id]
	}
}

// TakeDown records that the VM of a worker goes down, so that the tasks there no longer count as serving: their end is reported late or
// never.
func (p *Planner) TakeDown(id oleanderline.WorkerID) {
	if w := p.workers[id]; w != nil {
		w.takenDown = true
	}
}

// Spare takes back TakeDown: the VM of the worker does not go down.
func (p *Planner) Spare(id oleanderline.WorkerID) {
	if w := p.workers[id]; w != nil {
		w.takenDown = false
	}
}

// Empty reports whether no task runs on a worker, by its newest report.
func (p *Planner) Empty(id oleanderline.WorkerID) bool {
	w := p.workers[id]
	return w == nil || (len(w.tasks) == 0 && w.unknownRuns == 0 && w.reported)
}

// shortageAfter is how long a long-running task that has run before waits for room until the cell counts as short of capacity.
const shortageAfter = 2500 * time.Millisecond

// ShortOfCapacity reports whether the cell is short of capacity: long-running tasks that have run before wait for room.
func (p *Planner) ShortOfCapacity() bool {
	for g := range p.ready {
		if !g.step.LongRunning {
			continue
		}
		for i := range g.tasks {
			if t := &g.tasks[i]; t.state == taskReady && t.run > 0 && p.now.Sub(t.readyAt) > shortageAfter {
				return true
			}
		}
	}
	return false
}

// MayStopAll reports whether all tasks on a worker may be ended at once, so that no step then has more unavailable tasks
// than its MaxUnavailable allows. While it is not known which tasks run there, they may not.
func (p *Planner) MayStopAll(id oleanderline.WorkerID) bool {
	w := p.workers[id]
	if w == nil {
		return true
	}
	if w.reportAwaited() || w.unknownRuns > 0 {
		return false
	}
	here := map[*group]int{}
	for t := range w.tasks {
		if t.group.step.MaxUnavailable != nil {
			here[t.group]++
		}
	}
	for g, count := range here {
		if g.unavailable(w)+count > *g.step.MaxUnavailable {
			return false
		}
	}
	return true
}

// unavailable returns the number of tasks of a step that are not serving. It leaves out the tasks on w.
func (g *group) unavailable(w *worker) int {
	count := 0
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.worker == nil || (t.worker != w && !t.isServing()) {
			count++
		}
	}
	return count
}

// mayMove reports whether a long-running task may be unavailable while it moves. On a draining worker it always may, because
// waiting would only lose it later.
func (t *task) mayMove() bool {
	bound := t.group.step.MaxUnavailable
	return bound == nil || t.worker.entry.Draining || t.group.unavailable(nil) < *bound
}

// evacuating reports whether the worker drains or is vacated, so that its tasks should move away.
func (w *worker) evacuating() bool { return w.entry.Draining || w.vacating }
