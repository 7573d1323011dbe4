package plan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxStartsPerPass is the maximum number of starts in one pass, so that reports and records are handled between passes.
	maxStartsPerPass = 256
	// maxRankedPerPass is the maximum number of groups for which workers are ranked in one pass.
	maxRankedPerPass = 48
	// rerankInterval is the minimum time until workers are ranked again for a group for which none had room.
	rerankInterval = 60 * time.Millisecond
)

// rerankDelay returns the time until workers are ranked again for a group for which none had room. It grows with the number of
// groups that have ready tasks, so that each of them gets its turn.
func (p *Planner) rerankDelay() time.Duration {
	return rerankInterval * time.Duration(1+len(p.ready)/(2*maxRankedPerPass))
}

// rankedWorker is a worker with its score for a group.
type rankedWorker struct {
	worker *worker
	score  float64
}

// ranking holds the workers that may take a task of a group, best first. All workers are scored once for a group instead of
// once for each task, because a backlog may have thousands of tasks on hundreds of workers.
type ranking []rankedWorker

// rank ranks the workers that may take a task. It also returns the greatest obstacle on the others, for the case that none may.
func (p *Planner) rank(t *task, now time.Time) (ranking, obstacle) {
	var r ranking
	greatest := obstacleWorker
	for _, w := range p.workers {
		o := p.obstacleOn(w, t, now)
		if o == obstacleNone {
			r = append(r, rankedWorker{w, p.score(w, t)})
		}
		greatest = max(greatest, o)
	}
	slices.SortFunc(r, compareRanked)
	return r, greatest
}

func compareRanked(a, b rankedWorker) int {
	return cmp.Or(-cmp.Compare(a.score, b.score), cmp.Compare(a.worker.entry.ID, b.worker.entry.ID))
}

// best returns the index in the ranking of the best worker for a task, or -1 if none can take it. The worker on which the task
// last failed is returned only if there is no other. Workers that can no longer take the task are removed from the ranking.
func (p *Planner) best(r *ranking, t *task, now time.Time) int {
	fallback := -1
	for i := 0; i < len(*r); {
		w := (*r)[i].worker
		switch {
		case !p.canPlace(w, t, now):
			*r = slices.Delete(*r, i, i+1)
			continue
		case t.avoidWorker != w.entry.ID:
			return i
		case fallback < 0:
			fallback = i
		}
		i++
	}
	return fallback
}

// rescore rescores the worker at index i after it has taken a task, and moves it down the ranking accordingly.
func (p *Planner) rescore(r ranking, i int, t *task) {
	r[i].score = p.score(r[i].worker, t)
	for ; i+1 < len(r) && compareRanked(r[i], r[i+1]) > 0; i++ {
		r[i], r[i+1] = r[i+1], r[i]
	}
}
