package shard

import (
	"fmt"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Limits of preemption.
const (
	maxPreempted = 32 // most tasks that are being stopped for urgent ones
	// urgentPriorityTime is how long tasks that wait at a worker must not start there after a task was stopped for an urgent
	// one, so that the urgent task gets the capacity.
	urgentPriorityTime = 5 * time.Second
)

// preempt stops a batch task with a checkpoint to make room for an urgent task. At any time, no more tasks are being stopped
// than urgent tasks wait.
func (c *Core) preempt(urgent *task) {
	c.preempted = slices.DeleteFunc(c.preempted, func(t *task) bool { return !t.stop })
	if !urgent.job.Urgent || len(c.preempted) >= min(c.queue.Urgent(), maxPreempted) || c.cfg.Disabled.Preempt {
		return
	}
	var victim *task
	var at *worker
	for _, w := range c.workers.order {
		if !c.workers.usable(w) || c.now.Before(w.urgentUntil) {
			continue
		}
		for _, t := range w.tasks {
			if c.preemptible(t) && urgent.size().Fits(w.freeCapacity().Add(t.size())) && (victim == nil || t.since.After(victim.since)) {
				victim, at = t, w
			}
		}
	}
	if victim == nil {
		return
	}
	victim.requestStop(fmt.Sprintf("makes room for urgent task %s", urgent.id))
	at.urgentUntil = c.now.Add(urgentPriorityTime)
	c.preempted = append(c.preempted, victim)
	c.counters.Preempted++
}

// preemptible reports whether a running task may be stopped for an urgent one. The caller chooses the one that started last,
// because it can have run least since its checkpoint.
func (c *Core) preemptible(t *task) bool {
	return t.job.Kind == oleanderline.KindBatch && !t.job.Urgent && t.running && t.reserved && !t.stop && !t.ended && t.pending == ""
}
