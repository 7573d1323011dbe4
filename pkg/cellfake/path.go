package cellfake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Fault is a failure that a path injects into calls.
type Fault int

// Faults of a path.
const (
	FaultNone       Fault = iota
	FaultRefuse           // calls are refused and have no effect
	FaultBlackhole        // calls are not answered and have no effect
	FaultAnswerLost       // some calls take effect but are not answered
	FaultLate             // some calls are not answered, and take effect seconds later
)

// Probability and timing of faults.
const (
	faultChance  = 0.3 // probability that FaultAnswerLost or FaultLate applies to a call
	minLateDelay = time.Second
	maxLateDelay = 6 * time.Second
	roundTrip    = 4 * time.Millisecond
	callTimeout  = time.Second // how long a caller waits for an answer
)

// Path is the network path from one process to a store, a worker or another process. Its fault can be changed at any time.
type Path struct {
	mu        sync.Mutex
	fault     Fault
	random    *rand.Rand
	lateCalls sync.WaitGroup
}

// NewPath returns a path without a fault.
func NewPath(random *rand.Rand) *Path { return &Path{random: random} }

// SetFault sets the fault.
func (p *Path) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// WaitLate blocks until all late calls have taken effect.
func (p *Path) WaitLate() { p.lateCalls.Wait() }

// nextFault draws the fault of the next call, and the delay of the call if the fault is FaultLate.
func (p *Path) nextFault() (Fault, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if (p.fault == FaultAnswerLost || p.fault == FaultLate) && p.random.Float64() > faultChance {
		return FaultNone, 0
	}
	return p.fault, minLateDelay + time.Duration(p.random.Int64N(int64(maxLateDelay-minLateDelay)))
}

// callOver makes a call over a path and injects the path's fault.
func callOver[T any](ctx context.Context, p *Path, call func(ctx context.Context) (T, error)) (T, error) {
	var zero T
	fault, delay := p.nextFault()
	time.Sleep(roundTrip)
	switch fault {
	case FaultRefuse:
		return zero, fmt.Errorf("connection refused: %w", oleanderline.ErrUnavailable)
	case FaultAnswerLost:
		if _, err := call(ctx); err != nil {
			return zero, err
		}
	case FaultLate:
		p.lateCalls.Go(func() {
			time.Sleep(delay)
			_, _ = call(context.Background()) // the caller has timed out
		})
	case FaultNone:
		return call(ctx)
	}
	timeout := time.NewTimer(callTimeout)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-timeout.C:
	}
	return zero, fmt.Errorf("no answer: %w", oleanderline.ErrUncertain)
}

// Log is a client for a store that is reached over a path.
type Log struct {
	Store oleanderline.KeyedLog
	Path  *Path
}

// Append implements oleanderline.KeyedLog.
func (l *Log) Append(ctx context.Context, stream oleanderline.Stream, records []oleanderline.KeyedRecord, condition oleanderline.AppendCondition) (oleanderline.Offset, error) {
	return callOver(ctx, l.Path, func(ctx context.Context) (oleanderline.Offset, error) {
		return l.Store.Append(ctx, stream, records, condition)
	})
}

// Read implements oleanderline.KeyedLog.
func (l *Log) Read(ctx context.Context, stream oleanderline.Stream, from oleanderline.Offset, wait time.Duration) (oleanderline.KeyedBatch, error) {
	return callOver(ctx, l.Path, func(ctx context.Context) (oleanderline.KeyedBatch, error) {
		return l.Store.Read(ctx, stream, from, wait)
	})
}

// Newest implements oleanderline.KeyedLog.
func (l *Log) Newest(ctx context.Context, stream oleanderline.Stream) (oleanderline.KeyedBatch, error) {
	return callOver(ctx, l.Path, func(ctx context.Context) (oleanderline.KeyedBatch, error) {
		return l.Store.Newest(ctx, stream)
	})
}
