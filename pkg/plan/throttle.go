package plan

import (
	"strconv"
	"time"

	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// Settings of the throttle of best-effort tasks, their speed limit in percent.
const (
	throttleFull = 100
	throttleStep = 50 // largest increase after one report
	// pauseRatio is the ratio of tail latency to target above which suspect best-effort tasks are stopped, resumeRatio the
	// ratio below which they speed up again.
	pauseRatio  = 0.85
	resumeRatio = 0.7
	// reportLag is how long after a change reports still include measurements from before it.
	reportLag = 700 * time.Millisecond
	// sampleInterval is the minimum time between samples to learn from, because successive reports cover the same half second.
	sampleInterval = 800 * time.Millisecond
	// bestEffortStartLag is how long a best-effort task has to run before it can affect the tail latency in a report.
	bestEffortStartLag = 150 * time.Millisecond
	// throttleRepeatInterval is the interval at which an unchanged throttle is ordered again while the ratio is above pauseRatio: an
	// older order may have taken effect late and overwritten the newest one.
	throttleRepeatInterval = 2 * time.Second
	// noticeableShare is the share of a worker's CPU from which the best-effort tasks of an image affect tail latencies measurably.
	noticeableShare = 0.05
	// suspectAllAfter is how long a tail latency may stay too high before all best-effort tasks on the worker are slowed down, also
	// those with a low probability of harm.
	suspectAllAfter = 1500 * time.Millisecond
	// suspectShare is the share of the highest probability of harm on a worker from which a best-effort task is slowed down.
	suspectShare = 0.4
)

// throttleControl sets the throttle of the suspect best-effort tasks on a worker, so that the tail latency of the long-running
// tasks beside them stays below its target. It handles interference that changes within seconds and is reported with a lag.
type throttleControl struct {
	percent int       // throttle of the suspect best-effort tasks
	changed time.Time // when percent last changed
	ordered time.Time // when the throttle was last ordered
}

func newThrottleControl() throttleControl { return throttleControl{percent: throttleFull} }

// update updates the throttle from the highest ratio of a tail latency to its target, and reports whether the throttle has to be
// ordered, also if it is unchanged.
func (c *throttleControl) update(ratio float64, now time.Time) bool {
	if now.Sub(c.changed) < reportLag {
		return false
	}
	percent := c.percent
	switch {
	case ratio > pauseRatio:
		percent = 0
	case ratio < resumeRatio:
		percent = min(throttleFull, percent+throttleStep)
	}
	if percent != c.percent {
		c.percent, c.changed, c.ordered = percent, now, now
		return true
	}
	if ratio > pauseRatio && now.Sub(c.ordered) > throttleRepeatInterval {
		c.ordered = now
		return true
	}
	return false
}

// controlBestEffort learns from the newest report of a worker, and moves or slows down the best-effort tasks that interfere with its
// long-running tasks.
func (p *Planner) controlBestEffort(w *worker, now time.Time) {
	bestEffort := w.runningBestEffort()
	if len(bestEffort) == 0 {
		w.worstRatio = p.observeTailLatency(w, nil, now)
		w.throttle = newThrottleControl()
		return
	}
	worst := p.observeTailLatency(w, bestEffort, now)
	w.worstRatio = worst
	force := w.throttle.update(worst, now)
	suspects := p.suspects(w, bestEffort, now)
	for _, t := range bestEffort {
		percent := throttleFull
		if suspects[t] {
			percent = w.throttle.percent
		}
		if p.interferes(w, t) && (worst > pauseRatio || t.group.step.Checkpoint) && p.hasHarmlessWorker(t, now) {
			p.note(NoteStop, t.runKey(), w, "interferes with long-running tasks")
			p.orderStop(t, now)
			w.bestEffortMovedAt = now
			continue
		}
		if t.throttle != percent || (force && suspects[t]) {
			p.orderThrottle(t, percent)
		}
	}
}

// runningBestEffort returns the best-effort tasks that run on the worker.
func (w *worker) runningBestEffort() []*task {
	var bestEffort []*task
	for t := range w.tasks {
		if t.group.step.BestEffort && t.state == taskRunning {
			bestEffort = append(bestEffort, t)
		}
	}
	return bestEffort
}

// observeTailLatency returns the highest ratio of a tail latency to its target on a worker. At most every sampleInterval it
// also learns from the tail latencies, unless they still include measurements from before a change.
func (p *Planner) observeTailLatency(w *worker, bestEffort []*task, now time.Time) float64 {
	worst := 0.0
	for t := range w.tasks {
		worst = max(worst, t.targetRatio())
	}
	if now.Sub(w.sampledAt) < sampleInterval || now.Sub(w.throttle.changed) < reportLag || now.Sub(w.bestEffortMovedAt) < reportLag {
		return worst
	}
	w.sampledAt = now
	p.learnInterference(w, bestEffort, now)
	return worst
}

// learnInterference updates the harm probabilities of the best-effort tasks on a worker from the tail latencies of its long-running
// tasks.
func (p *Planner) learnInterference(w *worker, bestEffort []*task, now time.Time) {
	samples := map[pairs.Image]*tailSample{}
	for t := range w.tasks {
		if t.group.step.TailTarget == 0 || t.state != taskRunning {
			continue
		}
		image := imageOf(t)
		if samples[image] == nil {
			samples[image] = &tailSample{}
		}
		samples[image].add(t.targetRatio(), t.replicaRatio(now))
	}
	steady, recent := w.sampledImages(bestEffort, now)
	for image, sample := range samples {
		p.pairs.Observe(pairs.Observation{
			Serving: image, TargetRatio: sample.targetRatio, ReplicaRatio: sample.replicaRatio(), Steady: steady, Recent: recent,
		})
	}
}

// targetRatio returns the ratio of a long-running task's reported tail latency to its target, or 0 if it has no target or is
// not running.
func (t *task) targetRatio() float64 {
	target := t.group.step.TailTarget
	if target == 0 || t.state != taskRunning {
		return 0
	}
	return float64(t.gauge) / float64(target.Milliseconds())
}

// sampledImages returns the images of best-effort tasks that may affect the newest report. steady are those that ran at full
// speed for the whole period of the report and used a noticeable share of the worker. recent are those that ran for a part of
// the period or used less.
func (w *worker) sampledImages(bestEffort []*task, now time.Time) (steady, recent []pairs.Image) {
	used := map[pairs.Image]float64{}
	for _, t := range bestEffort {
		if t.throttle != throttleFull {
			continue
		}
		image := imageOf(t)
		switch {
		case now.Sub(t.startedAt) > reportLag:
			used[image] += float64(t.gauge) / max(1, float64(w.entry.Capacity.CPU))
		case now.Sub(t.startedAt) > bestEffortStartLag:
			recent = append(recent, image)
		}
	}
	for image, at := range w.bestEffortEndedAt {
		if now.Sub(at) < reportLag {
			recent = append(recent, image)
		} else {
			delete(w.bestEffortEndedAt, image)
		}
	}
	for image, share := range used {
		if share >= noticeableShare {
			steady = append(steady, image)
		} else {
			recent = append(recent, image)
		}
	}
	return steady, recent
}

// suspects returns the best-effort tasks whose probability of harm is near the highest one on the worker. If all probabilities are
// low, a high tail latency is attributed to the load of the long-running tasks themselves; after suspectAllAfter all
// best-effort tasks are suspect.
func (p *Planner) suspects(w *worker, bestEffort []*task, now time.Time) map[*task]bool {
	if w.worstRatio <= pauseRatio {
		w.overSince = time.Time{}
	} else if w.overSince.IsZero() {
		w.overSince = now
	}
	all := !w.overSince.IsZero() && now.Sub(w.overSince) > suspectAllAfter
	highest := 0.0
	harm := map[*task]float64{}
	for _, t := range bestEffort {
		harm[t] = p.imageHarm(w, imageOf(t))
		highest = max(highest, harm[t])
	}
	suspects := map[*task]bool{}
	for _, t := range bestEffort {
		suspects[t] = all || harm[t] >= max(negligibleHarm, suspectShare*highest)
	}
	return suspects
}

func (p *Planner) orderThrottle(t *task, percent int) {
	t.throttle, t.throttleOrderedAt = percent, p.now
	p.orders = append(p.orders, Order{
		Kind: OrderThrottle, Worker: t.worker.entry.ID, Life: t.worker.incarnation, Key: t.runKey(), Percent: percent,
	})
	p.note(NoteThrottle, t.runKey(), t.worker, strconv.Itoa(percent))
}
