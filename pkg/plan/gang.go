package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// placeGang starts all tasks of a gang with the same run number, or none of them. It returns how many it has started.
func (p *Planner) placeGang(g *group, unreportedMayRun bool, now time.Time) int {
	run := p.runBase
	checkpoint := ""
	for i := range g.tasks {
		t := &g.tasks[i]
		if p.mayAlreadyRun(t, unreportedMayRun) {
			return 0
		}
		run = max(run, t.run, t.highest)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for _, rack := range p.racksFor(g) {
		if p.placeGangInRack(g, rack, run+1, checkpoint, now) {
			return len(g.tasks)
		}
	}
	g.retryAt = now.Add(p.rerankDelay())
	p.prepareAdviceRequest(g, now)
	return 0
}

// racksFor returns the racks to try for a gang, in order of preference. "" stands for any rack, also several. A gang with
// SameRack tries single racks first: the rack of its data, then those with the most free CPU.
func (p *Planner) racksFor(g *group) []oleanderline.RackID {
	if !g.step.SameRack {
		return []oleanderline.RackID{""}
	}
	free := map[oleanderline.RackID]oleanderline.Millicores{}
	for _, w := range p.workers {
		if w.outOfService {
			continue
		}
		free[w.entry.Rack] += w.free().CPU
	}
	racks := make([]oleanderline.RackID, 0, len(free)+1)
	for rack := range free {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(a, b oleanderline.RackID) int {
		return cmp.Or(compareBool(a != g.step.Rack, b != g.step.Rack), -cmp.Compare(free[a], free[b]), cmp.Compare(a, b))
	})
	return append(racks, "") // running across racks is slower, but better than not running
}

// placeGangInRack starts all tasks of a gang on workers of a rack, or on any workers if rack is "". It reports false and
// starts none if there is no room for all of them.
func (p *Planner) placeGangInRack(g *group, rack oleanderline.RackID, run int, checkpoint string, now time.Time) bool {
	for i := range g.tasks {
		w := p.bestWorkerInRack(&g.tasks[i], rack, now)
		if w == nil {
			p.releaseTentative(g)
			return false
		}
		p.charge(&g.tasks[i], w)
	}
	placed := make([]*worker, len(g.tasks))
	for i := range g.tasks {
		placed[i] = g.tasks[i].worker
	}
	p.releaseTentative(g)
	for i := range g.tasks {
		g.tasks[i].checkpoint = checkpoint
		p.start(&g.tasks[i], placed[i], run, now)
	}
	return true
}

// bestWorkerInRack returns the best worker for a task in a rack, or in any rack if rack is "". It returns nil if none can
// take the task.
func (p *Planner) bestWorkerInRack(t *task, rack oleanderline.RackID, now time.Time) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range p.workers {
		if (rack != "" && w.entry.Rack != rack) || !p.canPlace(w, t, now) {
			continue
		}
		if score := p.score(w, t); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// releaseTentative releases the room that placeGangInRack has charged for a gang while it looked for a full placement.
func (p *Planner) releaseTentative(g *group) {
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.worker == nil {
			continue
		}
		p.release(t)
	}
	for i := range g.tasks {
		g.tasks[i].state = taskReady
	}
	g.readyCount = len(g.tasks)
	p.ready[g] = struct{}{}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
