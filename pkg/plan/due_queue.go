package plan

import (
	"container/heap"
	"time"
)

// enqueueDue queues the tasks of the occurrences whose due time has passed. wall is the time of day.
func (p *Planner) enqueueDue(wall time.Time) {
	p.dropDoneOccurrences()
	for len(p.scheduled) > 0 {
		j := p.scheduled[0]
		due := j.spec.Due(j.nextDue)
		if wall.Before(due) {
			return
		}
		if !j.occurrenceDone(j.nextDue) {
			o := p.occurrence(j, j.nextDue)
			o.due, o.dueAt = true, p.now.Add(-wall.Sub(due))
			p.enqueueOccurrence(o)
		}
		j.nextDue++
		if j.nextDue == j.spec.Occurrences() {
			p.unschedule(j)
			continue
		}
		heap.Fix(&p.scheduled, j.scheduleIndex)
	}
}

// schedule adds a job to those with occurrences that are not due yet.
func (p *Planner) schedule(j *job) { heap.Push(&p.scheduled, j) }

// unschedule removes a job from those with occurrences that are not due yet, if it is one of them.
func (p *Planner) unschedule(j *job) {
	if j.scheduleIndex >= 0 {
		heap.Remove(&p.scheduled, j.scheduleIndex)
	}
}

// dueQueue is a heap of the jobs with occurrences that are not due yet, by the due time of the next one.
type dueQueue []*job

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q dueQueue) Len() int { return len(q) }

func (q dueQueue) Less(a, b int) bool {
	return q[a].spec.Due(q[a].nextDue).Before(q[b].spec.Due(q[b].nextDue))
}

func (q dueQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].scheduleIndex, q[b].scheduleIndex = a, b
}

func (q *dueQueue) Push(value any) {
	j := value.(*job)
	j.scheduleIndex = len(*q)
	*q = append(*q, j)
}

func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	j.scheduleIndex = -1
	return j
}
