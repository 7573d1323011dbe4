package plan

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/pairs"
)

const (
	// separationTimeout is how long a best-effort task waits for a worker where it interferes with no task. After that it may be
	// placed beside long-running tasks that it slows down, at the speed that their tail latency allows.
	separationTimeout = 30 * time.Second
	// trialInterval is the minimum time between trials of the image of a best-effort task that is probably but not certainly
	// harmful.
	trialInterval = 1 * time.Second
	// certainHarm is the probability of harm from which no trial is made.
	certainHarm = 0.95
	// negligibleHarm is the probability of harm up to which another best-effort task on the worker does not distort a trial.
	negligibleHarm = 0.1
	// maxTrialRatio is the highest ratio of tail latency to target on a worker at which a trial may start.
	maxTrialRatio = 0.6
)

// interferes reports whether a best-effort task is known to interfere with a long-running task of a worker.
func (p *Planner) interferes(w *worker, bestEffort *task) bool {
	for serving := range w.servingImages {
		if p.pairs.Harmful(serving, imageOf(bestEffort)) {
			return true
		}
	}
	return false
}

func imageOf(t *task) pairs.Image { return pairs.Image(t.group.step.Image) }

// addedHarm returns the expected number of long-running tasks on a worker that a best-effort task would slow down and that no other
// best-effort task slows down yet. With it, best-effort tasks that interfere with nearly every image are packed onto few
// workers instead of being spread over all of them.
func (p *Planner) addedHarm(w *worker, bestEffort *task) float64 {
	sum := 0.0
	for serving, count := range w.servingImages {
		sum += float64(count) * p.pairs.HarmProbability(serving, imageOf(bestEffort)) * (1 - p.servingHarm(w, serving))
	}
	return sum
}

// servingHarm returns the highest probability with which a best-effort task on a worker interferes with its long-running tasks of an
// image.
func (p *Planner) servingHarm(w *worker, serving pairs.Image) float64 {
	highest := 0.0
	for image := range w.bestEffortImages {
		highest = max(highest, p.pairs.HarmProbability(serving, image))
	}
	return highest
}

// mustSeparate reports whether a task must not start on a worker because it would slow down long-running tasks there.
func (p *Planner) mustSeparate(w *worker, t *task, now time.Time) bool {
	if !t.group.step.BestEffort || !p.interferes(w, t) {
		return false
	}
	if now.Sub(t.readyAt) > separationTimeout {
		return false
	}
	return !p.allowsTrial(w, t, now)
}

// allowsTrial reports whether a best-effort task may start on a worker as a trial of whether it really interferes with the tasks
// there. The other best-effort tasks on the worker must be known as harmless, so that a change of the tail latency is due to the
// trial.
func (p *Planner) allowsTrial(w *worker, t *task, now time.Time) bool {
	if w.worstRatio > maxTrialRatio || p.imageHarm(w, imageOf(t)) >= certainHarm || now.Sub(p.lastTrial[imageOf(t)]) < trialInterval {
		return false
	}
	for other := range w.tasks {
		if other.group.step.BestEffort && p.imageHarm(w, imageOf(other)) > negligibleHarm {
			return false
		}
	}
	return true
}

// hasHarmlessWorker reports whether another worker has room for a best-effort task and no task with which it interferes.
func (p *Planner) hasHarmlessWorker(bestEffort *task, now time.Time) bool {
	for _, w := range p.workers {
		if w.canReceive(bestEffort, now) && !p.interferes(w, bestEffort) {
			return true
		}
	}
	return false
}
