package plan

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/backlog"
)

// occurrence is one run of all steps of a job. A job without due times has only one. The occurrences of a job with due times are
// held only from their due time until they are done and nothing of them runs any more: a job may be due each minute for weeks.
type occurrence struct {
	job        *job
	number     int
	due        bool      // its tasks may start
	dueAt      time.Time // when it was due, if its job has due times
	placed     int       // tasks that hold room on a worker
	groups     []*group  // by step
	unfinished int       // groups that are not done
	// remaining is the estimated work of the tasks that are not done, unless remainingStale is set.
	remaining      backlog.Work
	remainingStale bool
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{job: j, number: number, due: !j.spec.HasDueTimes(), groups: make([]*group, len(j.spec.Steps)), remainingStale: true}
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

// occurrence returns an occurrence of a job. One that is not held is made: a worker may report a run of one that was due in an earlier
// term, or is done.
func (p *Planner) occurrence(j *job, number int) *occurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	o := newOccurrence(j, number)
	j.occurrences[number] = o
	p.heldTasks += j.tasks
	if o.unfinished == 0 && j.spec.HasDueTimes() {
		p.doneOccurrences[o] = struct{}{}
	}
	return o
}

// occurrenceDone reports whether the recorded progress says that all tasks of an occurrence are done.
func (j *job) occurrenceDone(number int) bool {
	for i := range j.spec.Steps {
		for index := range j.spec.Steps[i].Count {
			if !j.progress.IsDone(number*len(j.spec.Steps)+i, index) {
				return false
			}
		}
	}
	return true
}

// countUnfinished returns the number of occurrences that are not done.
func (j *job) countUnfinished() int {
	count := j.spec.Occurrences()
	if j.progress.Empty() {
		return count
	}
	for number := range j.spec.Occurrences() {
		if j.occurrenceDone(number) {
			count--
		}
	}
	return count
}

func (p *Planner) enqueueOccurrence(o *occurrence) {
	for _, g := range o.groups {
		p.enqueueIfReady(g)
	}
}

// dropDoneOccurrences drops the occurrences that are done, or whose job has ended, and of which nothing runs any more.
func (p *Planner) dropDoneOccurrences() {
	for o := range p.doneOccurrences {
		if o.placed == 0 {
			p.dropOccurrence(o)
		}
	}
}

func (p *Planner) dropOccurrence(o *occurrence) {
	delete(o.job.occurrences, o.number)
	delete(p.doneOccurrences, o)
	p.heldTasks -= o.job.tasks
}

// HeldTasks returns the number of tasks that take up memory: those of the occurrences of unfinished jobs that are due.
func (p *Planner) HeldTasks() int { return p.heldTasks }
