package oleanderline

import (
	"context"
	"time"
)

// Worker is the platform's agent on one worker VM. The deadline of its context bounds every call. An error that matches
// ErrUncertain means that the operation may have taken effect.
type Worker interface {
	// Start begins an attempt under a lease. A repeated Start of a running attempt succeeds without effect. It fails
	// with ErrFenced if the term is stale or the attempt has already been stopped.
	Start(ctx context.Context, req StartRequest) error
	// Renew extends all leases of a shard on this worker and returns the worker's inventory of that shard.
	Renew(ctx context.Context, req RenewRequest) (Inventory, error)
	// Stop ends an attempt and returns its last checkpoint. Stopping an unknown attempt succeeds, and a later Start of
	// that attempt is refused.
	Stop(ctx context.Context, req StopRequest) (StopResult, error)
	// Throttle limits the CPU time of a running attempt. The share is in (0, 1]; 1 removes the limit.
	Throttle(ctx context.Context, req ThrottleRequest) error
	// Inventory returns all leases and unacknowledged outcomes of a shard without extending leases.
	Inventory(ctx context.Context, shard ShardID) (Inventory, error)
	// Usage returns the newest usage report, which may be stale.
	Usage(ctx context.Context) (Usage, error)
}

// TaskKind distinguishes instances of latency-critical services from batch tasks.
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
	Checkpoint string        `json:"ckpt,omitempty"` // opaque reference that an earlier stop returned
}

// RenewRequest extends the leases of a shard and acknowledges outcomes that have been recorded in the log.
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

// StopResult is the result of stopping an attempt.
type StopResult struct {
	// Stopped is false while the attempt is still running, for example because it ignores the stop.
	Stopped    bool     `json:"stopped"`
	Outcome    *Outcome `json:"outcome,omitempty"` // set if the attempt had ended before the stop
	Checkpoint string   `json:"ckpt,omitempty"`
}

// ThrottleRequest limits the CPU time of one attempt.
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

// Lease is an entry in a worker's lease table: one running attempt.
type Lease struct {
	AttemptKey
	Term      Term          `json:"term"`
	Size      Size          `json:"size"`
	Kind      TaskKind      `json:"kind"`
	Remaining time.Duration `json:"left"` // measured by the worker's own clock
	Progress  float64       `json:"prog"` // 0 to 1, as reported by the task
}

// Outcome is the final result of one attempt. The worker keeps it until it is acknowledged.
type Outcome struct {
	AttemptKey
	State      OutcomeState  `json:"state"`
	Reason     string        `json:"why,omitempty"`
	Ran        time.Duration `json:"ran"`
	Checkpoint string        `json:"ckpt,omitempty"`
}

// OutcomeState says how an attempt ended.
type OutcomeState string

// Final states of attempts.
const (
	OutcomeDone    OutcomeState = "done"
	OutcomeFailed  OutcomeState = "failed"
	OutcomeStopped OutcomeState = "stopped"
	OutcomeExpired OutcomeState = "lapsed" // the lease expired and the worker stopped the task
)

// Inventory holds the running attempts and the unacknowledged outcomes of one shard on a worker.
type Inventory struct {
	Worker   WorkerID  `json:"worker"`
	Leases   []Lease   `json:"leases"`
	Outcomes []Outcome `json:"outcomes"`
}

// Usage is a measurement of the resource usage of one worker, which may be stale.
type Usage struct {
	Time  time.Time   `json:"time"` // time of the measurement
	CPU   Millicores  `json:"cpu"`
	Mem   Megabytes   `json:"mem"`
	Tasks []TaskUsage `json:"tasks"`
}

// TaskUsage is the measured usage of one attempt.
type TaskUsage struct {
	AttemptKey
	CPU      Millicores `json:"cpu"`
	Mem      Megabytes  `json:"mem"`
	Slowdown float64    `json:"slow,omitempty"` // slowdown relative to running alone, 1 means none; latency-critical tasks only
}
