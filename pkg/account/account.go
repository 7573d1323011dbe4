// Package account reads the log lines of a cell's nodes and accounts for the time of its tasks: for how long they waited and
// for what, ran, and ran in vain. Its source are the events E6020, E6023 and E6030 to E6033 of docs/events.md.
package account

import (
	"time"
)

// unknownQueue holds the tasks of jobs that were stored before the log begins.
const unknownQueue = "?"

// Account is the time of the tasks of a cell.
type Account struct {
	Queues  map[string]*Sum `json:"queues"`
	Jobs    map[string]*Job `json:"-"`
	Periods []*Period       `json:"periods"`
	Skipped int             `json:"skipped"` // lines that could not be decoded
	// FirstSkipped names the first of them, as FILE:LINE.
	FirstSkipped string `json:"firstSkipped,omitempty"`
	// Dropped is whether a node has dropped lines, so that the sums are too low.
	Dropped bool `json:"dropped"`
	// Open is the number of runs without an end in the log. Their time is not counted.
	Open int `json:"open"`
}

// Job is the time of the tasks of one job.
type Job struct {
	ID     string    `json:"job"`
	Queue  string    `json:"queue"`
	Stored time.Time `json:"stored,omitzero"`
	Ended  time.Time `json:"ended,omitzero"`
	State  string    `json:"state"` // final state, or "open"
	Runs   []*Run    `json:"runs"`
}

// Run is one run of a task.
type Run struct {
	Task     string        `json:"task"`
	Number   int           `json:"run"`
	Kind     string        `json:"kind"`
	Worker   string        `json:"worker"`
	Started  time.Time     `json:"started"`
	Waited   time.Duration `json:"waitedNs"`
	Obstacle string        `json:"obstacle"` // what the task waited for, see E6030
	Ended    time.Time     `json:"ended,omitzero"`
	End      string        `json:"end"`            // how it ended, "" if the log does not say so
	Stop     string        `json:"stop,omitempty"` // reason of the leader for ending it
}

// Sum is the time of the tasks of a queue, in seconds of tasks.
type Sum struct {
	Jobs     map[string]int     `json:"jobs"`     // by final state
	Waited   map[string]float64 `json:"waited"`   // before runs, by obstacle
	Ran      float64            `json:"ran"`      // in runs of long-running tasks, and in others that completed their task or lasted until their job ended
	Repeated map[string]float64 `json:"repeated"` // in other runs, by reason; a part may have been saved by checkpoints
}

// Period is a span of time, over all queues.
type Period struct {
	Start   time.Time `json:"start"`
	Waiting float64   `json:"waiting"` // mean number of tasks that waited
	Running float64   `json:"running"` // mean number of runs
	Stops   int       `json:"stops"`   // runs that the leader ended
}

// sum adds up the jobs, and divides the time into periods of the given length.
func (a *Account) sum(period time.Duration) {
	a.Queues = map[string]*Sum{}
	for _, job := range a.Jobs {
		s := a.Queues[job.Queue]
		if s == nil {
			s = &Sum{Jobs: map[string]int{}, Waited: map[string]float64{}, Repeated: map[string]float64{}}
			a.Queues[job.Queue] = s
		}
		s.Jobs[job.State]++
		for _, run := range job.Runs {
			s.add(run)
			if run.End == "" {
				a.Open++
			}
		}
	}
	a.divide(period)
}

func (s *Sum) add(run *Run) {
	s.Waited[run.waitedFor()] += run.Waited.Seconds()
	if run.End == "" {
		return
	}
	ran := run.Ended.Sub(run.Started).Seconds()
	if reason := run.repeatedFor(); reason != "" {
		s.Repeated[reason] += ran
		return
	}
	s.Ran += ran
}

// waitedFor names what the task waited for. Without an obstacle it waited for its turn.
func (r *Run) waitedFor() string {
	if r.Obstacle == "" {
		return "turn"
	}
	return r.Obstacle
}

// repeatedFor returns why the task had to run again, or "" if it had not.
func (r *Run) repeatedFor() string {
	switch {
	case r.Kind == kindLongRunning, r.End == endDone, r.Stop == stopCancelled, r.Stop == stopDone:
		return ""
	case r.End == endStopped && r.Stop != "":
		return r.Stop
	}
	return r.End
}

// divide fills Periods.
func (a *Account) divide(length time.Duration) {
	var first, last time.Time
	for _, job := range a.Jobs {
		for _, run := range job.Runs {
			if ready := run.Started.Add(-run.Waited); first.IsZero() || ready.Before(first) {
				first = ready
			}
			if run.Ended.After(last) {
				last = run.Ended
			}
		}
	}
	if first.IsZero() || length <= 0 {
		return
	}
	for start := first.Truncate(length); start.Before(last); start = start.Add(length) {
		a.Periods = append(a.Periods, &Period{Start: start})
	}
	for _, job := range a.Jobs {
		for _, run := range job.Runs {
			a.spread(run.Started.Add(-run.Waited), run.Started, length, func(p *Period, share float64) { p.Waiting += share })
			if run.End == "" {
				continue
			}
			a.spread(run.Started, run.Ended, length, func(p *Period, share float64) { p.Running += share })
			if run.Stop != "" {
				a.spread(run.Ended, run.Ended.Add(1), length, func(p *Period, _ float64) { p.Stops++ })
			}
		}
	}
}

// spread calls add for each period that a span touches, with the share of the period that it covers.
func (a *Account) spread(from, to time.Time, length time.Duration, add func(p *Period, share float64)) {
	if len(a.Periods) == 0 {
		return
	}
	for i := max(0, int(from.Sub(a.Periods[0].Start)/length)); i < len(a.Periods) && a.Periods[i].Start.Before(to); i++ {
		start, end := a.Periods[i].Start, a.Periods[i].Start.Add(length)
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		add(a.Periods[i], end.Sub(start).Seconds()/length.Seconds())
	}
}
