package oleanderline

import (
	"context"
	"time"
)

// Runner is the agent on one VM that runs tasks until a deadline on its own clock, which each order may extend for all
// that runs there. An error that matches ErrUncertain means that the order may be carried out, also later.
type Runner interface {
	// Start begins a run. It fails with a *RefusedError if the runner refuses.
	Start(ctx context.Context, order StartRun) (WorkerTime, error)
	// Stop ends a run, and makes a later start of it fail.
	Stop(ctx context.Context, order StopRun) (WorkerTime, error)
	// Pace limits the share of its full speed at which a run works.
	Pace(ctx context.Context, order PaceRun) (WorkerTime, error)
	// Hold extends the deadline, acknowledges ends and returns what runs and what has ended.
	Hold(ctx context.Context, order HoldRuns) (WorkerReport, error)
	// Close closes idle connections.
	Close()
}

// WorkerTime is a time on a worker's own clock, in whole milliseconds.
type WorkerTime int64

// Add returns t moved by d.
func (t WorkerTime) Add(d time.Duration) WorkerTime { return t + WorkerTime(d.Milliseconds()) }

// StartRun asks a runner to begin a run of a task.
type StartRun struct {
	Key        RunKey
	Payload    string
	Deadline   WorkerTime
	Term       Term
	Checkpoint string
	Ticket     string // from an adviser, if the queue has one
}

// StopRun ends a run.
type StopRun struct {
	Key  RunKey
	Term Term
}

// PaceRun limits a run to a share of its full speed.
type PaceRun struct {
	Key     RunKey
	Percent int // 0 to 100
	Term    Term
}

// HoldRuns extends the deadline of all runs of one worker.
type HoldRuns struct {
	Life     WorkerLife // the life that is meant; zero for any
	Deadline WorkerTime // zero leaves the deadline as it is
	Term     Term
	Acked    int64         // ends up to this number are recorded and may be forgotten
	Wait     time.Duration // how long the runner may wait for an end before it answers
}

// WorkerLife tells apart the lives of a worker that keeps its id.
type WorkerLife int64

// WorkerReport is what a runner says about its runs.
type WorkerReport struct {
	Life    WorkerLife
	Clock   WorkerTime
	Running []RunStatus
	Ended   []RunEnd
}

// RunStatus is a run in progress.
type RunStatus struct {
	Key        RunKey
	Checkpoint string
	Percent    int // done so far; a lasting task is at work at 100
	// Gauge covers the last half second: the tail latency in milliseconds of a lasting task with a target, the
	// processor time in use, in thousandths of a core, of any other.
	Gauge int
}

// RunEnd is a run that has ended and that is not acknowledged yet.
type RunEnd struct {
	Number     int64
	Key        RunKey
	How        EndKind
	Checkpoint string
}

// EndKind tells how a run ended.
type EndKind int

// Ends of runs.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLapsed // the deadline passed
	EndBroken // another member of its gang ended
	EndAlone  // the other members of its gang did not come in time
)

// String returns the end for logs.
func (k EndKind) String() string {
	return nameOf(int(k), "done", "failed", "stopped", "lapsed", "broken", "alone")
}

// RefusalReason tells why a runner refused an order.
type RefusalReason int

// Reasons of refusals.
const (
	RefusedTerm      RefusalReason = iota // a newer term has been seen
	RefusedOld                            // the run was stopped or ended before
	RefusedLate                           // its deadline has passed
	RefusedRoom                           // no room
	RefusedTicket                         // the ticket is missing or not valid
	RefusedLife                           // another life than the intended one
	RefusedUnhealthy                      // the runner is not healthy and has done nothing
	RefusedInvalid                        // the order is malformed
)

// String returns the reason for logs.
func (r RefusalReason) String() string {
	return nameOf(int(r), "term", "old", "late", "room", "ticket", "life", "unhealthy", "invalid")
}

// nameOf returns the name of a value that may come from a process of another version.
func nameOf(value int, names ...string) string {
	if value < 0 || value >= len(names) {
		return "unknown"
	}
	return names[value]
}

// RefusedError is the refusal of an order, which then has had no effect.
type RefusedError struct{ Reason RefusalReason }

// Error implements error.
func (e *RefusedError) Error() string { return "order refused: " + e.Reason.String() }
