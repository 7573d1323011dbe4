// Package breaker limits how many tasks of a step run while all its runs fail. It answers jobs that can never be done, of which every
// task fails by its own fault: without a limit each task runs as often as the queue allows, in the room that other jobs wait for.
package breaker

import (
	"slices"

	"github.com/oleanderline/oleanderline"
)

const (
	// openAfter is the number of workers on which runs must have failed. Fewer may be at fault themselves, and a task that fails now and
	// then seldom does so on that many workers before any other task of its step is done.
	openAfter = 3
	// maxProbes is the number of tasks that may run again at the same time while the breaker is open. The second one replaces a probe
	// that is lost with its worker or runs for long.
	maxProbes = 2
)

// Breaker is the state of one step. It opens once runs have failed on several workers and none has succeeded, and closes for good with
// the first success. The zero value is closed.
type Breaker struct {
	failedOn []oleanderline.WorkerID // different workers, at most openAfter
	closed   bool
}

// Failed records a run that failed by its own fault or that of its worker.
func (b *Breaker) Failed(worker oleanderline.WorkerID) {
	if b.closed || b.Open() || slices.Contains(b.failedOn, worker) {
		return
	}
	b.failedOn = append(b.failedOn, worker)
}

// Succeeded records a run that has completed its task.
func (b *Breaker) Succeeded() { b.closed, b.failedOn = true, nil }

// Open reports whether tasks of the step may run only as probes.
func (b *Breaker) Open() bool { return len(b.failedOn) >= openAfter }

// AllowsProbe reports whether another probe may start beside those that run.
func (b *Breaker) AllowsProbe(running int) bool { return running < maxProbes }
