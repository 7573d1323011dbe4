// Package speed estimates how slowly a worker runs its tasks, compared with other workers. It answers load on VMs that differ and change:
// a worker may be cold, share its processors with a noisy neighbour for some seconds, and then be normal again.
//
// One task that runs longer than others of its step may be long by itself. So the runs on a worker count together: half of them have to be
// slow before the worker is.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time after which an observation counts half. A worker that is avoided is not observed, and is used again once the
	// observations are old.
	halfLife = 2 * time.Second
	// priorWeight is the weight of the assumption that a worker is normal, in observations of one run.
	priorWeight = 0.5
	// maxSlowdown bounds what one observation can say: a run without progress may have any speed.
	maxSlowdown = 10.0
	// MinPeriod is the shortest period over which a run is observed. Over a shorter one, the delays of calls and reports dominate.
	MinPeriod = 150 * time.Millisecond
)

// Worker is the estimate of one worker. The zero value is a worker without observations.
type Worker struct {
	logSum, weight float64 // weighted sum of the logarithms of the observed slowdowns, and sum of the weights
	at             time.Time
}

// Observe adds the slowdowns of the runs on the worker over the same period. The slowdown of a run is the time that it took for a part of
// its work, divided by the time that this part typically takes.
func (w *Worker) Observe(slowdowns []float64, now time.Time) {
	if len(slowdowns) == 0 {
		return
	}
	slices.Sort(slowdowns)
	median := slowdowns[(len(slowdowns)-1)/2]
	w.decay(now)
	weight := 1 - math.Pow(0.5, float64(len(slowdowns)))
	w.logSum += weight * math.Log(min(max(median, 1/maxSlowdown), maxSlowdown))
	w.weight += weight
}

// Slowdown returns how many times as long the worker takes for its tasks as others; 1 if nothing is known.
func (w *Worker) Slowdown(now time.Time) float64 {
	if w.weight == 0 {
		return 1
	}
	fade := w.fade(now)
	return max(1, math.Exp(w.logSum*fade/(w.weight*fade+priorWeight)))
}

func (w *Worker) decay(now time.Time) {
	fade := w.fade(now)
	w.logSum, w.weight, w.at = w.logSum*fade, w.weight*fade, now
}

// fade returns by which factor the observations count less now.
func (w *Worker) fade(now time.Time) float64 {
	return math.Exp2(-now.Sub(w.at).Seconds() / halfLife.Seconds())
}
