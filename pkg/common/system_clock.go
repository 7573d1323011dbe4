package common

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// SystemClock is the operating system's clock.
type SystemClock struct{}

// NewSystemClock returns the operating system's clock.
func NewSystemClock() SystemClock { return SystemClock{} }

// Now implements oleanderline.Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// NewTimer implements oleanderline.Clock.
func (SystemClock) NewTimer(d time.Duration) oleanderline.Timer {
	return systemTimer{time.NewTimer(d)}
}

type systemTimer struct{ *time.Timer }

func (t systemTimer) C() <-chan time.Time { return t.Timer.C }
