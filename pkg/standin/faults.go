// Package standin provides small in-memory fakes of the platform and of minions, with switches for the faults that the
// design allows. They serve tests, the demo and development; they do not simulate a cluster.
package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Faults are the switches that Log, VMs and Worker have in common.
type Faults struct {
	clock oleanderline.Clock

	mu      sync.Mutex
	down    bool
	delay   time.Duration
	lose    int
	paused  bool
	pending []func()
}

// SetDown makes every call fail without effect, or ends that.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay makes every answer late. The operation takes effect before the delay.
func (f *Faults) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// LoseAnswers makes the next n calls take effect and lose their answers; a negative n stands for all calls.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = n
}

// SetPaused freezes the process, or lets it go on. Calls that arrive while it is paused take effect when it goes on,
// in the order in which they arrived, even if their callers have given up.
func (f *Faults) SetPaused(paused bool) {
	f.mu.Lock()
	f.paused = paused
	var pending []func()
	if !paused {
		pending, f.pending = f.pending, nil
	}
	f.mu.Unlock()
	for _, effect := range pending {
		effect()
	}
}

// result is the answer of one operation.
type result[T any] struct {
	value T
	err   error
}

// invoke passes an operation through the switches of f.
func invoke[T any](ctx context.Context, f *Faults, effect func() (T, error)) (T, error) {
	done := make(chan result[T], 1)
	delay, lost, err := f.admit(func() {
		value, err := effect()
		done <- result[T]{value, err}
	})
	var none T
	if err != nil {
		return none, err
	}
	if err := f.sleep(ctx, delay); err != nil {
		return none, err
	}
	select {
	case answer := <-done:
		if lost {
			return none, fmt.Errorf("stand-in lost its answer: %w", oleanderline.ErrUncertain)
		}
		return answer.value, answer.err
	case <-ctx.Done():
		return none, fmt.Errorf("%w: %w", oleanderline.ErrUncertain, ctx.Err())
	}
}

// admit runs the operation, or queues it while the process is paused.
func (f *Faults) admit(effect func()) (delay time.Duration, lost bool, err error) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return 0, false, fmt.Errorf("stand-in is down: %w", oleanderline.ErrUnavailable)
	}
	delay, lost = f.delay, f.lose != 0
	if f.lose > 0 {
		f.lose--
	}
	if f.paused {
		f.pending = append(f.pending, effect)
		f.mu.Unlock()
		return delay, lost, nil
	}
	f.mu.Unlock()
	effect()
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
