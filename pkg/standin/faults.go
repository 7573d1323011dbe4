// Package standin provides small in-memory fakes of the platform's services, workers and minions. They can inject the
// faults that the design tolerates. They are meant for tests, the demo and development; they do not simulate a cluster.
package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Faults injects the faults that Log, VMs and Worker have in common.
type Faults struct {
	clock oleanderline.Clock

	mu            sync.Mutex
	down          bool
	delay         time.Duration
	answersToLose int
	paused        bool
	pending       []func() // operations that arrived during the pause
}

// SetDown sets whether every call fails without effect.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay delays every answer. The operation takes effect before the delay.
func (f *Faults) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// LoseAnswers makes the next n calls take effect and drops their answers. A negative n applies to all further calls.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answersToLose = n
}

// SetPaused pauses or resumes the process. Calls that arrive during the pause take effect on resume, in order of arrival,
// even if their callers have timed out.
func (f *Faults) SetPaused(paused bool) {
	f.mu.Lock()
	f.paused = paused
	var pending []func()
	if !paused {
		pending, f.pending = f.pending, nil
	}
	f.mu.Unlock()
	for _, op := range pending {
		op()
	}
}

// result is the answer of an operation.
type result[T any] struct {
	value T
	err   error
}

// invoke runs an operation subject to the faults of f.
func invoke[T any](ctx context.Context, f *Faults, op func() (T, error)) (T, error) {
	done := make(chan result[T], 1)
	delay, lost, err := f.runOrQueue(func() {
		value, err := op()
		done <- result[T]{value, err}
	})
	var zero T
	if err != nil {
		return zero, err
	}
	if err := f.sleep(ctx, delay); err != nil {
		return zero, err
	}
	select {
	case answer := <-done:
		if lost {
			return zero, fmt.Errorf("stand-in dropped the answer: %w", oleanderline.ErrUncertain)
		}
		return answer.value, answer.err
	case <-ctx.Done():
		return zero, fmt.Errorf("%w: %w", oleanderline.ErrUncertain, ctx.Err())
	}
}

// runOrQueue runs the operation, or queues it while the process is paused. It returns the delay of the answer and whether
// the answer is lost.
func (f *Faults) runOrQueue(op func()) (delay time.Duration, lost bool, err error) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return 0, false, fmt.Errorf("stand-in is down: %w", oleanderline.ErrUnavailable)
	}
	delay, lost = f.delay, f.answersToLose != 0
	if f.answersToLose > 0 {
		f.answersToLose--
	}
	if f.paused {
		f.pending = append(f.pending, op)
		f.mu.Unlock()
		return delay, lost, nil
	}
	f.mu.Unlock()
	op()
	return delay, lost, nil
}

func (f *Faults) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := f.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", oleanderline.ErrUncertain, ctx.Err())
	}
}
