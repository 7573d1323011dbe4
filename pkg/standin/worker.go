package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Worker is a stand-in for the agent on one worker VM. It has no goroutines: each call first advances the tasks in the lease
// table to the current time of the clock.
type Worker struct {
	Faults

	id       oleanderline.WorkerID
	size     oleanderline.Size
	usageLag time.Duration

	stateMu          sync.Mutex
	newestTerms      map[oleanderline.ShardID]oleanderline.Term
	tasks            map[oleanderline.AttemptKey]*task
	outcomes         map[oleanderline.AttemptKey]oleanderline.Outcome
	unacked          map[oleanderline.ShardID]map[oleanderline.AttemptKey]bool // attempts with unacknowledged outcomes
	runs             []*Run
	pausedAt         time.Time // zero while not paused
	failing          bool
	slowdown         func(oleanderline.AttemptKey) float64
	capacityRefusals int
	samples          []oleanderline.Usage
}

// task is one running attempt.
type task struct {
	oleanderline.StartRequest
	program
	run        *Run
	expires    time.Time
	advancedTo time.Time     // time up to which done is computed
	done       time.Duration // completed work, including that in the checkpoint of an earlier attempt
	cpuShare   float64       // share of the CPU time, set by Throttle
}

var _ oleanderline.Worker = (*Worker)(nil)

// WorkerOption configures a Worker.
type WorkerOption func(*Worker)

// WithUsageLag sets the lag of usage reports; the default is 0.
func WithUsageLag(lag time.Duration) WorkerOption { return func(w *Worker) { w.usageLag = lag } }

// WithSlowdown sets the slowdown that usage reports contain for latency-critical tasks; by default they contain none.
func WithSlowdown(slowdown func(oleanderline.AttemptKey) float64) WorkerOption {
	return func(w *Worker) { w.slowdown = slowdown }
}

