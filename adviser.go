package oleanderline

import (
	"context"
	"time"
)

// Adviser decides which workers may run a step, and issues the tickets that those workers require at a start. The time of a
// call grows with the number of workers, and calls of one client are answered one at a time.
type Adviser interface {
	// Advise returns a ticket for each of the given workers that may run the step. The Index of the key is ignored.
	Advise(ctx context.Context, step TaskKey, workers []WorkerID) (Advice, error)
}

// Advice is the answer of an Adviser. The set of workers that may run a step never changes, but tickets expire.
type Advice struct {
	Tickets  map[WorkerID]string // of the workers that may run the step
	Validity time.Duration       // of the tickets
}
