package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// StartState says what bounds the starts of a scheduling pass.
type StartState int

// States of starts.
const (
	StartsForbidden StartState = iota // a new leader waits for reports of workers
	StartsFree                        // every ready task was tried, or as many steps as a pass ranks workers for
	StartsHeld                        // the maximum number of starts was reached before every ready task was tried
)

// openPoolShare is the share of a pool's CPU and memory up to which the pool counts as having room. A pool that is short of room
// is fuller, apart from tasks that take a third of a worker or more.
const openPoolShare = 0.75

// StartState returns what bounded the starts of the last pass.
func (p *Planner) StartState() StartState { return p.startState }

// Unstarted returns the number of tasks that wait for a start in pools with room, by the priority of their queue. It includes the
// tasks of later steps, because they were accepted with the job. Tasks that are not due yet, and those for which no worker was
// found when they were last tried, do not count. It returns nil while no usable worker is known.
func (p *Planner) Unstarted(now time.Time) map[int]int {
	open := p.openPools(now)
	if len(open) == 0 {
		return nil
	}
	unstarted := map[int]int{}
	for _, j := range p.jobs {
		if !j.active() || !open[j.queue.Pool] {
			continue
		}
		count := 0
		for _, o := range j.occurrences {
			count += o.unstarted(now)
		}
		unstarted[j.queue.Priority] += count
	}
	return unstarted
}

// unstarted returns the number of tasks of the occurrence that Planner.Unstarted counts.
func (o *occurrence) unstarted(now time.Time) int {
	count := 0
	for _, g := range o.groups {
		if !now.Before(g.retryAt) {
			count += g.unstarted()
		}
	}
	return count
}

// unstarted returns the number of tasks that wait for a start or for an earlier step.
func (g *group) unstarted() int {
	if g.unfinished == 0 || g.job.spec.HasDueTimes() {
		return g.readyCount
	}
	count := 0
	for i := range g.tasks {
		if t := &g.tasks[i]; !t.done && (t.state == taskReady || t.state == taskIdle) {
			count++
		}
	}
	return count
}

// openPools returns the pools of which at most openPoolShare is committed, by CPU and by memory. Workers that have not reported to a
// new leader yet count as well.
func (p *Planner) openPools(now time.Time) map[oleanderline.PoolID]bool {
	type sums struct{ used, capacity oleanderline.Size }
	pools := map[oleanderline.PoolID]sums{}
	for _, w := range p.workers {
		if w.schedulable(now) || w.inDirectory && !w.reported && !w.outOfService {
			sum := pools[w.entry.Pool]
			sum.used, sum.capacity = sum.used.Add(w.used), sum.capacity.Add(w.entry.Capacity)
			pools[w.entry.Pool] = sum
		}
	}
	open := map[oleanderline.PoolID]bool{}
	for id, sum := range pools {
		open[id] = float64(sum.used.CPU) <= openPoolShare*float64(sum.capacity.CPU) &&
			float64(sum.used.Memory) <= openPoolShare*float64(sum.capacity.Memory)
	}
	return open
}
