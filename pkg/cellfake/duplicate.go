package cellfake

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// ActiveRun is a run that has started.
type ActiveRun struct {
	Run       int
	Worker    oleanderline.WorkerID
	Term      oleanderline.Term // of the order that started it
	StartedAt time.Time
}

// Duplicate is a violation of TWICE: the run Second of a task started while its run First was active, or after that run had ended as
// done and its end was or will be acknowledged.
type Duplicate struct {
	Task          oleanderline.TaskKey
	First, Second ActiveRun
	FirstDone     bool
}

// Duplicates returns the pairs of runs that violate TWICE, in the order of their starts.
func (c *Checker) Duplicates() []Duplicate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Duplicate(nil), c.duplicates...)
}
