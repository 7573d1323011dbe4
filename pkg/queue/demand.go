package queue

import (
	"math"
	"time"
)

// demandWindow is the time constant of the moving average of the demand of short tasks.
const demandWindow = 2 * time.Minute

// demand is a moving average of the CPUs that short tasks request. The reserve for short tasks depends on it, because a
// fixed reserve would leave CPUs idle while there are no short tasks.
type demand struct {
	decayingSum float64 // in millicore-seconds
	updatedAt   time.Time
}

func (d *demand) add(now time.Time, work float64) {
	d.decay(now)
	d.decayingSum += work
}

func (d *demand) decay(now time.Time) {
	if passed := now.Sub(d.updatedAt); passed > 0 {
		d.decayingSum *= math.Exp(-passed.Seconds() / demandWindow.Seconds())
		d.updatedAt = now
	}
}

// mean returns the average demand in millicores.
func (d *demand) mean(now time.Time) float64 {
	d.decay(now)
	return d.decayingSum / demandWindow.Seconds()
}
