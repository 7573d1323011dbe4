package oleanderline

import "fmt"

// TaskKey identifies one task of a job with steps.
type TaskKey struct {
	Job        JobID
	Occurrence int // from 0, see Repeat
	Step       int // index in Job.Steps
	Index      int // of the task in its step, from 0
}

// String formats the key as job.occurrence.step.index.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", k.Job, k.Occurrence, k.Step, k.Index)
}

// RunKey identifies one run (attempt) of a task. The run numbers of a task keep rising when the leader changes.
type RunKey struct {
	Task TaskKey
	Run  int
}
