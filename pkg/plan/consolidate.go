package plan

import (
	"fmt"
	"math"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/consolidate"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

const (
	// consolidateInterval is the minimum time between decisions, so that the tasks of one worker have moved before the next
	// worker is chosen.
	consolidateInterval = time.Second
	// starvedAfter is how long a best-effort task is ready before it counts as starved.
	starvedAfter = 400 * time.Millisecond
	// clearedTimeout is how long images stay off the workers that they have left, after best-effort tasks were last starved.
	clearedTimeout = 5 * time.Second
	// maxClearingShare is the maximum share of workers off which an image moves at the same time.
	maxClearingShare = 0.1
	// avoidClearedTimeout is how long a ready long-running task is not placed on a worker that its image has left.
	avoidClearedTimeout = 300 * time.Millisecond
)

// consolidation is what the decision about the workers of one pool needs.
type consolidation struct {
	demand   consolidate.Demand
	workers  []consolidate.Worker // that may take tasks
	known    int                  // workers of the pool whose failure domain is in service
	clearing int                  // workers with long-running tasks that are being moved away
}

// consolidate moves long-running tasks to other workers while best-effort tasks are starved because they would interfere with
// long-running tasks on nearly every worker.
func (p *Planner) consolidate(now time.Time) {
	if now.Sub(p.consolidatedAt) < consolidateInterval {
		return
	}
	p.consolidatedAt = now
	pools := p.starvedPools(now)
	if len(pools) > 0 {
		p.starvedAt = now
	}
	if now.Sub(p.starvedAt) > clearedTimeout {
		for _, w := range p.workers {
			clear(w.leaving)
		}
		return
	}
	p.addWorkers(pools, now)
	for _, pool := range pools {
		limit := int(math.Ceil(maxClearingShare*float64(pool.known))) - pool.clearing
		for _, move := range consolidate.Choose(pool.workers, pool.demand, p.pairs.Harmful, limit) {
			p.moveAway(move)
		}
	}
}

func (p *Planner) moveAway(move consolidate.Move) {
	w := p.workers[move.Worker]
	w.leaving[move.Image] = departure{exchange: move.Exchange}
	p.note(NoteWorker, oleanderline.RunKey{}, w, fmt.Sprintf(
		"moving %d long-running tasks of image %s away to make room for starved best-effort tasks", w.servingImages[move.Image], move.Image))
}

// starvedPools returns the pools with starved best-effort tasks, and the CPU that these need.
func (p *Planner) starvedPools(now time.Time) map[oleanderline.PoolID]*consolidation {
	pools := map[oleanderline.PoolID]*consolidation{}
	for g := range p.ready {
		starved := g.starvedTasks(now)
		if starved == 0 {
			continue
		}
		id := g.job.queue.Pool
		if pools[id] == nil {
			pools[id] = &consolidation{demand: consolidate.Demand{}}
		}
		pools[id].demand[pairs.Image(g.step.Image)] += oleanderline.Millicores(starved) * g.step.Size.CPU
	}
	return pools
}

// starvedTasks returns the number of starved best-effort tasks of a group.
func (g *group) starvedTasks(now time.Time) int {
	if !g.step.BestEffort || g.breaker.Open() {
		return 0
	}
	starved := 0
	for i := range g.tasks {
		if t := &g.tasks[i]; t.state == taskReady && now.Sub(t.readyAt) > starvedAfter {
			starved++
		}
	}
	return starved
}

// addWorkers adds the workers to their pools, with their long-running tasks that have a tail latency target.
func (p *Planner) addWorkers(pools map[oleanderline.PoolID]*consolidation, now time.Time) {
	for _, w := range p.workers {
		pool := pools[w.entry.Pool]
		if pool == nil || w.outOfService {
			continue
		}
		pool.known++
		if w.isClearing() {
			pool.clearing++
		}
		if w.schedulable(now) {
			pool.workers = append(pool.workers, consolidate.Worker{
				ID: w.entry.ID, Free: w.free(), Leftover: w.leftoverCPU(), Serving: w.serving(),
			})
		}
	}
}

// isClearing reports whether long-running tasks are being moved off the worker.
func (w *worker) isClearing() bool {
	for image := range w.leaving {
		if w.servingImages[image] > 0 {
			return true
		}
	}
	return false
}

// serving describes the long-running tasks with a tail latency target, by their images.
func (w *worker) serving() map[pairs.Image]consolidate.Serving {
	images := map[pairs.Image]consolidate.Serving{}
	for t := range w.tasks {
		if t.group.step.TailTarget == 0 {
			continue
		}
		image, step := imageOf(t), t.group.step
		serving, known := images[image]
		if !known {
			_, leaving := w.leaving[image]
			serving = consolidate.Serving{Movable: true, Leaving: leaving}
		}
		serving.Count++
		serving.Size = serving.Size.Add(step.Size)
		serving.Largest = max(serving.Largest, step.Size.CPU, 1)
		serving.Bound = serving.Bound || step.Label != "" || step.MaxPerWorker > 0
		serving.Movable = serving.Movable && t.state == taskRunning && t.mayMove()
		images[image] = serving
	}
	return images
}

// departure describes how an image leaves a worker.
type departure struct {
	exchange bool // its tasks take the room of tasks that leave another worker, so that none can be reserved
}

// shouldMoveAway reports whether a long-running task should move now because its image leaves the worker. It reserves the room
// elsewhere, except for an exchange.
func (p *Planner) shouldMoveAway(w *worker, t *task, now time.Time) bool {
	if !w.isLeaving(t) || t.done || !t.isServing() || !t.mayMove() {
		return false
	}
	return w.leaving[imageOf(t)].exchange || p.reserveElsewhere(t, now)
}

// isLeaving reports whether the image of a long-running task leaves the worker or has left it.
func (w *worker) isLeaving(t *task) bool {
	if t.group.step.TailTarget == 0 {
		return false
	}
	_, leaving := w.leaving[imageOf(t)]
	return leaving
}

// changesImages reports whether a long-running task would bring an image to a worker from which images are moved away.
func (w *worker) changesImages(t *task) bool {
	if t.group.step.TailTarget == 0 || len(w.leaving) == 0 {
		return false
	}
	return w.isLeaving(t) || w.servingImages[imageOf(t)] == 0
}

// avoidedBy reports whether a task must not be placed on a worker yet because images are moved away from the worker.
func (w *worker) avoidedBy(t *task, now time.Time) bool {
	return w.changesImages(t) && now.Sub(t.readyAt) < avoidClearedTimeout
}
