package oleanderline

import "time"

// Clock is the source of time for every component, so that tests run on a virtual clock.
type Clock interface {
	// Now returns the current time. Implementations for daemons include a monotonic reading.
	Now() time.Time
	// NewTimer returns a timer that sends the time on its channel once, after d has passed.
	NewTimer(d time.Duration) Timer
}

// Timer has those methods of time.Timer that a virtual clock can provide as well.
type Timer interface {
	// C returns the channel on which the time is sent.
	C() <-chan time.Time
	// Stop prevents the timer from firing and reports whether it did so.
	Stop() bool
}
