package plan

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/backlog"
)

const millicoresPerCore = 1000

// lateFactor is the multiple of its objective after which a late job counts as missed.
const lateFactor = 3

// firstInOrder returns the groups that are placed first, at most limit of those that have ready tasks and may be tried now. It compares
// each group with the last one of these, and does not sort all groups, because one job may have thousands.
func (p *Planner) firstInOrder(now time.Time, limit int) []*group {
	type ordered struct {
		group *group
		key   backlog.Key
	}
	compare := func(a, b ordered) int { return a.key.Compare(b.key) }
	first := make([]ordered, 0, limit+1)
	for g := range p.ready {
		if now.Before(g.retryAt) {
			continue
		}
		next := ordered{g, p.backlogItem(g, now).Key()}
		if len(first) == limit && compare(first[limit-1], next) < 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, next, compare)
		first = slices.Insert(first, i, next)
		first = first[:min(len(first), limit)]
	}
	groups := make([]*group, len(first))
	for i := range first {
		groups[i] = first[i].group
	}
	return groups
}

func (p *Planner) backlogItem(g *group, now time.Time) backlog.Item {
	objective := g.job.objective()
	waited := now.Sub(g.since())
	remaining := g.job.criticalPath[g.stepIndex]
	return backlog.Item{
		Priority:    g.job.queue.Priority,
		Missed:      !g.step.LongRunning && waited+remaining > lateFactor*objective,
		LongRunning: g.step.LongRunning,
		Weight:      backlog.Weight(g.job.work, p.meanWork[g.job.spec.Queue].mean()),
		Remaining:   g.occurrence.remainingWork(),
		Slack:       objective - waited - remaining,
		Objective:   objective,
		Job:         g.job.spec.ID,
		Group:       g.number(),
	}
}

// since returns the time from which the objective counts: the due time, or the arrival of a job without due times.
func (g *group) since() time.Time {
	if g.occurrence.dueAt.IsZero() {
		return g.job.arrived
	}
	return g.occurrence.dueAt
}

// workSum averages the work of the jobs of a queue.
type workSum struct {
	total backlog.Work
	jobs  int
}

func (s workSum) mean() backlog.Work { return s.total / backlog.Work(max(1, s.jobs)) }

// countWork adds a job to the mean work of its queue.
func (p *Planner) countWork(j *job) {
	sum := p.meanWork[j.spec.Queue]
	sum.total += j.work
	sum.jobs++
	p.meanWork[j.spec.Queue] = sum
}

// taskWork returns the estimated work of one task of a step.
func taskWork(step *oleanderline.Step) backlog.Work {
	return backlog.Work(float64(step.Size.CPU) / millicoresPerCore * step.Estimate.Seconds())
}

// totalWork returns the estimated work of one occurrence of the steps.
func totalWork(steps []oleanderline.Step) backlog.Work {
	var sum backlog.Work
	for i := range steps {
		sum += backlog.Work(steps[i].Count) * taskWork(&steps[i])
	}
	return sum
}
