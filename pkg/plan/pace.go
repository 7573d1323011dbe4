package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Pace of the fillers on a worker, in percent.
const (
	paceFull = 100
	paceStep = 20
	// paceOver and paceUnder are shares of the target of a tail latency above which fillers slow down and below which they
	// speed up.
	paceOver  = 0.85
	paceUnder = 0.6
	// paceHalt is the share of the target above which fillers stand still at once.
	paceHalt = 1.0
	// paceLag is the time after a change for which reports still cover what was before it.
	paceLag = 700 * time.Millisecond
	// paceRepeat is how often an unchanged pace is ordered again while the target is missed: an older order may have been
	// carried out late.
	paceRepeat = 2 * time.Second
)

// paceControl sets how fast the fillers on a worker work, so that the tail latency of the lasting tasks beside them stays
// below its target. It answers a load whose interference changes within seconds and is reported late.
type paceControl struct {
	percent int
	changed time.Time
	ordered time.Time
}

func newPaceControl() paceControl { return paceControl{percent: paceFull} }

// observe takes in the highest ratio of a tail to its target, and reports whether the pace has to be ordered.
func (c *paceControl) observe(ratio float64, now time.Time) bool {
	if now.Sub(c.changed) < paceLag {
		return false
	}
	percent := c.percent
	switch {
	case ratio > paceHalt:
		percent = 0
	case ratio > paceOver:
		percent /= 2
	case ratio < paceUnder:
		percent = min(paceFull, percent+paceStep)
	}
	if percent != c.percent {
		c.percent, c.changed, c.ordered = percent, now, now
		return true
	}
	if ratio > paceHalt && now.Sub(c.ordered) > paceRepeat {
		c.ordered = now
		return true
	}
	return false
}

// controlPace orders the pace of the fillers on a worker after a report.
func (p *Planner) controlPace(w *worker, now time.Time) {
	ratio := 0.0
	fillers := false
	for t := range w.tasks {
		if target := t.group.step.TailTarget; target > 0 && t.state == taskRunning {
			ratio = max(ratio, float64(t.gauge)/float64(target.Milliseconds()))
		}
		fillers = fillers || t.group.step.Filler
	}
	force := w.pace.observe(ratio, now)
	if !fillers {
		return
	}
	for t := range w.tasks {
		if t.group.step.Filler && t.state == taskRunning && (force || t.pace != w.pace.percent) {
			p.orderPace(t, w.pace.percent)
		}
	}
}

func (p *Planner) orderPace(t *task, percent int) {
	t.pace = percent
	p.orders = append(p.orders, Order{
		Kind: OrderPace, Worker: t.worker.entry.ID, Life: t.worker.life, Key: t.runKey(), Percent: percent,
	})
	p.note(NotePace, oleanderline.RunKey{Task: t.key(), Run: t.run}, t.worker, "")
}
