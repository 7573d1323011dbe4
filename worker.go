package oleanderline

import (
	"context"
	"time"
)

// Worker is the platform's agent on one worker VM. Every call is bounded by the deadline of its context. An error that
// matches ErrUncertain means that the operation may have taken effect.
type Worker interface {
	// Start begins an attempt under a lease. A repeated Start of a running attempt succeeds without effect. It fails
	// with ErrFenced for an old term or an attempt that was stopped before.
	Start(ctx context.Context, req StartRequest) error
	// Renew extends all leases of a shard on this worker and returns what the worker knows about the shard's tasks.
	Renew(ctx context.Context, req RenewRequest) (Inventory, error)
	// Stop ends an attempt and returns its last checkpoint. Stopping an unknown attempt succeeds, and a later Start of
	// that attempt is refused.
	Stop(ctx context.Context, req StopRequest) (StopResult, error)
	// Throttle limits the processor time of a running attempt; share is in (0, 1], 1 removes the limit.
	Throttle(ctx context.Context, req ThrottleRequest) error
	// Inventory returns all leases and unacknowledged outcomes of a shard without extending leases.
	Inventory(ctx context.Context, shard ShardID) (Inventory, error)
	// Usage returns the newest usage report, which lags behind reality.
	Usage(ctx context.Context) (Usage, error)
}

// TaskKind tells latency-critical instances from batch tasks.
type TaskKind string

// Kinds of tasks.
const (
	KindBatch    TaskKind = "batch"
	KindCritical TaskKind = "critical"
)

// StartRequest asks a worker to begin one attempt of a task.
type StartRequest struct {
	Shard      ShardID       `json:"shard"`
	Term       Term          `json:"term"`
	Task       TaskID        `json:"task"`
	Attempt    Attempt       `json:"attempt"`
	Kind       TaskKind      `json:"kind"`
	Class      string        `json:"class,omitempty"`
	Command    string        `json:"cmd"`
	Size       Size          `json:"size"`
	Lease      time.Duration `json:"lease"`
	Checkpoint string        `json:"ckpt,omitempty"` // opaque reference returned by an earlier stop
}

// RenewRequest extends the leases of a shard and acknowledges outcomes that are recorded in the log.
type RenewRequest struct {
	Shard ShardID       `json:"shard"`
	Term  Term          `json:"term"`
	Lease time.Duration `json:"lease"`
	Acked []AttemptKey  `json:"acked,omitempty"`
}

// StopRequest ends one attempt.
type StopRequest struct {
	Shard      ShardID `json:"shard"`
	Term       Term    `json:"term"`
	Task       TaskID  `json:"task"`
	Attempt    Attempt `json:"attempt"`
	Checkpoint bool    `json:"save"` // write a checkpoint before stopping
}

// StopResult tells how an attempt ended.
type StopResult struct {
	// Stopped is false while the attempt still runs, for example because it ignores the stop.
	Stopped    bool     `json:"stopped"`
	Outcome    *Outcome `json:"outcome,omitempty"` // set if the attempt had finished before the stop
	Checkpoint string   `json:"ckpt,omitempty"`
}

// ThrottleRequest limits the processor time of one attempt.
type ThrottleRequest struct {
	Shard   ShardID `json:"shard"`
	Term    Term    `json:"term"`
	Task    TaskID  `json:"task"`
	Attempt Attempt `json:"attempt"`
	Share   float64 `json:"share"`
}

// AttemptKey identifies one attempt of a task.
type AttemptKey struct {
	Task    TaskID  `json:"task"`
	Attempt Attempt `json:"attempt"`
}

// Lease is one running attempt in a worker's table.
type Lease struct {
	AttemptKey
	Term      Term          `json:"term"`
	Size      Size          `json:"size"`
	Kind      TaskKind      `json:"kind"`
	Remaining time.Duration `json:"left"` // by the worker's own clock
	Progress  float64       `json:"prog"` // 0 to 1, as reported by the task
}

// Outcome is the final result of one attempt, kept by the worker until it is acknowledged.
type Outcome struct {
	AttemptKey
	State      OutcomeState  `json:"state"`
	Reason     string        `json:"why,omitempty"`
	Ran        time.Duration `json:"ran"`
	Checkpoint string        `json:"ckpt,omitempty"`
}

// OutcomeState tells how an attempt ended.
type OutcomeState string

// Final states of attempts.
const (
	OutcomeDone    OutcomeState = "done"
	OutcomeFailed  OutcomeState = "failed"
	OutcomeStopped OutcomeState = "stopped"
	OutcomeLapsed  OutcomeState = "lapsed" // the lease ran out and the worker stopped the task
)

// Inventory is what a worker knows about the tasks of one shard.
type Inventory struct {
	Worker   WorkerID  `json:"worker"`
	Leases   []Lease   `json:"leases"`
	Outcomes []Outcome `json:"outcomes"`
}

// Usage is a lagging measurement of one worker.
type Usage struct {
	Time  time.Time   `json:"time"` // when it was measured
	CPU   Millicores  `json:"cpu"`
	Mem   Megabytes   `json:"mem"`
	Tasks []TaskUsage `json:"tasks"`
}

// TaskUsage is the measured usage of one attempt.
type TaskUsage struct {
	AttemptKey
	CPU  Millicores `json:"cpu"`
	Mem  Megabytes  `json:"mem"`
	Slow float64    `json:"slow,omitempty"` // slowdown against running alone, 1 means none; latency-critical tasks only
}
