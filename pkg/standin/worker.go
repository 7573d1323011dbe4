package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Worker is a stand-in for the agent on one worker VM. It has no goroutines: each call first brings the lease table up
// to the clock's time.
type Worker struct {
	Faults

	id   oleanderline.WorkerID
	size oleanderline.Size
	lag  time.Duration

	state   sync.Mutex
	terms   map[oleanderline.ShardID]oleanderline.Term
	tasks   map[oleanderline.AttemptKey]*task
	ended   map[oleanderline.AttemptKey]oleanderline.Outcome
	unacked map[oleanderline.ShardID]map[oleanderline.AttemptKey]bool
	runs    []*Run
	frozen  time.Time // zero: not paused
	failing bool
	slow    func(oleanderline.AttemptKey) float64
	refused int
	samples []oleanderline.Usage
}

// task is one running attempt.
type task struct {
	oleanderline.StartRequest
	program
	run     *Run
	expires time.Time
	settled time.Time     // until when done is up to date
	done    time.Duration // work done, including what an earlier attempt left in its checkpoint
	share   float64       // of the processor time, set by Throttle
}

var _ oleanderline.Worker = (*Worker)(nil)

// WorkerOption changes a Worker while it is built.
type WorkerOption func(*Worker)

// WithUsageLag sets by how much usage reports lag behind; the default is none.
func WithUsageLag(lag time.Duration) WorkerOption { return func(w *Worker) { w.lag = lag } }

// WithSlowdown sets the slowdown that usage reports show for latency-critical tasks; the default is none.
func WithSlowdown(slow func(oleanderline.AttemptKey) float64) WorkerOption {
	return func(w *Worker) { w.slow = slow }
}

// NewWorker returns a worker that runs nothing.
func NewWorker(id oleanderline.WorkerID, size oleanderline.Size, clock oleanderline.Clock, options ...WorkerOption) *Worker {
	w := &Worker{
		Faults:  Faults{clock: clock},
		id:      id,
		size:    size,
		terms:   map[oleanderline.ShardID]oleanderline.Term{},
		tasks:   map[oleanderline.AttemptKey]*task{},
		ended:   map[oleanderline.AttemptKey]oleanderline.Outcome{},
		unacked: map[oleanderline.ShardID]map[oleanderline.AttemptKey]bool{},
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// Start implements oleanderline.Worker. Besides stopped attempts it refuses attempts that have ended in another way,
// unless their outcome still waits for its acknowledgement: then the start succeeds without effect.
func (w *Worker) Start(ctx context.Context, req oleanderline.StartRequest) error {
	_, err := fenced(ctx, w, req.Shard, req.Term, func(now time.Time) (struct{}, error) {
		return struct{}{}, w.start(req, now)
	})
	return err
}

// Renew implements oleanderline.Worker.
func (w *Worker) Renew(ctx context.Context, req oleanderline.RenewRequest) (oleanderline.Inventory, error) {
	return fenced(ctx, w, req.Shard, req.Term, func(now time.Time) (oleanderline.Inventory, error) {
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
	return fenced(ctx, w, req.Shard, req.Term, func(now time.Time) (oleanderline.StopResult, error) {
		return w.stop(req, now), nil
	})
}

// Throttle implements oleanderline.Worker. An attempt that doesn't run is left alone.
func (w *Worker) Throttle(ctx context.Context, req oleanderline.ThrottleRequest) error {
	_, err := fenced(ctx, w, req.Shard, req.Term, func(time.Time) (struct{}, error) {
		if req.Share <= 0 || req.Share > 1 {
			return struct{}{}, fmt.Errorf("share %v is outside (0, 1]: %w", req.Share, oleanderline.ErrUnavailable)
		}
		if t, ok := w.tasks[oleanderline.AttemptKey{Task: req.Task, Attempt: req.Attempt}]; ok {
			t.share = req.Share
		}
		return struct{}{}, nil
	})
	return err
}

// Inventory implements oleanderline.Worker.
func (w *Worker) Inventory(ctx context.Context, shard oleanderline.ShardID) (oleanderline.Inventory, error) {
	return locked(ctx, w, func(now time.Time) (oleanderline.Inventory, error) { return w.inventory(shard, now), nil })
}

// Usage implements oleanderline.Worker. The report is the newest of those that earlier calls made at least the lag ago.
func (w *Worker) Usage(ctx context.Context) (oleanderline.Usage, error) {
	return locked(ctx, w, func(now time.Time) (oleanderline.Usage, error) { return w.usage(now), nil })
}

// SetFailing makes every attempt fail as soon as it starts, or ends that.
func (w *Worker) SetFailing(failing bool) {
	w.state.Lock()
	defer w.state.Unlock()
	w.failing = failing
}

// SetPaused freezes the VM with its tasks, or lets it go on. It hides the method of Faults.
func (w *Worker) SetPaused(paused bool) {
	w.state.Lock()
	now := w.clock.Now()
	switch {
	case paused && w.frozen.IsZero():
		w.settle(now)
		w.frozen = now
	case !paused && !w.frozen.IsZero():
		w.thaw(now)
	}
	w.state.Unlock()
	w.Faults.SetPaused(paused)
}

// Terminate ends the VM: its tasks are gone without outcomes and it answers no more.
func (w *Worker) Terminate() {
	w.SetDown(true)
	w.state.Lock()
	defer w.state.Unlock()
	now := w.clock.Now()
	w.settle(now)
	for _, t := range w.tasks {
		t.run.End = now
	}
	clear(w.tasks)
}

// Runs returns all executions so far, in the order in which they began.
func (w *Worker) Runs() []Run {
	w.state.Lock()
	defer w.state.Unlock()
	w.settle(w.clock.Now())
	runs := make([]Run, 0, len(w.runs))
	for _, run := range w.runs {
		runs = append(runs, *run)
	}
	return runs
}

// CapacityRefusals returns the number of starts that would have taken the VM beyond its size.
func (w *Worker) CapacityRefusals() int {
	w.state.Lock()
	defer w.state.Unlock()
	return w.refused
}

// Committed returns the declared size of all running attempts.
func (w *Worker) Committed() oleanderline.Size {
	w.state.Lock()
	defer w.state.Unlock()
	w.settle(w.clock.Now())
	return w.committed()
}

// locked runs an operation on an up-to-date lease table.
func locked[T any](ctx context.Context, w *Worker, effect func(now time.Time) (T, error)) (T, error) {
	return invoke(ctx, &w.Faults, func() (T, error) {
		w.state.Lock()
		defer w.state.Unlock()
		now := w.clock.Now()
		w.settle(now)
		return effect(now)
	})
}

// fenced is locked for operations that a newer owner of the shard excludes.
func fenced[T any](
	ctx context.Context, w *Worker, shard oleanderline.ShardID, term oleanderline.Term, effect func(time.Time) (T, error),
) (T, error) {
	return locked(ctx, w, func(now time.Time) (T, error) {
		if newest := w.terms[shard]; term < newest {
			var none T
			return none, fmt.Errorf("shard %d: term %d is older than %d: %w", shard, term, newest, oleanderline.ErrFenced)
		}
		w.terms[shard] = term
		return effect(now)
	})
}
