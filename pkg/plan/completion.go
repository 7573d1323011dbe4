package plan

import (
	"slices"

	"github.com/oleanderline/oleanderline"
)

// complete marks a task as done, whichever of its runs has succeeded. All tasks of a gang are done together. If this
// completes the step, it queues the steps that depend on it or completes the job.
func (p *Planner) complete(t *task) {
	if t.done {
		return
	}
	g := t.group
	if g.step.Gang {
		for i := range g.tasks {
			p.markDone(&g.tasks[i])
		}
	} else {
		p.markDone(t)
	}
	if g.unfinished > 0 {
		return
	}
	p.completeGroup(g)
}

// completeGroup queues the groups that have waited for this one alone, or completes the job.
func (p *Planner) completeGroup(g *group) {
	o := g.occurrence
	o.unfinished--
	if o.unfinished == 0 {
		g.job.unfinished--
		if g.job.spec.HasDueTimes() {
			p.doneOccurrences[o] = struct{}{}
		}
	}
	if g.job.unfinished == 0 {
		p.finish(g.job, oleanderline.JobCompleted)
		return
	}
	for _, step := range g.job.dependents[g.stepIndex] {
		later := o.groups[step]
		later.dependencies--
		p.enqueueIfReady(later)
	}
}

func (p *Planner) markDone(t *task) {
	if t.done {
		return
	}
	g := t.group
	p.dequeue(t)
	t.done = true
	if t.speculative != nil {
		t.speculative.done = true
	}
	g.unfinished--
	g.occurrence.remainingStale = true
	g.job.progress.SetDone(g.number(), t.index, len(g.tasks))
	delete(g.job.progress.FailedRuns, failureKey(g, t.index))
	p.dirty[g.job] = struct{}{}
}

// countFailure counts a failed run of a task once, and fails the job after the queue's maximum number of attempts. The
// failures of a gang count together.
func (p *Planner) countFailure(t *task, run int) {
	g := t.group
	if g.step.LongRunning || t.done || !g.job.active() {
		return
	}
	counted := t
	if g.step.Gang {
		counted = &g.tasks[0]
	}
	key := failureKey(g, counted.index)
	if slices.Contains(g.job.progress.FailedRuns[key], run) {
		return
	}
	if g.job.progress.FailedRuns == nil {
		g.job.progress.FailedRuns = map[string][]int{}
	}
	g.job.progress.FailedRuns[key] = append(g.job.progress.FailedRuns[key], run)
	counted.failures++
	p.dirty[g.job] = struct{}{}
	if counted.failures >= g.job.queue.MaxAttempts {
		p.finish(g.job, oleanderline.JobFailed)
	}
}
