package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// placeGang starts all tasks of a gang in one run, or none.
func (p *Planner) placeGang(g *group, unseen bool, now time.Time) {
	run := p.runBase
	saved := ""
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.mayRunUnseen(unseen) {
			return
		}
		run = max(run, t.run)
		if t.saved != "" {
			saved = t.saved
		}
	}
	for _, rack := range p.racksFor(g) {
		if p.placeGangIn(g, rack, run+1, saved, now) {
			return
		}
	}
	g.rankAt = now.Add(p.rankPause())
	p.ask(g, now)
}

// racksFor returns the racks to try for a gang: each one alone if it has to stay together, else all of them as one.
func (p *Planner) racksFor(g *group) []oleanderline.RackID {
	if !g.step.SameRack {
		return []oleanderline.RackID{""}
	}
	free := map[oleanderline.RackID]oleanderline.Millicores{}
	for _, w := range p.workers {
		free[w.entry.Rack] += w.free().CPU
	}
	racks := make([]oleanderline.RackID, 0, len(free)+1)
	for rack := range free {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(a, b oleanderline.RackID) int {
		return cmp.Or(compareBool(a != g.step.Rack, b != g.step.Rack), -cmp.Compare(free[a], free[b]), cmp.Compare(a, b))
	})
	return append(racks, "") // slower across racks, but better than not at all
}

func (p *Planner) placeGangIn(g *group, rack oleanderline.RackID, run int, saved string, now time.Time) bool {
	for i := range g.tasks {
		w := p.pickIn(&g.tasks[i], rack, now)
		if w == nil {
			p.undo(g)
			return false
		}
		p.charge(&g.tasks[i], w)
	}
	placed := make([]*worker, len(g.tasks))
	for i := range g.tasks {
		placed[i] = g.tasks[i].worker
	}
	p.undo(g)
	for i := range g.tasks {
		g.tasks[i].saved = saved
		p.start(&g.tasks[i], placed[i], run, now)
	}
	return true
}

// pickIn returns the best worker for a task in a rack, or in any if it is "".
func (p *Planner) pickIn(t *task, rack oleanderline.RackID, now time.Time) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range p.workers {
		if (rack != "" && w.entry.Rack != rack) || !p.mayTake(w, t, now) {
			continue
		}
		if score := p.score(w, t); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// undo takes back the room that a gang was given for trial.
func (p *Planner) undo(g *group) {
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.worker == nil {
			continue
		}
		t.state = taskLeaving // keeps release from queueing it
		p.release(t)
	}
	for i := range g.tasks {
		g.tasks[i].state = taskReady
	}
	g.ready = len(g.tasks)
	p.open[g] = struct{}{}
}
