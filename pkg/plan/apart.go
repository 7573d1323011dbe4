package plan

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/pairs"
)

const (
	// apartFor is how long a filler waits for a worker that it does not disturb, before it may run beside lasting tasks that
	// it disturbs, at the pace that these allow.
	apartFor = 30 * time.Second
	// trialInterval spaces the trials of a pair that is suspected but not certain to be harmful.
	trialInterval = 1 * time.Second
	certain       = 0.95
	// clean is the suspicion up to which another filler does not blur a trial.
	clean = 0.1
	// calmRatio is the ratio of tails to targets on a worker that a trial needs.
	calmRatio = 0.6
)

// disturbs reports whether a filler is known to disturb one of the lasting tasks of a worker.
func (p *Planner) disturbs(w *worker, filler *task) bool {
	for serving := range w.lasting {
		if p.pairs.Harmful(serving, imageOf(filler)) {
			return true
		}
	}
	return false
}

func imageOf(t *task) pairs.Image { return pairs.Image(t.group.step.Image) }

// harm returns the expected number of lasting tasks on a worker that a filler disturbs and that nothing disturbs yet. It
// answers a load of fillers that disturb nearly every lasting image: they share few workers instead of harming all.
func (p *Planner) harm(w *worker, filler *task) float64 {
	harm := 0.0
	for serving, count := range w.lasting {
		harm += float64(count) * p.pairs.Suspicion(serving, imageOf(filler)) * (1 - p.disturbedBy(w, serving))
	}
	return harm
}

// disturbedBy returns how likely the fillers that a worker has disturb its lasting tasks of an image.
func (p *Planner) disturbedBy(w *worker, serving pairs.Image) float64 {
	highest := 0.0
	for filler := range w.fillers {
		highest = max(highest, p.pairs.Suspicion(serving, filler))
	}
	return highest
}

// keptApart reports whether a task must not join a worker because it would disturb what runs there.
func (p *Planner) keptApart(w *worker, t *task, now time.Time) bool {
	if !t.group.step.Filler || !p.disturbs(w, t) {
		return false
	}
	if now.Sub(t.queued) > apartFor {
		return false
	}
	return !p.mayTry(w, t, now)
}

// mayTry reports whether a filler may join a worker to find out whether it really disturbs what runs there: alone among
// fillers that do not, so that the next reports tell about it.
func (p *Planner) mayTry(w *worker, t *task, now time.Time) bool {
	if w.ratio > calmRatio || p.suspicion(w, t) >= certain || now.Sub(p.tried[imageOf(t)]) < trialInterval {
		return false
	}
	for other := range w.tasks {
		if other.group.step.Filler && p.suspicion(w, other) > clean {
			return false
		}
	}
	return true
}

// calmPlace reports whether a worker has room for a filler that disturbs nothing there.
func (p *Planner) calmPlace(filler *task, now time.Time) bool {
	for _, w := range p.workers {
		if w.hasRoomFor(filler, now) && !p.disturbs(w, filler) {
			return true
		}
	}
	return false
}
