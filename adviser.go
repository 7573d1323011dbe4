package oleanderline

import (
	"context"
	"time"
)

// Adviser says which workers may run a step. It takes time for each worker that it is asked about, and answers one call at a
// time for each caller.
type Adviser interface {
	// Advise returns a ticket for each of the workers that may run the step. The index of the key has no meaning.
	Advise(ctx context.Context, step TaskKey, workers []WorkerID) (Advice, error)
}

// Advice is the answer of an adviser. Which workers may run a step does not change; tickets expire.
type Advice struct {
	Tickets  map[WorkerID]string
	Validity time.Duration
}
