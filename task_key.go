package oleanderline

import "fmt"

// TaskKey identifies a task of a job with steps.
type TaskKey struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String formats the key as job.occurrence.step.index.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", k.Job, k.Occurrence, k.Step, k.Index)
}

// RunKey identifies one run of a task. Run numbers of a task rise over all owners.
type RunKey struct {
	Task TaskKey
	Run  int
}
