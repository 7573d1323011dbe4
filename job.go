package oleanderline

import (
	"fmt"
	"time"
)

// Job is a submission: steps of tasks that depend on one another.
type Job struct {
	ID    JobID   `json:"-"`
	Queue QueueID `json:"q"`
	// Policy is the queue's definition when the job was accepted. It applies once the queue has been removed.
	Policy  Queue  `json:"policy,omitzero"`
	Payload string `json:"spec"` // passed to every task as it is
	Steps   []Step `json:"steps"`
	Repeat  Repeat `json:"rep,omitzero"`
	// Submitted is when a process accepted the job, by the time of day.
	Submitted time.Time `json:"t"`
}

// Step is a number of tasks that are alike.
type Step struct {
	Count      int           `json:"n"`
	Size       Size          `json:"size"`
	Estimate   time.Duration `json:"est,omitempty"`   // a rough run time of one task
	After      []int         `json:"after,omitempty"` // earlier steps that must be done first
	Checkpoint bool          `json:"ckpt,omitempty"`
	Gang       bool          `json:"gang,omitempty"`  // the tasks run only together
	SameRack   bool          `json:"tight,omitempty"` // tasks are slower when they run on several racks
	Label      string        `json:"label,omitempty"` // a label that the worker must have
	Rack       RackID        `json:"rack,omitempty"`  // where the data is
	Spread     int           `json:"apart,omitempty"` // at most this many tasks of the step on one worker; 0 is no bound
	Copies     bool          `json:"copies,omitempty"`
	Lasting    bool          `json:"lasts,omitempty"` // the tasks run until the job is cancelled
	Image      string        `json:"image,omitempty"`
	TailTarget time.Duration `json:"tail,omitempty"`  // bound of the tail latency of a lasting task
	Filler     bool          `json:"fills,omitempty"` // uses leftover processor time; its CPU does not count as committed
	MayMiss    *int          `json:"miss,omitempty"`  // lasting tasks that the scheduler may take away at the same time
}

// Repeat makes the steps run several times. The zero value means once, at once.
type Repeat struct {
	Count int           `json:"n,omitempty"`
	First time.Time     `json:"first,omitzero"`
	Every time.Duration `json:"every,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat.Count) }

// Timed reports whether the job waits for due times.
func (j *Job) Timed() bool { return j.Repeat.Count > 0 }

// Due returns when occurrence k may start, by the time of day.
func (j *Job) Due(k int) time.Time {
	if !j.Timed() {
		return time.Time{}
	}
	return j.Repeat.First.Add(time.Duration(k) * j.Repeat.Every)
}

// maxTasks bounds what one submission can make a scheduler hold.
const maxTasks = 20000

// Validate reports the first fault of the steps, naming the step.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return fmt.Errorf("a job needs at least one step")
	}
	if j.Repeat.Count < 0 || j.Repeat.Every < 0 {
		return fmt.Errorf("repetitions and their interval must not be negative")
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += j.Steps[i].Count * j.Occurrences()
		if total > maxTasks {
			return fmt.Errorf("more than %d tasks", maxTasks)
		}
	}
	return nil
}

func (s *Step) validate(index int) error {
	switch {
	case s.Count <= 0:
		return fmt.Errorf("count %d, want at least 1", s.Count)
	case s.Count > maxTasks:
		return fmt.Errorf("count %d, want at most %d", s.Count, maxTasks)
	case s.Size.CPU < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0:
		return fmt.Errorf("size %s must not be negative", s.Size)
	case s.Estimate < 0 || s.TailTarget < 0 || s.Spread < 0:
		return fmt.Errorf("times and bounds must not be negative")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("depends on step %d, which is not an earlier step", earlier)
		}
	}
	return nil
}

// JobState is what callers see of a job.
type JobState int

// States of jobs.
const (
	JobPending JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Final reports whether the state does not change any more.
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
