package plan

import (
	"math"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// consolidateInterval spaces decisions, so that the tasks of one worker have moved before the next one is chosen.
	consolidateInterval = time.Second
	// starvedAfter is how long a filler waits until it counts as starved.
	starvedAfter = time.Second
	// clearFor is how long a worker stays clear of lasting tasks after fillers were starved last.
	clearFor = 5 * time.Second
	// movingAtOnce bounds the share of the workers that lasting tasks are leaving at the same time.
	movingAtOnce = 0.1
	// lastingWaits is how long a lasting task leaves cleared workers aside.
	lastingWaits = 300 * time.Millisecond
	// consolidateSpare is the share of a worker's processors that must stay free elsewhere after its lasting tasks have moved:
	// room is scattered in pieces too small for some tasks.
	consolidateSpare = 0.25
)

// consolidate moves lasting tasks together, onto fewer workers, while fillers wait that would disturb them nearly everywhere. It
// answers a load in which lasting tasks come and go and are left on nearly all workers, a few on each: most of the room is free,
// and hardly any of it may be used by fillers.
func (p *Planner) consolidate(now time.Time) {
	if now.Sub(p.consolidated) < consolidateInterval {
		return
	}
	p.consolidated = now
	starved := p.starved(now)
	if starved > 0 {
		p.starvedAt = now
	}
	if now.Sub(p.starvedAt) > clearFor {
		for _, w := range p.workers {
			w.cleared = false
		}
		return
	}
	for range int(math.Ceil(movingAtOnce*float64(len(p.workers)))) - p.moving() {
		w := p.nextToClear(starved, now)
		if w == nil {
			return
		}
		w.cleared = true
		p.note(NoteWorker, oleanderline.RunKey{}, w, "is cleared of lasting tasks for fillers that wait")
	}
}

// starved returns the processors that fillers wait for.
func (p *Planner) starved(now time.Time) oleanderline.Millicores {
	var sum oleanderline.Millicores
	for g := range p.open {
		if !g.step.Filler {
			continue
		}
		for i := range g.tasks {
			if t := &g.tasks[i]; t.state == taskReady && now.Sub(t.queued) > starvedAfter {
				sum += g.step.Size.CPU
			}
		}
	}
	return sum
}

// moving counts the cleared workers that lasting tasks have not left yet.
func (p *Planner) moving() int {
	count := 0
	for _, w := range p.workers {
		if w.cleared && len(w.lasting) > 0 {
			count++
		}
	}
	return count
}

// nextToClear returns the worker whose lasting tasks are the least to move, or nil if the others have no room for them or the
// fillers that wait do not need the worker.
func (p *Planner) nextToClear(starved oleanderline.Millicores, now time.Time) *worker {
	var best *worker
	var room, cleared oleanderline.Millicores
	for _, w := range p.workers {
		if !w.usable(now) {
			continue
		}
		if w.cleared {
			cleared += w.leftover()
			continue
		}
		if len(w.lasting) == 0 {
			cleared += w.leftover()
			continue
		}
		room += w.free().CPU
		if p.clearable(w) && (best == nil || w.serving < best.serving || (w.serving == best.serving && w.entry.ID < best.entry.ID)) {
			best = w
		}
	}
	if best == nil || starved <= cleared {
		return nil
	}
	if h := p.headroom[best.entry.Pool]; h != nil {
		room -= max(0, h.kept())
	}
	need := best.serving + oleanderline.Millicores(consolidateSpare*float64(best.entry.Capacity.CPU))
	if room-best.free().CPU < need {
		return nil
	}
	return best
}

// clearable reports whether every lasting task with a target may leave the worker.
func (p *Planner) clearable(w *worker) bool {
	for t := range w.tasks {
		if t.group.step.TailTarget > 0 && (t.state != taskRunning || !t.mayMiss()) {
			return false
		}
	}
	return true
}

// shouldClear reports whether a lasting task should move from a worker that is cleared.
func (p *Planner) shouldClear(w *worker, t *task, now time.Time) bool {
	return w.cleared && t.group.step.TailTarget > 0 && !t.done && t.atWork() && t.mayMiss() && p.roomElsewhere(t, now)
}

// staysClear reports whether a task must leave a cleared worker aside.
func (w *worker) staysClear(t *task, now time.Time) bool {
	return w.cleared && t.group.step.TailTarget > 0 && now.Sub(t.queued) < lastingWaits
}
