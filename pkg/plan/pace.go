package plan

import (
	"strconv"
	"time"

	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// Pace of the fillers on a worker, in percent.
const (
	paceFull = 100
	paceStep = 50
	// paceOver and paceUnder are shares of the target of a tail latency above which suspect fillers stand still and below
	// which they speed up again.
	paceOver  = 0.85
	paceUnder = 0.7
	// paceLag is the time after a change for which reports still cover what was before it.
	paceLag = 700 * time.Millisecond
	// lookInterval spaces what counts as evidence, because successive reports cover the same half second.
	lookInterval = 800 * time.Millisecond
	// startLag is how long a filler works before it can show in a report.
	startLag = 150 * time.Millisecond
	// paceRepeat is how often an unchanged pace is ordered again while the target is missed: an older order may have been
	// carried out late.
	paceRepeat = 2 * time.Second
	// noticeableShare is the share of a worker's processors from which the work of fillers shows in the tails beside them.
	noticeableShare = 0.05
	// doubtFor is how long a tail is too high beside fillers that are not suspicious before they are slowed down too.
	doubtFor = 1500 * time.Millisecond
	// suspectShare is the share of the highest suspicion on a worker from which a filler is slowed down.
	suspectShare = 0.4
)

// paceControl sets how fast suspect fillers on a worker work, so that the tail latency of the lasting tasks beside them
// stays below its target. It answers a load whose interference changes within seconds and is reported late.
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
	case ratio > paceOver:
		percent = 0
	case ratio < paceUnder:
		percent = min(paceFull, percent+paceStep)
	}
	if percent != c.percent {
		c.percent, c.changed, c.ordered = percent, now, now
		return true
	}
	if ratio > paceOver && now.Sub(c.ordered) > paceRepeat {
		c.ordered = now
		return true
	}
	return false
}

// controlPace learns from a report and moves or slows down the fillers that disturb the lasting tasks of a worker.
func (p *Planner) controlPace(w *worker, now time.Time) {
	fillers := w.workingFillers()
	if len(fillers) == 0 {
		w.ratio = p.observeTails(w, nil, now)
		w.pace = newPaceControl()
		return
	}
	worst := p.observeTails(w, fillers, now)
	w.ratio = worst
	force := w.pace.observe(worst, now)
	suspects := p.suspects(w, fillers, now)
	for _, t := range fillers {
		percent := paceFull
		if suspects[t] {
			percent = w.pace.percent
		}
		if p.disturbs(w, t) && (worst > paceOver || t.group.step.Checkpoint) && p.calmPlace(t, now) {
			p.note(NoteStop, t.runKey(), w, "disturbs lasting tasks")
			p.orderStop(t, now)
			w.moved = now
			continue
		}
		if t.pace != percent || (force && suspects[t]) {
			p.orderPace(t, percent)
		}
	}
}

// workingFillers returns the fillers that work on the worker.
func (w *worker) workingFillers() []*task {
	var fillers []*task
	for t := range w.tasks {
		if t.group.step.Filler && t.state == taskRunning {
			fillers = append(fillers, t)
		}
	}
	return fillers
}

// observeTails returns the highest ratio of a tail to its target, and now and then learns from the tails.
func (p *Planner) observeTails(w *worker, fillers []*task, now time.Time) float64 {
	worst := 0.0
	for t := range w.tasks {
		worst = max(worst, t.ratio())
	}
	if now.Sub(w.looked) < lookInterval || now.Sub(w.pace.changed) < paceLag || now.Sub(w.moved) < paceLag {
		return worst
	}
	w.looked = now
	p.learn(w, fillers, now)
	return worst
}

// learn passes the tails of the lasting tasks on, as evidence about the fillers beside them.
func (p *Planner) learn(w *worker, fillers []*task, now time.Time) {
	tails := map[pairs.Image]*imageTails{}
	for t := range w.tasks {
		if t.group.step.TailTarget == 0 || t.state != taskRunning {
			continue
		}
		image := imageOf(t)
		if tails[image] == nil {
			tails[image] = &imageTails{}
		}
		tails[image].add(t.ratio(), t.excess(now))
	}
	steady, recent := w.working(fillers, now)
	for image, seen := range tails {
		p.pairs.Observe(pairs.Look{
			Serving: image, Ratio: seen.ratio, Excess: seen.excess(), Steady: steady, Recent: recent,
		})
	}
}

// ratio returns the reported tail of a lasting task as a share of its target, or 0 if it has none or does not run.
func (t *task) ratio() float64 {
	target := t.group.step.TailTarget
	if target == 0 || t.state != taskRunning {
		return 0
	}
	return float64(t.gauge) / float64(target.Milliseconds())
}

// working returns the images of the fillers that work at full pace, by whether a report covers only their work. Those that
// use too little of the worker to show are left out of the first.
func (w *worker) working(fillers []*task, now time.Time) (steady, recent []pairs.Image) {
	used := map[pairs.Image]float64{}
	for _, t := range fillers {
		if t.pace != paceFull {
			continue
		}
		image := imageOf(t)
		switch {
		case now.Sub(t.began) > paceLag:
			used[image] += float64(t.gauge) / max(1, float64(w.entry.Capacity.CPU))
		case now.Sub(t.began) > startLag:
			recent = append(recent, image)
		}
	}
	for image, at := range w.left {
		if now.Sub(at) < paceLag {
			recent = append(recent, image)
		} else {
			delete(w.left, image)
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

// suspects returns the fillers that are about as suspicious as the worst one. Where none is suspicious, the load of the
// lasting tasks themselves is taken as the cause for a while; then all fillers are suspect.
func (p *Planner) suspects(w *worker, fillers []*task, now time.Time) map[*task]bool {
	if w.ratio <= paceOver {
		w.over = time.Time{}
	} else if w.over.IsZero() {
		w.over = now
	}
	all := !w.over.IsZero() && now.Sub(w.over) > doubtFor
	highest := 0.0
	suspicion := map[*task]float64{}
	for _, t := range fillers {
		suspicion[t] = p.suspicion(w, t)
		highest = max(highest, suspicion[t])
	}
	suspects := map[*task]bool{}
	for _, t := range fillers {
		suspects[t] = all || suspicion[t] >= max(clean, suspectShare*highest)
	}
	return suspects
}

// suspicion returns how likely a filler is to disturb one of the lasting tasks of a worker.
func (p *Planner) suspicion(w *worker, filler *task) float64 {
	highest := 0.0
	for serving := range w.lasting {
		highest = max(highest, p.pairs.Suspicion(serving, imageOf(filler)))
	}
	return highest
}

func (p *Planner) orderPace(t *task, percent int) {
	t.pace, t.paced = percent, p.now
	p.orders = append(p.orders, Order{
		Kind: OrderPace, Worker: t.worker.entry.ID, Life: t.worker.life, Key: t.runKey(), Percent: percent,
	})
	p.note(NotePace, t.runKey(), t.worker, strconv.Itoa(percent))
}
