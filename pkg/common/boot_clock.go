package common

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/oleanderline/oleanderline"
)

// BootClock counts the time since the VM started, also while it is suspended. Leases have to be judged by it: the steady
// clock of the language stands still meanwhile, and the time of day may jump. Its times only compare with one another.
type BootClock struct{}

// NewBootClock returns the clock for daemons that hold leases.
func NewBootClock() BootClock { return BootClock{} }

// Now implements oleanderline.Clock.
func (BootClock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("the kernel has no boot-time clock: " + err.Error()) // leases cannot be judged without it
	}
	return time.Unix(now.Unix())
}

// NewTimer implements oleanderline.Clock.
func (BootClock) NewTimer(d time.Duration) oleanderline.Timer { return systemTimer{time.NewTimer(d)} }
