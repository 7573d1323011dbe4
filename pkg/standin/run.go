package standin

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Run is one execution of an attempt on a worker, kept for later checks.
type Run struct {
	oleanderline.AttemptKey
	Worker oleanderline.WorkerID
	Begin  time.Time
	End    time.Time // zero while running
	State  oleanderline.OutcomeState
}

// overlaps reports whether two runs were in progress at the same time.
func (r Run) overlaps(other Run) bool {
	return (other.End.IsZero() || r.Begin.Before(other.End)) && (r.End.IsZero() || other.Begin.Before(r.End))
}

// Violations returns a description of each pair of runs that must not occur: an attempt that ran twice, a task with two
// runs at the same time, and a task that was completed twice.
func Violations(runs []Run) []string {
	var found []string
	sorted := slices.Clone(runs)
	slices.SortStableFunc(sorted, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.Begin.Compare(b.Begin), cmp.Compare(a.Attempt, b.Attempt))
	})
	for i, run := range sorted {
		for _, later := range sorted[i+1:] {
			if later.Task != run.Task {
				break
			}
			if conflict := describeConflict(run, later); conflict != "" {
				found = append(found, fmt.Sprintf("task %s: %s: attempt %d at %s and attempt %d at %s",
					run.Task, conflict, run.Attempt, run.Worker, later.Attempt, later.Worker))
			}
		}
	}
	return found
}

func describeConflict(a, b Run) string {
	switch {
	case a.Attempt == b.Attempt:
		return "attempt ran twice"
	case a.overlaps(b):
		return "attempts ran at the same time"
	case a.State == oleanderline.OutcomeDone && b.State == oleanderline.OutcomeDone:
		return "completed twice"
	default:
		return ""
	}
}
