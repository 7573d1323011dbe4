package queue

import (
	"math"
	"time"
)

// demandWindow is the time over which the demand of short work is averaged.
const demandWindow = 2 * time.Minute

// demand is the mean of the processors that short work asks for. A fixed reserve would leave processors idle when there
// is no short work.
type demand struct {
	sum float64 // millicore-seconds, decaying
	at  time.Time
}

func (d *demand) add(now time.Time, work float64) {
	d.decay(now)
	d.sum += work
}

func (d *demand) decay(now time.Time) {
	if passed := now.Sub(d.at); passed > 0 {
		d.sum *= math.Exp(-passed.Seconds() / demandWindow.Seconds())
		d.at = now
	}
}

// mean returns millicores.
func (d *demand) mean(now time.Time) float64 {
	d.decay(now)
	return d.sum / demandWindow.Seconds()
}
