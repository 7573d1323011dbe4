package plan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// startsAtOnce bounds the starts of one pass, so that reports and records are handled between passes.
	startsAtOnce = 256
	// rankedAtOnce bounds the groups that are ranked in one pass.
	rankedAtOnce = 48
	// rankAgain is how long a group without a worker waits until all workers are looked at again.
	rankAgain = 60 * time.Millisecond
)

// rankPause is how long a group waits after no worker could take its next task: long enough for all open groups to have
// their turn.
func (p *Planner) rankPause() time.Duration {
	return rankAgain * time.Duration(1+len(p.open)/(2*rankedAtOnce))
}

// ranked is a worker with its score for a group.
type ranked struct {
	worker *worker
	score  float64
}

// ranking orders the workers that may take a task of a group, best first. It answers a backlog of thousands of tasks on
// hundreds of workers: all workers are scored once for a group, not once for a task.
type ranking []ranked

func (p *Planner) rank(t *task, now time.Time) ranking {
	var r ranking
	for _, w := range p.workers {
		if p.mayTake(w, t, now) {
			r = append(r, ranked{w, p.score(w, t)})
		}
	}
	slices.SortFunc(r, compareRanked)
	return r
}

func compareRanked(a, b ranked) int {
	return cmp.Or(-cmp.Compare(a.score, b.score), cmp.Compare(a.worker.entry.ID, b.worker.entry.ID))
}

// mayTake reports whether a task may start on a worker now.
func (p *Planner) mayTake(w *worker, t *task, now time.Time) bool {
	if !w.usable(now) || !w.suits(t.group) || !w.holds(t.group) || p.keptApart(w, t, now) || w.staysClear(t, now) {
		return false
	}
	_, ok := t.group.ticketFor(w, now)
	return ok
}

// best returns the place of the best worker for a task, or -1. One on which the task has failed is taken only if there is no
// other. Workers that cannot take the task any more leave the ranking.
func (p *Planner) best(r *ranking, t *task, now time.Time) int {
	fallback := -1
	for i := 0; i < len(*r); {
		w := (*r)[i].worker
		switch {
		case !p.mayTake(w, t, now):
			*r = slices.Delete(*r, i, i+1)
			continue
		case t.avoid != w.entry.ID:
			return i
		case fallback < 0:
			fallback = i
		}
		i++
	}
	return fallback
}

// moved puts the worker at a place where it belongs after it has taken a task.
func (p *Planner) moved(r ranking, i int, t *task) {
	r[i].score = p.score(r[i].worker, t)
	for ; i+1 < len(r) && compareRanked(r[i], r[i+1]) > 0; i++ {
		r[i], r[i+1] = r[i+1], r[i]
	}
}
