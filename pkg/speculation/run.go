// Package speculation decides when a second run of a task is started on another worker, and how many. It answers workers that become slow
// while they run tasks of a job that is waited for. A second run costs the work of one of both, so it is started only where it ends clearly
// earlier, and where the job would otherwise be late.
package speculation

import "time"

const (
	// minRatio is how many times as long as a new run the run in progress must need. Both times are estimated, each within a factor of 1.5 or
	// so.
	minRatio = 2.0
	// minGain is the shortest gain worth a second run. The start of a run and the report of its end take a part of it.
	minGain = 300 * time.Millisecond
	// lateFactor is the multiple of the objective from which a job counts as missed: to end it earlier is worth nothing then.
	lateFactor = 3
)

// Run is a run in progress whose step allows copies.
type Run struct {
	Remaining time.Duration // expected time until its end
	New       time.Duration // expected time of a new run on another worker, from its start to its end
	// Waited is the age of the job, Objective the age at which it should be completed, and After the expected time from the end of the step to
	// the end of the job.
	Waited, Objective, After time.Duration
	Failures                 int // failed runs of the task
}

// Worthwhile reports whether a second run should be started.
func (r Run) Worthwhile() bool {
	switch {
	case r.Failures > 0:
		return false // each run that fails counts against the job, and this task may fail again
	case r.Gain() < minGain || float64(r.Remaining) < minRatio*float64(r.New):
		return false
	case r.Waited+r.Remaining+r.After <= r.Objective:
		return false
	}
	return r.Waited+r.New+r.After <= lateFactor*r.Objective
}

// Gain returns how much earlier a new run is expected to end.
func (r Run) Gain() time.Duration { return r.Remaining - r.New }
