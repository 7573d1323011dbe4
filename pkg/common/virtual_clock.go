package common

import (
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// VirtualClock is a clock for tests and benchmarks. Its time changes only when Advance is called.
type VirtualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []*virtualTimer
}

// NewVirtualClock returns a clock whose time is start.
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
	t := &virtualTimer{clock: c, due: c.now.Add(d), c: make(chan time.Time, 1)}
	if d <= 0 {
		t.c <- c.now
		return t
	}
	c.timers = append(c.timers, t)
	return t
}

// Advance moves the time forward and fires the timers that are due.
func (c *VirtualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	pending := c.timers[:0]
	for _, t := range c.timers {
		if t.due.After(c.now) {
			pending = append(pending, t)
			continue
		}
		t.c <- c.now
	}
	c.timers = pending
}

type virtualTimer struct {
	clock *VirtualClock
	due   time.Time
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
