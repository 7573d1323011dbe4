package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/runtimes"
)

const (
	// minRuntimes is the number of run times from which their median says how long a task of a step typically takes.
	minRuntimes = 3
	// noticeableSlowdown is the slowdown from which a worker is avoided. Below it, the tasks of a step differ more than workers.
	noticeableSlowdown = 1.4
	// slowWorker is the slowdown that is noted in the log.
	slowWorker = 2.0
)

// showsSpeed reports whether the progress of a run tells how fast its worker is. A best-effort task has only the CPU that others leave, the
// members of a gang wait for each other, and a task away from its data waits for the network.
func (t *task) showsSpeed() bool {
	step := t.group.step
	return t.state == taskRunning && !step.BestEffort && !step.LongRunning && !step.Gang && (step.Rack == "" || step.Rack == t.worker.entry.Rack)
}

// observeSpeed updates the speed of a worker from the progress of its runs. listed are those in its newest report.
func (p *Planner) observeSpeed(w *worker, listed map[*task]struct{}, now time.Time) {
	slowdowns := w.endedSlowdowns
	w.endedSlowdowns = nil
	for t := range listed {
		if t.worker == w && t.showsSpeed() {
			slowdowns = p.appendSlowdown(slowdowns, t, t.percent, now)
		}
	}
	w.speed.Observe(slowdowns, now)
	p.noteSpeed(w, now)
}

// noteSpeed notes that a worker has become slow, or is no longer slow.
func (p *Planner) noteSpeed(w *worker, now time.Time) {
	slowdown := w.speed.Slowdown(now)
	switch {
	case !w.slow && slowdown >= slowWorker:
		w.slow = true
		p.note(NoteSpeed, oleanderline.RunKey{}, w, fmt.Sprintf("worker is slow: its tasks take %.1f times as long as those of others", slowdown))
	case w.slow && slowdown < noticeableSlowdown:
		w.slow = false
		p.note(NoteSpeed, oleanderline.RunKey{}, w, "worker is no longer slow")
	}
}

// observeDone records the run time of a run that has ended as done.
func (p *Planner) observeDone(t *task, now time.Time) {
	if !t.showsSpeed() || t.adopted {
		return
	}
	t.worker.endedSlowdowns = p.appendSlowdown(t.worker.endedSlowdowns, t, percentComplete, now)
	took := now.Sub(t.startedAt)
	t.group.runtimes.Add(took)
	if estimate := t.group.step.Estimate; estimate > 0 {
		p.queueRuntimes(t.group.job.spec.Queue).Add(scale(took, time.Second, estimate))
	}
}

// appendSlowdown appends how many times as long as typical a run has taken for the work since it was last observed.
func (p *Planner) appendSlowdown(slowdowns []float64, t *task, percent int, now time.Time) []float64 {
	whole, ok := t.pace.Report(percent, now)
	if typical := p.typical(t.group); ok && typical > 0 {
		return append(slowdowns, float64(whole)/float64(typical))
	}
	return slowdowns
}

// typical returns how long a task of the group typically runs, by those that have ended and by the progress of the others. If there are
// too few of them, it returns the estimate, corrected by what estimates of the queue have meant of late; 0 if nothing is known.
func (p *Planner) typical(g *group) time.Duration {
	if g.typicalIn == p.pass && g.typicalIn > 0 {
		return g.typical
	}
	g.typical, g.typicalIn = p.computeTypical(g), p.pass
	return g.typical
}

func (p *Planner) computeTypical(g *group) time.Duration {
	times := g.runtimes.All()
	for i := range g.tasks {
		if t := &g.tasks[i]; t.state == taskRunning && t.pace.Whole() > 0 {
			times = append(times, t.pace.Whole())
		}
	}
	if len(times) >= minRuntimes {
		slices.Sort(times)
		return times[(len(times)-1)/2]
	}
	sample := p.queueRuntimes(g.job.spec.Queue)
	if sample.Count() < minRuntimes {
		return g.step.Estimate
	}
	return scale(g.step.Estimate, sample.Median(), time.Second)
}

// queueRuntimes returns the run times of the newest runs of a queue, each as if its estimate were one second.
func (p *Planner) queueRuntimes(queue oleanderline.QueueID) *runtimes.Sample {
	sample := p.runtimes[queue]
	if sample == nil {
		sample = &runtimes.Sample{}
		p.runtimes[queue] = sample
	}
	return sample
}

// scale returns d * by / unit.
func scale(d, by, unit time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(by) / float64(unit))
}

// slowdown returns how many times as long a worker takes as others. It is computed once in a pass.
func (p *Planner) slowdown(w *worker) float64 {
	if w.slowdownIn != p.pass || w.slowdown == 0 {
		w.slowdown, w.slowdownIn = w.speed.Slowdown(p.now), p.pass
	}
	return w.slowdown
}

// slowPenalty returns what the score of a slow worker is lowered by for a task: nothing if the job has time enough, so that slow workers
// still run tasks and are seen to recover; else so much that a worker of normal speed comes first, also one away from the task's data if
// that makes less difference.
func (p *Planner) slowPenalty(w *worker, t *task) float64 {
	if p.settings.IgnoreSpeed {
		return 0
	}
	slowdown := p.slowdown(w)
	if slowdown < noticeableSlowdown {
		return 0
	}
	g := t.group
	more := time.Duration((slowdown - 1) * float64(p.typical(g)))
	slack := g.job.objective() - p.now.Sub(g.since()) - g.job.criticalPath[g.stepIndex]
	if more <= slack/2 {
		return 0
	}
	return scoreRack * (slowdown - 1)
}
