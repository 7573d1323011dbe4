package shard

import (
	"fmt"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Bounds of preemption.
const (
	maxPreempted = 32 // tasks that are stopped for urgent ones at a time
	// claimTime is how long the tasks that wait at a worker stay behind an urgent task that a task there was stopped for.
	claimTime = 5 * time.Second
)

// preempt stops a batch task by checkpoint to make room for an urgent task. It stops no more tasks than urgent ones wait.
func (c *Core) preempt(urgent *task) {
	c.preempted = slices.DeleteFunc(c.preempted, func(t *task) bool { return !t.stop })
	if !urgent.job.Urgent || len(c.preempted) >= min(c.queue.Urgent(), maxPreempted) || c.cfg.Without.Preempt {
		return
	}
	var victim *task
	var at *worker
	for _, w := range c.workers.order {
		if !c.workers.usable(w) || c.now.Before(w.claimedTo) {
			continue
		}
		for _, t := range w.tasks {
			if c.preemptible(t) && urgent.size().Fits(w.free().Add(t.size())) && (victim == nil || t.since.After(victim.since)) {
				victim, at = t, w
			}
		}
	}
	if victim == nil {
		return
	}
	victim.mustStop(fmt.Sprintf("makes room for urgent task %s", urgent.id))
	at.claimedTo = c.now.Add(claimTime)
	c.preempted = append(c.preempted, victim)
	c.counters.Preempted++
}

// preemptible reports whether a running task may be stopped for an urgent one. The caller takes the one that started
// last: it can have run least since its checkpoint.
func (c *Core) preemptible(t *task) bool {
	return t.job.Kind == oleanderline.KindBatch && !t.job.Urgent && t.running && t.reserved && !t.stop && !t.ended && t.pending == ""
}
