package common

import (
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// VirtualClock is a clock for tests and benchmarks that moves only when told to.
type VirtualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []*virtualTimer
}

// NewVirtualClock returns a clock that stands at start.
func NewVirtualClock(start time.Time) *VirtualClock {
	return &VirtualClock{now: start}
}

// Now implements oleanderline.Clock.
func (c *VirtualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// NewTimer implements oleanderline.Clock.
func (c *VirtualClock) NewTimer(d time.Duration) oleanderline.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &virtualTimer{clock: c, at: c.now.Add(d), c: make(chan time.Time, 1)}
	if d <= 0 {
		t.c <- c.now
		return t
	}
	c.timers = append(c.timers, t)
	return t
}

// Advance moves the clock forward and fires the timers that are due.
func (c *VirtualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	kept := c.timers[:0]
	for _, t := range c.timers {
		if t.at.After(c.now) {
			kept = append(kept, t)
			continue
		}
		t.c <- c.now
	}
	c.timers = kept
}

type virtualTimer struct {
	clock *VirtualClock
	at    time.Time
	c     chan time.Time
}

// C implements oleanderline.Timer.
func (t *virtualTimer) C() <-chan time.Time { return t.c }

// Stop implements oleanderline.Timer.
func (t *virtualTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	for i, other := range t.clock.timers {
		if other == t {
			t.clock.timers = append(t.clock.timers[:i], t.clock.timers[i+1:]...)
			return true
		}
	}
	return false
}
