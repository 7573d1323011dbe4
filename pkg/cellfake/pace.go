package cellfake

import (
	"context"
	"sync"
	"time"
)

// Pace bounds how many starts a second reach the workers, over all Runners that share it, as the processor of a leader on a small VM
// does. Further starts wait for their turn.
type Pace struct {
	interval time.Duration
	mu       sync.Mutex
	next     time.Time // the next free turn
}

// NewPace returns a Pace of a number of starts per second.
func NewPace(perSecond int) *Pace { return &Pace{interval: time.Second / time.Duration(perSecond)} }

// wait returns at the turn of a start, or when ctx is done.
func (p *Pace) wait(ctx context.Context) {
	p.mu.Lock()
	now := time.Now()
	turn := p.next
	if turn.Before(now) {
		turn = now
	}
	p.next = turn.Add(p.interval)
	p.mu.Unlock()
	timer := time.NewTimer(turn.Sub(now))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
