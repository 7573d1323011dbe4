package plan

import "github.com/oleanderline/oleanderline/pkg/backlog"

// occurrence is one run of all steps of a job. A job without due times has only one.
type occurrence struct {
	number     int
	groups     []*group // by step
	unfinished int      // groups that are not done
	// remaining is the estimated work of the tasks that are not done, unless remainingStale is set.
	remaining      backlog.Work
	remainingStale bool
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number, groups: make([]*group, len(j.spec.Steps)), remainingStale: true}
	for stepIndex := range j.spec.Steps {
		g := newGroup(j, o, stepIndex)
		o.groups[stepIndex] = g
		if g.unfinished > 0 {
			o.unfinished++
		}
		for _, earlier := range g.step.After {
			if o.groups[earlier].unfinished > 0 {
				g.dependencies++
			}
		}
	}
	return o
}

// remainingWork returns the estimated work of the tasks that are not done. It is summed up once after tasks have ended, and not for
// each group of the occurrence.
func (o *occurrence) remainingWork() backlog.Work {
	if !o.remainingStale {
		return o.remaining
	}
	o.remaining, o.remainingStale = 0, false
	for _, g := range o.groups {
		o.remaining += backlog.Work(g.unfinished) * taskWork(g.step)
	}
	return o.remaining
}

// dependentSteps returns, for each step, the later steps that depend on it. A step that names it several times is listed as often.
func (j *job) dependentSteps() [][]int {
	dependents := make([][]int, len(j.spec.Steps))
	for i := range j.spec.Steps {
		for _, earlier := range j.spec.Steps[i].After {
			dependents[earlier] = append(dependents[earlier], i)
		}
	}
	return dependents
}
