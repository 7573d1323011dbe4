package evacuation

import (
	"iter"

	"github.com/oleanderline/oleanderline"
)

// Worker is a worker that a step may use, by its pool and labels.
type Worker struct {
	InService bool // its failure domain is in service
	Capacity  oleanderline.Size
}

// WaitsForDomain reports whether a step can start on none of the workers in service, even if these were empty, but could with those
// that are out of service. A gang needs room for all its tasks at once.
func WaitsForDomain(step *oleanderline.Step, workers iter.Seq[Worker]) bool {
	need := 1
	if step.Gang {
		need = step.Count
	}
	inService, all := 0, 0
	for w := range workers {
		count := slots(step, w.Capacity, need)
		all += count
		if w.InService {
			inService += count
		}
		if inService >= need {
			return false
		}
	}
	return all >= need
}

// slots returns how many tasks of a step fit on an empty worker, up to limit.
func slots(step *oleanderline.Step, capacity oleanderline.Size, limit int) int {
	if step.MaxPerWorker > 0 {
		limit = min(limit, step.MaxPerWorker)
	}
	need := step.Size
	if step.BestEffort {
		need.CPU = 0
	}
	count, used := 0, need
	for count < limit && used.Fits(capacity) {
		count, used = count+1, used.Add(need)
	}
	return count
}
