package plan

import (
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
	Life       oleanderline.WorkerIncarnation
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
}

// NoteKind is the kind of a decision.
type NoteKind int

// Kinds of notes.
const (
	NoteStart    NoteKind = iota // a start was ordered
	NoteEnd                      // a worker reported the end of a run; the reason is how it ended
	NoteStop                     // a stop was ordered, or a start failed
	NoteLost                     // a run counts as ended without a report of its end
	NoteJob                      // a job ended; the reason is its final state
	NoteWorker                   // the state of a worker changed
	NoteThrottle                 // a throttle was ordered; the reason is its percentage of full speed
)

// Note is a decision or state change that the caller logs.
type Note struct {
	Kind   NoteKind
	Run    oleanderline.RunKey
	Worker oleanderline.WorkerID
	Reason string
	// Waited is how long a started task was ready, and Obstacle why its step last found no worker, "" if it always found one.
	Waited   time.Duration
	Obstacle string
	TaskKind string // of a started task: "long-running", "best-effort" or "batch"
}
