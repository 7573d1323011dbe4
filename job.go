package oleanderline

import (
	"fmt"
	"time"
)

// Job is a submission: a set of steps, which may depend on one another.
type Job struct {
	ID    JobID   `json:"-"`
	Queue QueueID `json:"q"`
	// Policy is the definition of the queue at the time when the job was accepted. It is used after the queue was removed.
	Policy  Queue  `json:"policy,omitzero"`
	Payload string `json:"spec"` // passed unchanged to every task
	Steps   []Step `json:"steps"`
	Repeat  Repeat `json:"rep,omitzero"`
	// Submitted is the wall-clock time at which a process accepted the job.
	Submitted time.Time `json:"t"`
}

// Step is a number of identical tasks.
type Step struct {
	Count          int           `json:"n"`
	Size           Size          `json:"size"`
	Estimate       time.Duration `json:"est,omitempty"`    // rough run time of one task
	After          []int         `json:"after,omitempty"`  // earlier steps that must be completed first
	Checkpoint     bool          `json:"ckpt,omitempty"`   // the tasks write checkpoints
	Gang           bool          `json:"gang,omitempty"`   // gang scheduling: the tasks run only together
	SameRack       bool          `json:"tight,omitempty"`  // the tasks are slower if they are spread over several racks
	Label          string        `json:"label,omitempty"`  // label that the worker must have
	Rack           RackID        `json:"rack,omitempty"`   // rack that holds the data
	MaxPerWorker   int           `json:"apart,omitempty"`  // maximum number of the step's tasks on one worker; 0 means no limit
	Speculative    bool          `json:"copies,omitempty"` // speculative copies of slow tasks are allowed
	LongRunning    bool          `json:"lasts,omitempty"`  // long-running: the tasks run until the job is cancelled
	Image          string        `json:"image,omitempty"`
	TailTarget     time.Duration `json:"tail,omitempty"`  // upper bound on the tail latency of a long-running task
	BestEffort     bool          `json:"fills,omitempty"` // best effort: uses only idle CPU time; its CPU request does not count as committed
	MaxUnavailable *int          `json:"miss,omitempty"`  // long-running tasks that the scheduler may interrupt at the same time; nil means no limit
}

// AllowsCopies reports whether two runs of a task of the step may be in progress at the same time.
func (s *Step) AllowsCopies() bool {
	return s.Speculative && !s.Gang && !s.LongRunning && !s.BestEffort
}

// Repeat makes the steps run several times. The zero value means that they run once and immediately.
type Repeat struct {
	Count int           `json:"n,omitempty"`
	First time.Time     `json:"first,omitzero"`
	Every time.Duration `json:"every,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat.Count) }

// HasDueTimes reports whether the occurrences of the job have due times.
func (j *Job) HasDueTimes() bool { return j.Repeat.Count > 0 }

// Due returns the wall-clock time from which occurrence k may start, or the zero time if it may start immediately.
func (j *Job) Due(k int) time.Time {
	if !j.HasDueTimes() {
		return time.Time{}
	}
	return j.Repeat.First.Add(time.Duration(k) * j.Repeat.Every)
}

// Bounds of a job.
const (
	// maxTasks limits the memory that one submission can take up in a scheduler.
	maxTasks = 20000
	// maxAmount bounds the amount of a resource that a task requests or a worker has. It is far above any VM, and no sum overflows.
	maxAmount = 1 << 40
	// maxSpan bounds the sum of the estimates, and the time from the first occurrence to the last.
	maxSpan = 100 * 365 * 24 * time.Hour
	// maxYear is the last year in which an occurrence may be due. Times are stored as RFC 3339, which ends with the year 9999.
	maxYear = 9000
)

// Validate returns an error for the first invalid field that it finds. The error names the step.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return fmt.Errorf("a job needs at least one step")
	}
	if j.Repeat.Count < 0 || j.Repeat.Every < 0 {
		return fmt.Errorf("repetitions and their interval must not be negative")
	}
	if err := j.Repeat.validate(); err != nil {
		return err
	}
	total, estimate := 0, time.Duration(0)
	for i := range j.Steps {
		step := &j.Steps[i]
		if err := step.validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += step.Count * j.Occurrences()
		if total > maxTasks {
			return fmt.Errorf("more than %d tasks over all steps and occurrences", maxTasks)
		}
		estimate += step.Estimate
		if estimate > maxSpan {
			return fmt.Errorf("estimates of the steps add up to more than %s", maxSpan)
		}
	}
	return nil
}

// validate checks each factor before it is multiplied, because a product that overflows may seem valid.
func (r *Repeat) validate() error {
	switch {
	case r.Count > maxTasks:
		return fmt.Errorf("%d occurrences, want at most %d", r.Count, maxTasks)
	case r.Count > 1 && r.Every > maxSpan/time.Duration(r.Count):
		return fmt.Errorf("%d occurrences, one each %s, take longer than %s", r.Count, r.Every, maxSpan)
	case !r.First.IsZero() && (r.First.Year() < 1 || r.First.Year() > maxYear):
		return fmt.Errorf("first occurrence is due in the year %d, want 1 to %d", r.First.Year(), maxYear)
	}
	return nil
}

func (s *Step) validate(index int) error {
	switch {
	case s.Count <= 0:
		return fmt.Errorf("count %d, want at least 1", s.Count)
	case s.Count > maxTasks:
		return fmt.Errorf("count %d, want at most %d", s.Count, maxTasks)
	case !Size{}.Fits(s.Size):
		return fmt.Errorf("size %s must not be negative", s.Size)
	case !s.Size.inRange():
		return fmt.Errorf("size %s, want at most %d of each resource", s.Size, maxAmount)
	case s.Estimate > maxSpan:
		return fmt.Errorf("estimate %s, want at most %s", s.Estimate, maxSpan)
	case s.Estimate < 0 || s.TailTarget < 0 || s.MaxPerWorker < 0:
		return fmt.Errorf("times and bounds must not be negative")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("depends on step %d, which is not an earlier step", earlier)
		}
	}
	return nil
}

// JobState is the state of a job as callers see it.
type JobState int

// States of jobs.
const (
	JobPending JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Final reports whether the state can no longer change.
func (s JobState) Final() bool { return s >= JobCompleted }

// String returns the state for logs.
func (s JobState) String() string {
	switch s {
	case JobPending:
		return "pending"
	case JobRunning:
		return "running"
	case JobCompleted:
		return "completed"
	case JobFailed:
		return "failed"
	case JobCancelled:
		return "cancelled"
	}
	return "unknown"
}