// NewWorker returns a worker without tasks.
func NewWorker(id oleanderline.WorkerID, size oleanderline.Size, clock oleanderline.Clock, options ...WorkerOption) *Worker {
	w := &Worker{
		Faults:      Faults{clock: clock},
		id:          id,
		size:        size,
		newestTerms: map[oleanderline.ShardID]oleanderline.Term{},
		tasks:       map[oleanderline.AttemptKey]*task{},
		outcomes:    map[oleanderline.AttemptKey]oleanderline.Outcome{},
		unacked:     map[oleanderline.ShardID]map[oleanderline.AttemptKey]bool{},
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// Start implements oleanderline.Worker. It refuses attempts that were stopped or have ended in another way. Exception: while
// the outcome of an attempt that was not stopped is unacknowledged, a repeated Start succeeds without effect.
func (w *Worker) Start(ctx context.Context, req oleanderline.StartRequest) error {
	_, err := invokeFenced(ctx, w, req.Shard, req.Term, func(now time.Time) (struct{}, error) {
		return struct{}{}, w.start(req, now)
	})
	return err
}

// Renew implements oleanderline.Worker.
func (w *Worker) Renew(ctx context.Context, req oleanderline.RenewRequest) (oleanderline.Inventory, error) {
	return invokeFenced(ctx, w, req.Shard, req.Term, func(now time.Time) (oleanderline.Inventory, error) {
		for _, key := range req.Acked {
			delete(w.unacked[req.Shard], key)
		}
		for _, t := range w.tasks {
			if t.Shard == req.Shard {
				t.expires = now.Add(req.Lease)
			}
		}
		return w.inventory(req.Shard, now), nil
	})
}

// Stop implements oleanderline.Worker.
func (w *Worker) Stop(ctx context.Context, req oleanderline.StopRequest) (oleanderline.StopResult, error) {
	return invokeFenced(ctx, w, req.Shard, req.Term, func(now time.Time) (oleanderline.StopResult, error) {
		return w.stop(req, now), nil
	})
}

// Throttle implements oleanderline.Worker. It has no effect on an attempt that is not running.
func (w *Worker) Throttle(ctx context.Context, req oleanderline.ThrottleRequest) error {
	_, err := invokeFenced(ctx, w, req.Shard, req.Term, func(time.Time) (struct{}, error) {
		if req.Share <= 0 || req.Share > 1 {
			return struct{}{}, fmt.Errorf("share %v is outside (0, 1]: %w", req.Share, oleanderline.ErrUnavailable)
		}
		if t, ok := w.tasks[oleanderline.AttemptKey{Task: req.Task, Attempt: req.Attempt}]; ok {
			t.cpuShare = req.Share
		}
		return struct{}{}, nil
	})
	return err
}

// Inventory implements oleanderline.Worker.
func (w *Worker) Inventory(ctx context.Context, shard oleanderline.ShardID) (oleanderline.Inventory, error) {
	return invokeLocked(ctx, w, func(now time.Time) (oleanderline.Inventory, error) { return w.inventory(shard, now), nil })
}

// Usage implements oleanderline.Worker. Each call takes a sample. The report is the newest sample that is at least as old as
// the usage lag.
func (w *Worker) Usage(ctx context.Context) (oleanderline.Usage, error) {
	return invokeLocked(ctx, w, func(now time.Time) (oleanderline.Usage, error) { return w.usage(now), nil })
}

// SetFailing sets whether every new attempt fails immediately after its start.
func (w *Worker) SetFailing(failing bool) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.failing = failing
}

// SetPaused pauses or resumes the VM with its tasks. It shadows the method of Faults.
func (w *Worker) SetPaused(paused bool) {
	w.stateMu.Lock()
	now := w.clock.Now()
	switch {
	case paused && w.pausedAt.IsZero():
		w.advance(now)
		w.pausedAt = now
	case !paused && !w.pausedAt.IsZero():
		w.resume(now)
	}
	w.stateMu.Unlock()
	w.Faults.SetPaused(paused)
}

// Terminate terminates the VM. Its tasks end without outcomes, and further calls fail.
func (w *Worker) Terminate() {
	w.SetDown(true)
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	now := w.clock.Now()
	w.advance(now)
	for _, t := range w.tasks {
		t.run.End = now
	}
	clear(w.tasks)
}

// Runs returns all runs so far in the order of their starts.
func (w *Worker) Runs() []Run {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.advance(w.clock.Now())
	runs := make([]Run, 0, len(w.runs))
	for _, run := range w.runs {
		runs = append(runs, *run)
	}
	return runs
}

// CapacityRefusals returns the number of starts that were refused because they would have exceeded the size of the VM.
func (w *Worker) CapacityRefusals() int {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return w.capacityRefusals
}

// Committed returns the total declared size of the running attempts.
func (w *Worker) Committed() oleanderline.Size {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.advance(w.clock.Now())
	return w.committed()
}

// invokeLocked runs an operation subject to the faults, with the state locked and the lease table advanced to the current time.
func invokeLocked[T any](ctx context.Context, w *Worker, op func(now time.Time) (T, error)) (T, error) {
	return invoke(ctx, &w.Faults, func() (T, error) {
		w.stateMu.Lock()
		defer w.stateMu.Unlock()
		now := w.clock.Now()
		w.advance(now)
		return op(now)
	})
}

// invokeFenced is like invokeLocked, but fails with ErrFenced if the worker has seen a newer term of the shard.
func invokeFenced[T any](
	ctx context.Context, w *Worker, shard oleanderline.ShardID, term oleanderline.Term, op func(time.Time) (T, error),
) (T, error) {
	return invokeLocked(ctx, w, func(now time.Time) (T, error) {
		if newest := w.newestTerms[shard]; term < newest {
			var zero T
			return zero, fmt.Errorf("shard %d: term %d is older than the newest term %d: %w", shard, term, newest, oleanderline.ErrFenced)
		}
		w.newestTerms[shard] = term
		return op(now)
	})
}
