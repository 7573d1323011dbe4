package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// skewedClock is the clock of one process, which has its own origin and rate.
type skewedClock struct {
	origin time.Time
	rate   float64 // 1 is accurate
}

// bubbleStart is the time at which a synctest bubble begins.
var bubbleStart = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)

// Now implements oleanderline.Clock.
func (c *skewedClock) Now() time.Time {
	return c.origin.Add(time.Duration(float64(time.Since(bubbleStart)) * c.rate))
}

// NewTimer implements oleanderline.Clock.
func (c *skewedClock) NewTimer(d time.Duration) oleanderline.Timer {
	return skewedTimer{time.NewTimer(time.Duration(float64(d) / c.rate))}
}

type skewedTimer struct{ *time.Timer }

// C implements oleanderline.Timer.
func (t skewedTimer) C() <-chan time.Time { return t.Timer.C }

// Guards against a test clock whose timers and times disagree.
func TestSkewedClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &skewedClock{origin: time.Unix(50000, 0), rate: 0.99}
		start := clock.Now()
		<-clock.NewTimer(time.Minute).C()
		require.InDelta(t, time.Minute, clock.Now().Sub(start), float64(time.Microsecond))
		require.Greater(t, time.Since(bubbleStart), time.Minute)
	})
}
