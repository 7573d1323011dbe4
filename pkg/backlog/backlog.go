// Package backlog orders the work that waits for room. It answers overload: when not all jobs can be in time, serving those with the
// least slack first makes all of them late, while serving those that are worth the most for their remaining work completes most
// of them.
package backlog

import (
	"cmp"
	"math"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Work is an amount of work in core-seconds.
type Work float64

const (
	// fixedShare is the part of a job's weight that does not depend on its size. The rest grows with the job's work, so that large
	// jobs are not postponed behind every small one.
	fixedShare = 0.3
	// lateShare is the worth of a job that completes late, compared with one that completes in time.
	lateShare = 0.15
	// urgencyScale is the slack, as a share of the objective, at which a job counts 1/e of what it counts without slack.
	urgencyScale = 0.5
)

// Weight returns how much the completion of a job counts, compared with a job of the mean work of its queue.
func Weight(work, mean Work) Work { return fixedShare*mean + (1-fixedShare)*work }

// Item is a set of tasks that are alike, with the properties of their job that decide its place.
type Item struct {
	Priority    int           // of the queue; 0 goes first
	Missed      bool          // the job is so late that its completion counts for nothing
	LongRunning bool          // the tasks run until the job is cancelled
	Weight      Work          // see Weight
	Remaining   Work          // of the tasks of the job that are not done
	Slack       time.Duration // time left to the objective beyond the critical path
	Objective   time.Duration // time in which the job should complete, from its arrival
	Job         oleanderline.JobID
	Group       int // among the sets of tasks of the job
}

// Key is the place of an item in the order. It is computed once for an item, because sorting compares it many times.
type Key struct {
	priority, stage int
	urgency         float64
	slack           time.Duration
	job             oleanderline.JobID
	group           int
}

// Key returns the item's place in the order.
func (i Item) Key() Key {
	return Key{priority: i.Priority, stage: i.stage(), urgency: i.urgency(), slack: i.Slack, job: i.Job, group: i.Group}
}

// Compare orders items: by priority, then long-running tasks, then other jobs that are not missed by their urgency, then by slack.
// Missed jobs come last, because under overload serving them first would make all other jobs late as well.
func (k Key) Compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.priority, other.priority),
		cmp.Compare(k.stage, other.stage),
		-cmp.Compare(k.urgency, other.urgency),
		cmp.Compare(k.slack, other.slack),
		cmp.Compare(k.job, other.job),
		cmp.Compare(k.group, other.group),
	)
}

// stage returns 0 for long-running tasks, 2 for missed jobs, and 1 for all others.
func (i Item) stage() int {
	switch {
	case i.LongRunning:
		return 0
	case i.Missed:
		return 2
	}
	return 1
}

// urgency returns the weight of a job for each unit of its remaining work, reduced by its slack, as in the dispatching rule
// "apparent tardiness cost". A job with slack can wait for one without, and a job that can only be late waits for all that can be
// in time. A job that has begun has less work remaining, so it is completed before another one of its kind begins.
func (i Item) urgency() float64 {
	if i.LongRunning || i.Remaining <= 0 || i.Objective <= 0 {
		return 0
	}
	density := float64(i.Weight / i.Remaining)
	if i.Slack < 0 {
		return density * lateShare
	}
	return density * math.Exp(-float64(i.Slack)/(urgencyScale*float64(i.Objective)))
}
