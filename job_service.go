package oleanderline

import (
	"context"
	"errors"
	"time"
)

// JobService is what every process of a cell offers to callers, whatever protocol they speak.
type JobService interface {
	// Queue finds the queue of a request by host and the longest matching prefix, and returns the rest of the path. It
	// fails with ErrNotReady before the first configuration and with ErrUnknownQueue if there is no such queue.
	Queue(host, path string) (queue Queue, rest string, err error)
	// Submit stores a job. It returns nil once the job is stored. ErrUnavailable and ErrNotReady promise that this call
	// has stored nothing, ErrUncertain means that it may have. ErrConflict means that the id names another job.
	Submit(ctx context.Context, job Job) error
	// State returns the state of a job. It fails with ErrUnknownJob, or with ErrNotReady if this process cannot know.
	State(ctx context.Context, queue QueueID, id JobID) (JobState, error)
	// Cancel stores that a job is cancelled.
	Cancel(ctx context.Context, queue QueueID, id JobID) error
	// Waiting returns the number of accepted jobs of a queue of which no task has started.
	Waiting(queue QueueID) (int, error)
	// Ready reports whether new callers should be sent to this process.
	Ready() bool
	// RetryAfter tells how soon a refused caller should come again.
	RetryAfter() time.Duration
	// MaxBody returns the bound of a submission in bytes.
	MaxBody() int64
}

// Errors of a JobService.
var (
	ErrNotReady     = errors.New("this process cannot answer yet")
	ErrUnknownQueue = errors.New("no such queue")
	ErrUnknownJob   = errors.New("no such job")
	ErrConflict     = errors.New("the id names another job")
)
