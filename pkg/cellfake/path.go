package cellfake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Fault is what happens to calls on a path.
type Fault int

// Faults of a path.
const (
	FaultNone   Fault = iota
	FaultRefuse       // refused, with no effect
	FaultSilent       // no answer and no effect
	FaultLost         // some calls take effect and are not answered
	FaultLate         // some calls are not answered and take effect seconds later
)

// Chances and delays of lost and late calls.
const (
	faultChance  = 0.3
	lateAtLeast  = time.Second
	lateAtMost   = 6 * time.Second
	roundTrip    = 4 * time.Millisecond
	silenceLimit = time.Second // how long a caller waits for an answer that does not come
)

// Path carries the calls of one process to a store or a worker. Its fault can be changed at any time.
type Path struct {
	mu     sync.Mutex
	fault  Fault
	random *rand.Rand
	late   sync.WaitGroup
}

// NewPath returns a path without a fault.
func NewPath(random *rand.Rand) *Path { return &Path{random: random} }

// Set changes the fault.
func (p *Path) Set(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// Wait returns once all late calls have been carried out.
func (p *Path) Wait() { p.late.Wait() }

// draw returns what happens to the next call, and how late it is.
func (p *Path) draw() (Fault, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if (p.fault == FaultLost || p.fault == FaultLate) && p.random.Float64() > faultChance {
		return FaultNone, 0
	}
	return p.fault, lateAtLeast + time.Duration(p.random.Int64N(int64(lateAtMost-lateAtLeast)))
}

// carry makes a call over a path.
func carry[T any](ctx context.Context, p *Path, call func(ctx context.Context) (T, error)) (T, error) {
	var none T
	fault, delay := p.draw()
	time.Sleep(roundTrip)
	switch fault {
	case FaultRefuse:
		return none, fmt.Errorf("refused: %w", oleanderline.ErrUnavailable)
	case FaultLost:
		if _, err := call(ctx); err != nil {
			return none, err
		}
	case FaultLate:
		p.late.Go(func() {
			time.Sleep(delay)
			_, _ = call(context.Background()) // nobody waits for the result
		})
	case FaultNone:
		return call(ctx)
	}
	silence := time.NewTimer(silenceLimit)
	defer silence.Stop()
	select {
	case <-ctx.Done():
	case <-silence.C:
	}
	return none, fmt.Errorf("no answer: %w", oleanderline.ErrUncertain)
}

// Log is a keyed log behind a path.
type Log struct {
	Store *Store
	Path  *Path
}

// Append implements oleanderline.KeyedLog.
func (l *Log) Append(ctx context.Context, stream oleanderline.Stream, records []oleanderline.KeyedRecord, condition oleanderline.AppendCondition) (oleanderline.Offset, error) {
	return carry(ctx, l.Path, func(ctx context.Context) (oleanderline.Offset, error) {
		return l.Store.Append(ctx, stream, records, condition)
	})
}

// Read implements oleanderline.KeyedLog.
func (l *Log) Read(ctx context.Context, stream oleanderline.Stream, from oleanderline.Offset, wait time.Duration) (oleanderline.KeyedBatch, error) {
	return carry(ctx, l.Path, func(ctx context.Context) (oleanderline.KeyedBatch, error) {
		return l.Store.Read(ctx, stream, from, wait)
	})
}

// Newest implements oleanderline.KeyedLog.
func (l *Log) Newest(ctx context.Context, stream oleanderline.Stream) (oleanderline.KeyedBatch, error) {
	return carry(ctx, l.Path, func(ctx context.Context) (oleanderline.KeyedBatch, error) {
		return l.Store.Newest(ctx, stream)
	})
}
