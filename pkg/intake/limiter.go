// Package intake decides which new jobs a cell refuses because its leader cannot start their tasks in time. A leader on a small VM
// starts fewer tasks a second than may arrive. Without a bound its backlog grows for as long as the load lasts, and accepted jobs
// wait although workers have room for them.
package intake

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline/pkg/record"
)

const (
	// maxWait is the time within which the leader should be able to start all tasks that wait for a start only. Jobs are refused
	// beyond it.
	maxWait = 6 * time.Second
	// minHeld is how long starts must have been held up before their rate counts as measured. A burst of jobs is shorter.
	minHeld = 1500 * time.Millisecond
	// maxGap is the longest time without a held start within one measurement.
	maxGap = 300 * time.Millisecond
	// sampleInterval is the time over which answered starts are counted, and sampleWeight the weight of one count in the rate.
	// The rate covers about the last 2 s, so an agent that is lost for a second does not halve it.
	sampleInterval = 500 * time.Millisecond
	sampleWeight   = 0.25
	// minRate keeps the wait finite while no start is answered.
	minRate = 1.0
	// rateValidity is how long a rate counts after its last measurement, or a refusal of the last leader after the start of the term. A
	// leader that could start few tasks while its VM was slow must not refuse jobs for that in the next burst. It covers the time until a
	// new leader may start tasks that no worker has reported.
	rateValidity = 15 * time.Second
)

// Limiter measures how many tasks a second a leader can start, and compares the tasks that wait for a start with it. Only the time
// during which tasks with room on a worker were held up by the limit on outstanding starts counts: otherwise the rate of starts is
// that of the arrivals. It is not safe for concurrent use.
type Limiter struct {
	began     time.Time
	inherited record.Intake // verdict of the last leader
	allowed   bool          // whether this leader may start tasks
	rate      float64       // starts per second; 0 if not measured
	ratedAt   time.Time     // when the rate was last measured
	heldSince time.Time     // when the current measurement began
	heldAt    time.Time     // when a start was last held up
	sampledAt time.Time     // when the current count began
	answered  int           // starts answered since then
}

// New returns the limiter of a leader whose term begins now. inherited is the last verdict of the leader before it. If that refused
// jobs, its rate holds until this leader has measured its own.
func New(inherited record.Intake, now time.Time) *Limiter {
	l := &Limiter{began: now, inherited: inherited}
	if inherited.Refuse {
		l.rate, l.ratedAt = inherited.Rate, now
	}
	return l
}

// Answered records that a worker has started a task.
func (l *Limiter) Answered() { l.answered++ }

// Observe records whether a scheduling pass left tasks that it did not try to place, because too many starts were outstanding.
// It is called for passes that may start tasks.
func (l *Limiter) Observe(held bool, now time.Time) {
	l.allowed = true
	if !held {
		return
	}
	if now.Sub(l.heldAt) > maxGap {
		l.heldSince, l.sampledAt, l.answered = now, now, 0
	}
	l.heldAt = now
	elapsed := now.Sub(l.sampledAt)
	if elapsed < sampleInterval || now.Sub(l.heldSince) < minHeld {
		return
	}
	sample := max(minRate, float64(l.answered)/elapsed.Seconds())
	if l.validRate(now) == 0 {
		l.rate = sample
	}
	l.rate += sampleWeight * (sample - l.rate)
	l.ratedAt, l.sampledAt, l.answered = now, now, 0
}

// validRate returns the rate of starts, or 0 if it was not measured lately.
func (l *Limiter) validRate(now time.Time) float64 {
	if now.Sub(l.ratedAt) >= rateValidity {
		return 0
	}
	return l.rate
}

// Bound reports whether starts bind the cell, so that the number of waiting tasks matters for the verdict: starts were held up lately,
// or they bound the cell under the last leader and this one has not caught up yet. At first it has few workers to start tasks on,
// because they report to it one after the other, so no start is held up.
func (l *Limiter) Bound(now time.Time) bool {
	held := !l.heldAt.IsZero() && now.Sub(l.heldAt) <= maxGap
	return held || l.inherits(now)
}

// inherits reports whether a refusal of the last leader still binds this one.
func (l *Limiter) inherits(now time.Time) bool {
	return l.inherited.Refuse && now.Sub(l.began) < rateValidity
}

// Verdict returns which jobs are to be refused. waiting is the number of tasks that wait for a start, by the priority of their
// queue; nil means that it is not known. A job waits for the tasks of its own priority and of those that go first, so the verdict names
// the priority from which on this takes too long.
func (l *Limiter) Verdict(waiting map[int]int, now time.Time) record.Intake {
	if l.inherits(now) && (!l.allowed || waiting == nil) {
		return l.inherited
	}
	rate := l.validRate(now)
	verdict := record.Intake{Rate: rate}
	if rate == 0 || !l.Bound(now) {
		return verdict
	}
	priorities := make([]int, 0, len(waiting))
	for priority := range waiting {
		priorities = append(priorities, priority)
	}
	slices.Sort(priorities)
	ahead := 0
	for _, priority := range priorities {
		ahead += waiting[priority]
		wait := time.Duration(math.Round(float64(ahead) / rate * float64(time.Second)))
		if wait <= maxWait {
			continue
		}
		if !verdict.Refuse {
			verdict.Refuse, verdict.From = true, priority
		}
		verdict.RetryMS = (wait - maxWait).Milliseconds()
	}
	l.inherited.Refuse = l.inherited.Refuse && verdict.Refuse
	return verdict
}
