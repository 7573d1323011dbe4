package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// vacateFor is how long batch tasks may go on where they would finish, on a worker that is to be empty.
const vacateFor = 1500 * time.Millisecond

// Vacate tells which workers are to become empty: nothing new starts there, and what runs there leaves.
func (p *Planner) Vacate(ids []oleanderline.WorkerID, now time.Time) {
	wanted := map[oleanderline.WorkerID]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	for id, w := range p.workers {
		if wanted[id] && !w.vacating {
			w.leavesAt = now.Add(vacateFor)
			p.note(NoteWorker, oleanderline.RunKey{}, w, "is vacated for maintenance")
		}
		w.vacating = wanted[id]
	}
}

// Empty reports whether nothing runs on a worker, as far as is known.
func (p *Planner) Empty(id oleanderline.WorkerID) bool {
	w := p.workers[id]
	return w == nil || (len(w.tasks) == 0 && w.strangers == 0 && w.reported)
}

// crowdedAfter is how long a lasting task that has run waits for room until the cell counts as crowded.
const crowdedAfter = 2500 * time.Millisecond

// Crowded reports whether lasting tasks that have run before wait for room.
func (p *Planner) Crowded() bool {
	for g := range p.open {
		if !g.step.Lasting {
			continue
		}
		for i := range g.tasks {
			if t := &g.tasks[i]; t.state == taskReady && t.run > 0 && p.now.Sub(t.queued) > crowdedAfter {
				return true
			}
		}
	}
	return false
}

// MayEnd reports whether all that runs on a worker may be ended at once: of no step are more tasks away then than may be.
func (p *Planner) MayEnd(id oleanderline.WorkerID) bool {
	w := p.workers[id]
	if w == nil {
		return true
	}
	here := map[*group]int{}
	for t := range w.tasks {
		if t.group.step.MayMiss != nil {
			here[t.group]++
		}
	}
	for g, count := range here {
		if g.away(w)+count > *g.step.MayMiss {
			return false
		}
	}
	return true
}

// away counts the tasks of a step that are not at work on any worker but w.
func (g *group) away(w *worker) int {
	away := 0
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.worker == nil || (t.worker != w && !t.atWork()) {
			away++
		}
	}
	return away
}

// mayMiss reports whether one more task of the step may be away while it moves. Where its worker leaves anyway, waiting
// would only lose it later.
func (t *task) mayMiss() bool {
	bound := t.group.step.MayMiss
	return bound == nil || t.worker.entry.Draining || t.group.away(nil) < *bound
}

// leaves reports whether tasks should leave the worker.
func (w *worker) leaves() bool { return w.entry.Draining || w.vacating }
