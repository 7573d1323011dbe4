package plan

import (
	"strconv"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

const (
	// failedStartBackoff is the backoff of a worker after a start there has failed: it was refused, not sent or not answered. It
	// bounds repeated failures, because a worker on which every start fails stays empty, so that each pass would choose it again.
	failedStartBackoff = 200 * time.Millisecond
	// unhealthyBackoff is the backoff after a worker has refused a start because it is unhealthy.
	unhealthyBackoff = time.Second
	// servingUtilization is the average share of their declared CPU that long-running tasks use.
	servingUtilization = 0.5
)

// Place runs one scheduling pass. It starts at most maxStarts ready tasks, and the rest of a gang that has begun within them. wall is
// the time of day, for jobs with due times.
func (p *Planner) Place(now, wall time.Time, maxStarts int) {
	p.now = now
	p.pass++
	p.emitDue(now)
	p.startState = StartsForbidden
	if !p.mayStart(now) {
		return
	}
	p.startState = StartsFree
	p.noteStartsAllowed(now)
	p.expireUnreported(now)
	p.noteUnreportedAllowed(now)
	p.checkRunning(now)
	p.enqueueDue(wall)
	maxStarts = min(maxStarts, maxStartsPerPass)
	started := p.placeReady(now, maxStarts)
	p.speculate(now, maxStarts-started)
}

// placeReady starts at most maxStarts ready tasks, and the rest of a gang that has begun within them. It returns how many it has started.
func (p *Planner) placeReady(now time.Time, maxStarts int) int {
	if len(p.ready) == 0 {
		return 0
	}
	unreportedMayRun := p.unreportedMayRun(now)
	started := 0
	for i, g := range p.firstInOrder(now, maxRankedPerPass+1) {
		if started >= maxStarts {
			p.startState = StartsHeld
			return started // the next pass continues
		}
		if i == maxRankedPerPass {
			return started // the next pass continues
		}
		if g.step.Gang {
			started += p.placeGang(g, unreportedMayRun, now)
			continue
		}
		started += p.placeGroup(g, unreportedMayRun, now, maxStarts-started)
	}
	return started
}

// placeGroup starts at most maxStarts tasks of a group and returns how many it has started.
func (p *Planner) placeGroup(g *group, unreportedMayRun bool, now time.Time, maxStarts int) int {
	g.nextIndex = 0
	var r ranking
	started := 0
	for started < maxStarts {
		t := g.next()
		if t == nil {
			p.postponeHeld(g, now)
			return started
		}
		if p.mayAlreadyRun(t, unreportedMayRun) {
			g.nextIndex++
			continue
		}
		if r == nil || g.step.SameRack { // with SameRack, the scores depend on the racks of the tasks already placed
			var blocked obstacle
			if r, blocked = p.rank(t, now); len(r) == 0 {
				g.obstacle = blocked
			}
		}
		i := p.best(&r, t, now)
		if i >= 0 && !p.takeHeadroom(t) {
			g.obstacle = obstacleHeadroom
			i = -1
		}
		if i < 0 {
			g.retryAt = now.Add(p.rerankDelay())
			p.prepareAdviceRequest(g, now)
			return started
		}
		p.start(t, r[i].worker, p.nextRun(t), now)
		p.rescore(r, i, t)
		started++
	}
	return started
}

// hasRoom reports whether the worker has room for one more task of the group, within the step's MaxPerWorker and its own ramp. A best-effort
// task is admitted if the leftover CPU suffices or the worker has no best-effort task yet.
func (w *worker) hasRoom(g *group) bool {
	need := g.step.Size
	if g.step.BestEffort {
		if w.leftoverCPU() < need.CPU && w.bestEffortCPU > 0 {
			return false
		}
		need.CPU = 0
	}
	if !w.used.Add(need).Fits(w.entry.Capacity) || !w.rampAdmits(0, g.step.Size.CPU) {
		return false
	}
	return g.step.MaxPerWorker == 0 || g.onWorker(w) < g.step.MaxPerWorker
}

// leftoverCPU estimates the CPU that further best-effort tasks may use.
func (w *worker) leftoverCPU() oleanderline.Millicores {
	busy := w.used.CPU - oleanderline.Millicores(float64(w.servingCPU)*(1-servingUtilization))
	return (w.entry.Capacity.CPU-busy)*oleanderline.Millicores(w.throttle.percent)/throttleFull - w.bestEffortCPU
}

// Weights of the score of a worker for a task, relative to its share of free CPU. Long-running tasks are packed onto few
// workers, so that other workers stay free for best-effort tasks and large tasks. scoreReplicas keeps at least half of a step's
// tasks on other workers if possible, so that their tail latencies can be compared and the loss of one worker ends at most half
// of the step.
const (
	scoreRack     = 2.0
	scoreHarm     = 1.0
	scoreImage    = 2.0
	scoreReplicas = 3.0
	emptyShare    = 0.5
)

// score rates a worker for a task; a higher score is better.
func (p *Planner) score(w *worker, t *task) float64 {
	capacity := max(1, float64(w.entry.Capacity.CPU))
	step := t.group.step
	score := float64(w.free().CPU) / capacity
	switch {
	case step.BestEffort:
		score = float64(w.leftoverCPU())/capacity - scoreHarm*p.addedHarm(w, t)
	case step.LongRunning:
		score = scoreImage*w.imageShare(imageOf(t)) - score
		if 2*t.group.onWorker(w) >= step.Count {
			score -= scoreReplicas
		}
	default:
		score -= p.slowPenalty(w, t)
	}
	if step.Rack != "" && step.Rack == w.entry.Rack {
		score += scoreRack
	}
	if step.SameRack && t.group.usesRack(w.entry.Rack) {
		score += scoreRack
	}
	return score
}

// imageShare returns the share of a worker's long-running tasks that run an image, or emptyShare if it has none. The same
// best-effort tasks interfere with all tasks of an image, so keeping these tasks together leaves more workers for each
// best-effort task.
func (w *worker) imageShare(image pairs.Image) float64 {
	all := 0
	for _, count := range w.servingImages {
		all += count
	}
	if all == 0 {
		return emptyShare
	}
	return float64(w.servingImages[image]) / float64(all)
}

// usesRack reports whether a task of the group holds room in a rack.
func (g *group) usesRack(rack oleanderline.RackID) bool {
	for i := range g.tasks {
		if w := g.tasks[i].worker; w != nil && w.entry.Rack == rack {
			return true
		}
	}
	return false
}

// start orders the start of a task on a worker.
func (p *Planner) start(t *task, w *worker, run int, now time.Time) {
	p.dequeue(t)
	t.state, t.run, t.startedAt, t.progressAt, t.answeredAt = taskStarting, run, now, now, time.Time{}
	t.noteHighest(run)
	t.pace.Start(0, now)
	t.throttle = throttleFull
	t.unreported, t.adopted = false, false
	t.startUnanswered, t.stopFirst, t.listed = false, false, false
	if t.group.step.BestEffort && p.interferes(w, t) {
		p.lastTrial[imageOf(t)] = now
	}
	if w.isLeaving(t) {
		delete(w.leaving, imageOf(t))
	}
	p.charge(t, w)
	value, _ := t.group.ticketFor(w, now)
	p.orders = append(p.orders, Order{
		Kind: OrderStart, Worker: w.entry.ID, Domain: w.entry.Domain, Life: w.incarnation, Key: t.runKey(),
		Payload: t.group.job.spec.Payload, Checkpoint: t.checkpoint, Ticket: value,
	})
	p.addNote(Note{
		Kind: NoteStart, Run: t.runKey(), Reason: t.startReason(w, now), Waited: now.Sub(t.readyAt), Obstacle: t.group.obstacle.String(),
		TaskKind: t.kind(),
	}, w)
}

// startReason describes a start for the log: how long the task was ready, the age of its job and the job's objective, and
// the free CPU of the worker.
func (t *task) startReason(w *worker, now time.Time) string {
	j := t.group.job
	return "task was ready for " + now.Sub(t.readyAt).Round(time.Millisecond).String() +
		", job age " + now.Sub(j.arrived).Round(time.Millisecond).String() + " of objective " + j.objective().Round(time.Millisecond).String() +
		", free CPU of the worker " + strconv.FormatInt(int64(w.free().CPU), 10) + "m"
}

// kind returns the kind of the task for the log.
func (t *task) kind() string {
	switch {
	case t.group.step.LongRunning:
		return "long-running"
	case t.group.step.BestEffort:
		return "best-effort"
	}
	return "batch"
}
