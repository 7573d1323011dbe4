package oleanderline

import (
	"context"
	"time"
)

// Runner is the agent on one worker VM of a cell. All its runs share one lease deadline, measured on the worker's own clock,
// which start and renew orders extend. An error that matches ErrUncertain means that the order may have taken effect, or may do so
// later.
//
// A start, a deadline and an acknowledgement reach only the incarnation of the worker that the order names: a later one begins its
// clock anew, so that it would grant its longest lease, refuses no earlier leader, and numbers its ends anew.
type Runner interface {
	// Start begins a run. Like the other orders, it fails with a *RefusedError if the runner refuses the order.
	Start(ctx context.Context, order StartRun) (WorkerTime, error)
	// Stop ends a run. A Start of the same run that arrives later is refused.
	Stop(ctx context.Context, order StopRun) (WorkerTime, error)
	// Throttle throttles a run to a percentage of its full speed.
	Throttle(ctx context.Context, order ThrottleRun) (WorkerTime, error)
	// Renew renews the lease: it extends the deadline, acknowledges ended runs and returns the runs in progress and those that
	// have ended. If another incarnation than the one named by the order answers, it only returns the report of that one.
	Renew(ctx context.Context, order RenewRuns) (WorkerReport, error)
	// Close closes idle connections.
	Close()
}

// WorkerTime is a reading of a worker's own clock, in whole milliseconds.
type WorkerTime int64

// Add returns t+d.
func (t WorkerTime) Add(d time.Duration) WorkerTime { return t + WorkerTime(d.Milliseconds()) }

// StartRun orders the start of a run of a task.
type StartRun struct {
	Key     RunKey
	Payload string
	// Incarnation is the one that the order is meant for, and on whose clock the deadline is; zero for any.
	Incarnation WorkerIncarnation
	Deadline    WorkerTime // of all runs of the worker
	Term        Term
	Checkpoint  string
	Ticket      string // issued by the Adviser, if the queue needs one
}

// StopRun orders the end of a run.
type StopRun struct {
	Key  RunKey
	Term Term
}

// ThrottleRun throttles a run to a percentage of its full speed.
type ThrottleRun struct {
	Key     RunKey
	Percent int // 0 to 100
	Term    Term
}

// RenewRuns renews the lease of all runs of one worker.
type RenewRuns struct {
	Incarnation WorkerIncarnation // the incarnation that the order is meant for; zero for any
	Deadline    WorkerTime        // zero leaves the deadline unchanged
	Term        Term
	Acked       int64         // ends up to this number are recorded, so the runner may discard them
	Wait        time.Duration // long poll: how long the runner may wait for an end before it answers
}

// WorkerIncarnation identifies one incarnation of a worker: a worker that restarts keeps its id and gets a new WorkerIncarnation.
type WorkerIncarnation int64

// WorkerReport is a runner's report about its runs.
type WorkerReport struct {
	Life    WorkerIncarnation
	Clock   WorkerTime
	Running []RunStatus
	Ended   []RunEnd
}

// RunStatus is a run in progress.
type RunStatus struct {
	Key        RunKey
	Checkpoint string
	Percent    int // progress; a long-running task that is serving reports 100
	// Gauge is measured over the last half second: for a long-running task with a tail latency target, the tail latency in
	// milliseconds; for any other task, the CPU usage in thousandths of a core.
	Gauge int
}

// RunEnd is a run that has ended and whose end has not been acknowledged yet.
type RunEnd struct {
	Number     int64 // rises with each end of an incarnation
	Key        RunKey
	How        EndKind
	Checkpoint string
}

// EndKind says how a run ended.
type EndKind int

// Ends of runs.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndExpired        // the lease expired: the worker's deadline passed
	EndGangBroken     // another task of its gang ended
	EndGangIncomplete // the other tasks of its gang were not started in time
)

// String returns the name used in logs.
func (k EndKind) String() string {
	return nameOf(int(k), "done", "failed", "stopped", "lapsed", "broken", "alone")
}

// RefusalReason says why a runner refused an order.
type RefusalReason int

// Reasons of refusals.
const (
	RefusedTerm        RefusalReason = iota // fenced: the runner has seen a newer term
	RefusedStale                            // the run has already been stopped or has ended
	RefusedExpired                          // the deadline of the order has already passed
	RefusedCapacity                         // not enough free capacity
	RefusedTicket                           // the ticket is missing or invalid
	RefusedIncarnation                      // the order is meant for another incarnation of the worker
	RefusedUnhealthy                        // the runner is unhealthy; the order had no effect
	RefusedInvalid                          // the order is malformed
)

// String returns the name used in logs.
func (r RefusalReason) String() string {
	return nameOf(int(r), "term", "old", "late", "room", "ticket", "life", "unhealthy", "invalid")
}

// nameOf returns names[value], or "unknown" for a value that a process of a newer version may have sent.
func nameOf(value int, names ...string) string {
	if value < 0 || value >= len(names) {
		return "unknown"
	}
	return names[value]
}

// RefusedError means that a runner refused an order, which therefore has had no effect.
type RefusedError struct{ Reason RefusalReason }

// Error implements error.
func (e *RefusedError) Error() string { return "order refused: " + e.Reason.String() }
