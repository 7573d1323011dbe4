package plan

import (
	"math"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// consolidateInterval is the minimum time between decisions, so that the tasks of one worker have moved before the next
	// worker is chosen.
	consolidateInterval = time.Second
	// starvedAfter is how long a best-effort task is ready before it counts as starved.
	starvedAfter = time.Second
	// clearedTimeout is how long workers stay cleared of long-running tasks after the last time that best-effort tasks were starved.
	clearedTimeout = 5 * time.Second
	// maxClearingShare is the maximum share of workers that are being cleared at the same time.
	maxClearingShare = 0.1
	// avoidClearedTimeout is how long a ready long-running task is not placed on cleared workers.
	avoidClearedTimeout = 300 * time.Millisecond
	// consolidateMargin is the share of a worker's CPU that must stay free on other workers after its long-running tasks have
	// moved there: free capacity is fragmented, and some fragments are too small for a task.
	consolidateMargin = 0.25
)

// consolidate moves long-running tasks onto fewer workers while best-effort tasks are starved because they would interfere with such
// tasks on nearly every worker. This happens when long-running tasks come and go and leave a few of them on nearly every
// worker: most of the capacity is free, but best-effort tasks can use hardly any of it.
func (p *Planner) consolidate(now time.Time) {
	if now.Sub(p.consolidatedAt) < consolidateInterval {
		return
	}
	p.consolidatedAt = now
	starvedCPU := p.starvedCPU(now)
	if starvedCPU > 0 {
		p.starvedAt = now
	}
	if now.Sub(p.starvedAt) > clearedTimeout {
		for _, w := range p.workers {
			w.cleared = false
		}
		return
	}
	for range int(math.Ceil(maxClearingShare*float64(len(p.workers)))) - p.countClearing() {
		w := p.nextToClear(starvedCPU, now)
		if w == nil {
			return
		}
		w.cleared = true
		p.note(NoteWorker, oleanderline.RunKey{}, w, "clearing the worker of long-running tasks to make room for starved best-effort tasks")
	}
}

// starvedCPU returns the CPU that starved best-effort tasks need.
func (p *Planner) starvedCPU(now time.Time) oleanderline.Millicores {
	var sum oleanderline.Millicores
	for g := range p.ready {
		if !g.step.BestEffort {
			continue
		}
		for i := range g.tasks {
			if t := &g.tasks[i]; t.state == taskReady && now.Sub(t.readyAt) > starvedAfter {
				sum += g.step.Size.CPU
			}
		}
	}
	return sum
}

// countClearing returns the number of cleared workers that still have long-running tasks.
func (p *Planner) countClearing() int {
	count := 0
	for _, w := range p.workers {
		if w.cleared && len(w.servingImages) > 0 {
			count++
		}
	}
	return count
}

// nextToClear returns the worker whose long-running tasks need the least CPU. It returns nil if the other workers lack the
// room for these tasks, or if the starved best-effort tasks fit on workers that are free of long-running tasks already.
func (p *Planner) nextToClear(starvedCPU oleanderline.Millicores, now time.Time) *worker {
	var best *worker
	var freeCPU, clearedCPU oleanderline.Millicores
	for _, w := range p.workers {
		if !w.schedulable(now) {
			continue
		}
		if w.cleared {
			clearedCPU += w.leftoverCPU()
			continue
		}
		if len(w.servingImages) == 0 {
			clearedCPU += w.leftoverCPU()
			continue
		}
		freeCPU += w.free().CPU
		if p.clearable(w) && (best == nil || w.servingCPU < best.servingCPU || (w.servingCPU == best.servingCPU && w.entry.ID < best.entry.ID)) {
			best = w
		}
	}
	if best == nil || starvedCPU <= clearedCPU {
		return nil
	}
	if h := p.headroom[best.entry.Pool]; h != nil {
		freeCPU -= max(0, h.required())
	}
	need := best.servingCPU + oleanderline.Millicores(consolidateMargin*float64(best.entry.Capacity.CPU))
	if freeCPU-best.free().CPU < need {
		return nil
	}
	return best
}

// clearable reports whether every long-running task with a tail latency target may be moved off the worker.
func (p *Planner) clearable(w *worker) bool {
	for t := range w.tasks {
		if t.group.step.TailTarget > 0 && (t.state != taskRunning || !t.mayMove()) {
			return false
		}
	}
	return true
}

// shouldMoveOffCleared reports whether a long-running task should move now from a cleared worker. It reserves the room
// elsewhere.
func (p *Planner) shouldMoveOffCleared(w *worker, t *task, now time.Time) bool {
	return w.cleared && t.group.step.TailTarget > 0 && !t.done && t.isServing() && t.mayMove() && p.reserveElsewhere(t, now)
}

// avoidedBy reports whether a task must not be placed on a worker because the worker is cleared.
func (w *worker) avoidedBy(t *task, now time.Time) bool {
	return w.cleared && t.group.step.TailTarget > 0 && now.Sub(t.readyAt) < avoidClearedTimeout
}
