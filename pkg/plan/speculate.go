package plan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/speculation"
)

const (
	// speculateInterval is the minimum time between searches for runs that a second run would overtake.
	speculateInterval = 100 * time.Millisecond
	// maxCopiesPerPass bounds the second runs that are started in one pass, because workers are ranked for each.
	maxCopiesPerPass = 16
	// startOverhead is the time from the decision to start a run until its worker is at work, and from its end until the leader knows.
	startOverhead = 50 * time.Millisecond
	// silenceBeforeCopy is how old the newest report of an unreachable worker has to be before second runs replace its runs. A worker that has
	// left one renewal unanswered has usually reported again by then: a renewal and its timeout take somewhat over a second.
	silenceBeforeCopy = 1600 * time.Millisecond
)

// candidate is a run that a second run would overtake.
type candidate struct {
	task *task
	run  speculation.Run
}

// speculate starts second runs of tasks whose runs take long, at most maxStarts. maxStarts is negative if a gang has needed more starts than
// the pass has. None are started in a pool in which a task that has no run waits for room.
func (p *Planner) speculate(now time.Time, maxStarts int) {
	if p.settings.NoCopies || maxStarts <= 0 || now.Sub(p.speculatedAt) < speculateInterval {
		return
	}
	p.speculatedAt = now
	candidates := p.overtaken(now)
	if len(candidates) == 0 {
		return
	}
	rooms := p.copyRooms(now)
	for _, c := range candidates[:min(len(candidates), maxStarts, maxCopiesPerPass)] {
		if room := rooms[c.task.group.job.queue.Pool]; room != nil && p.startCopy(c, room, now) {
			p.copies.Started++
		}
	}
}

// overtaken returns the runs that a second run would overtake, those first that gain most.
func (p *Planner) overtaken(now time.Time) []candidate {
	var candidates []candidate
	for _, w := range p.workers {
		for t := range w.tasks {
			if t.original != nil || t.speculative != nil || t.done || !t.group.step.AllowsCopies() || !t.group.job.active() {
				continue
			}
			if run := p.speculationRun(t, now); run.Worthwhile() {
				candidates = append(candidates, candidate{t, run})
			}
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(a.run.Gain(), b.run.Gain()), cmp.Compare(a.task.group.job.spec.ID, b.task.group.job.spec.ID), cmp.Compare(a.task.index, b.task.index))
	})
	return candidates
}

// speculationRun returns what is known about the run of a task. A task that has taken long at the speed of its worker is long by itself, so
// a new run would take as long on another worker.
func (p *Planner) speculationRun(t *task, now time.Time) speculation.Run {
	g, w := t.group, t.worker
	slowdown, typical := p.slowdown(w), p.typical(g)
	own := max(typical, time.Duration(float64(t.pace.Whole())/slowdown))
	run := speculation.Run{
		Remaining: t.pace.Remaining(typical, slowdown, now),
		New:       own + startOverhead,
		Waited:    now.Sub(g.since()),
		Objective: g.job.objective(),
		After:     g.job.criticalPath[g.stepIndex] - g.step.Estimate,
		Failures:  t.failures,
	}
	switch {
	case w.unreachable && now.Sub(w.reportedAt) >= silenceBeforeCopy:
		run.Remaining = p.settings.Lease + typical // it starts again once the lease has expired
	case t.state != taskRunning:
		run.Remaining = 0
	}
	return run
}

// copyRooms returns the capacity of each pool in which every task that has no run has room, and what second runs take up of it.
func (p *Planner) copyRooms(now time.Time) map[oleanderline.PoolID]*speculation.Room {
	rooms := map[oleanderline.PoolID]*speculation.Room{}
	for _, w := range p.workers {
		room := rooms[w.entry.Pool]
		if room == nil {
			room = &speculation.Room{}
			rooms[w.entry.Pool] = room
		}
		if w.schedulable(now) {
			room.Capacity = room.Capacity.Add(w.entry.Capacity)
		}
		for t := range w.tasks {
			if t.original != nil {
				room.Taken = room.Taken.Add(t.group.step.Size)
			}
		}
	}
	for g := range p.ready {
		if g.obstacle == obstacleRoom && !g.retryAt.IsZero() && !g.step.BestEffort && !g.step.LongRunning {
			delete(rooms, g.job.queue.Pool)
		}
	}
	return rooms
}

// startCopy starts a second run of a task on another worker, if possible in another rack and domain.
func (p *Planner) startCopy(c candidate, room *speculation.Room, now time.Time) bool {
	t := c.task
	w := p.workerForCopy(t, now)
	if w == nil || !room.Take(t.group.step.Size) {
		return false
	}
	second := t.newSpeculative()
	second.readyAt = now
	p.start(second, w, p.nextRun(t), now)
	p.note(NoteCopy, second.runKey(), w, fmt.Sprintf("run %d on %s is expected to take %s more, a copy %s",
		t.run, t.worker.entry.ID, c.run.Remaining.Round(time.Millisecond), c.run.New.Round(time.Millisecond)))
	return true
}

// workerForCopy returns the best worker for a second run of a task, or nil if there is none of normal speed.
func (p *Planner) workerForCopy(t *task, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range p.workers {
		if w == t.worker || t.avoidWorker == w.entry.ID || p.slowdown(w) >= noticeableSlowdown || !p.canPlace(w, t, now) {
			continue
		}
		score := p.score(w, t) - sharedFate(w, t.worker)
		if best == nil || cmp.Or(cmp.Compare(score, bestScore), cmp.Compare(best.entry.ID, w.entry.ID)) > 0 {
			best, bestScore = w, score
		}
	}
	return best
}

// sharedFate returns by how much two workers depend on the same equipment, as a deduction from a score. What slows a worker down or cuts it
// off often affects its rack, and sometimes its domain.
func sharedFate(a, b *worker) float64 {
	shared := 0.0
	if a.entry.Rack != "" && a.entry.Rack == b.entry.Rack {
		shared += emptyShare
	}
	if a.entry.Domain != "" && a.entry.Domain == b.entry.Domain {
		shared += emptyShare / 2
	}
	return shared
}
