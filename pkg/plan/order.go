package plan

import (
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
)

// OrderKind is the operation that an order asks a worker for.
type OrderKind int

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderThrottle // limit the speed of a run
)

// Order is a call to one incarnation of a worker, about one run of a task.
type Order struct {
	Kind       OrderKind
	Worker     oleanderline.WorkerID
	Domain     oleanderline.DomainID          // of the worker, for OrderStart
	Life       oleanderline.WorkerIncarnation // zero for any
	Key        oleanderline.RunKey
	Payload    string
	Checkpoint string // of an earlier run, from which the new run resumes
	Ticket     string // from the queue's adviser, if it has one
	Percent    int    // of full speed, for OrderThrottle
}

// Result is the outcome of an order.
type Result struct {
	Order Order
	Err   error
	// Attempts is the number of calls made. If there was more than one, an earlier call may still take effect.
	Attempts int
	// Took is the time from the turn of the order until its result, as measured by the process that sent it; 0 if unknown.
	Took time.Duration
}

// startUnanswered reports whether a call of a start had no answer, so that it may still be carried out.
func (r Result) startUnanswered() bool {
	return r.Attempts > 1 || errors.Is(r.Err, oleanderline.ErrUncertain)
}
