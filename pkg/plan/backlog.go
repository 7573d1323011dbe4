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

// inOrder returns the groups that have ready tasks, in the order in which they are placed.
func (p *Planner) inOrder(now time.Time) []*group {
	type ordered struct {
		group *group
		key   backlog.Key
	}
	list := make([]ordered, 0, len(p.ready))
	for g := range p.ready {
		list = append(list, ordered{g, p.backlogItem(g, now).Key()})
	}
	slices.SortFunc(list, func(a, b ordered) int { return a.key.Compare(b.key) })
	groups := make([]*group, len(list))
	for i := range list {
		groups[i] = list[i].group
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
		Weight:      backlog.Weight(g.job.work(), p.meanWork[g.job.spec.Queue].mean()),
		Remaining:   g.job.remainingWork(g.occurrence),
		Slack:       objective - waited - remaining,
		Objective:   objective,
		Job:         g.job.spec.ID,
		Group:       g.number(),
	}
}

// since returns the time from which the objective counts: the due time, or the arrival of a job without due times.
func (g *group) since() time.Time {
	if g.dueAt.IsZero() {
		return g.job.arrived
	}
	return g.dueAt
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
	sum.total += j.work()
	sum.jobs++
	p.meanWork[j.spec.Queue] = sum
}

// taskWork returns the estimated work of one task of a step.
func taskWork(step *oleanderline.Step) backlog.Work {
	return backlog.Work(float64(step.Size.CPU) / millicoresPerCore * step.Estimate.Seconds())
}

// work returns the estimated work of one occurrence of the job.
func (j *job) work() backlog.Work {
	var sum backlog.Work
	for i := range j.spec.Steps {
		sum += backlog.Work(j.spec.Steps[i].Count) * taskWork(&j.spec.Steps[i])
	}
	return sum
}

// remainingWork returns the estimated work of the tasks of an occurrence that are not done.
func (j *job) remainingWork(occurrence int) backlog.Work {
	var sum backlog.Work
	base := occurrence * len(j.spec.Steps)
	for _, g := range j.groups[base : base+len(j.spec.Steps)] {
		sum += backlog.Work(g.unfinished) * taskWork(g.step)
	}
	return sum
}
