package common

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/oleanderline/oleanderline"
)

// BootClock returns the time since the VM booted, including time spent suspended. Leases must use this clock: Go's monotonic
// clock stops during suspension, and the wall clock may jump. Its times can be compared only with one another.
type BootClock struct{}

// NewBootClock returns the clock for daemons that hold leases.
func NewBootClock() BootClock { return BootClock{} }

// Now implements oleanderline.Clock.
func (BootClock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // lease expiry cannot be determined without this clock
	}
	return time.Unix(now.Unix())
}

// NewTimer implements oleanderline.Clock.
func (BootClock) NewTimer(d time.Duration) oleanderline.Timer { return systemTimer{time.NewTimer(d)} }
