package oleanderline

import (
	"context"
	"errors"
	"time"
)

// JobService is the interface that every process of a cell offers to callers, independent of their protocol.
type JobService interface {
	// Queue finds the queue of a request by host and the longest matching path prefix, and returns the rest of the path.
	// It fails with ErrNotReady until the first configuration has been read, and with ErrUnknownQueue if no queue matches.
	Queue(host, path string) (queue Queue, rest string, err error)
	// Submit stores a job and returns nil once it is stored. ErrUnavailable and ErrNotReady mean that this call has stored
	// nothing, ErrUncertain that it may have stored the job, and ErrConflict that the id belongs to a different job.
	Submit(ctx context.Context, job Job) error
	// State returns the state of a job. It fails with ErrUnknownJob if there is no such job, and with ErrNotReady if this
	// process does not know the state.
	State(ctx context.Context, queue QueueID, id JobID) (JobState, error)
	// Cancel stores the cancellation of a job.
	Cancel(ctx context.Context, queue QueueID, id JobID) error
	// PendingJobs returns the number of accepted jobs of a queue that have not started any task.
	PendingJobs(queue QueueID) (int, error)
	// Ready reports whether new callers should be routed to this process.
	Ready() bool
	// RetryAfter returns how long a refused caller should wait before a retry.
	RetryAfter() time.Duration
	// MaxBody returns the limit on the size of a submission in bytes; 0 means no limit.
	MaxBody() int64
}

// Errors of a JobService.
var (
	ErrNotReady     = errors.New("this process cannot answer yet")
	ErrUnknownQueue = errors.New("no such queue")
	ErrUnknownJob   = errors.New("no such job")
	ErrConflict     = errors.New("the id names another job")
)
