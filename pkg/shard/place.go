package shard

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/placement"
	"github.com/oleanderline/oleanderline/pkg/queue"
)

// Bounds of one placement pass.
const (
	maxMoves = 16 // tasks that are taken back from a worker's queue
	// stalledFor is how long an append may lack its answer before placement pauses: its records would only pile up.
	stalledFor = time.Second
)

// place assigns waiting tasks to workers, first within their free capacity, then ahead of it.
func (c *Core) place() {
	if c.releasing || c.writer.Stalled(c.now) > stalledFor || c.writer.Waiting() > c.cfg.Limits.MaxWait/2 {
		return
	}
	if c.queue.Len() == 0 && !c.anyAhead() {
		return
	}
	workers, candidates := c.candidates()
	if len(workers) == 0 {
		return
	}
	c.placeWaiting(workers, candidates)
	if c.queue.Len() == 0 {
		c.takeBack(candidates)
	}
}

func (c *Core) candidates() ([]*worker, []placement.Candidate) {
	workers := make([]*worker, 0, len(c.workers.order))
	candidates := make([]placement.Candidate, 0, len(c.workers.order))
	for _, w := range c.workers.order {
		if !c.workers.usable(w) || !c.health.Accepts(w.id, len(w.tasks)+len(w.incoming), c.now) {
			continue
		}
		workers = append(workers, w)
		candidate := placement.Candidate{
			Worker: w.id, Domain: w.vm.Domain, Rack: w.vm.Rack, Capacity: w.vm.Size, Free: w.free(), Ahead: w.aheadSize(),
		}
		candidate.Batch, candidate.Holds = c.batchRoom(w)
		if w.inWave() {
			candidate.Batch, candidate.Holds = oleanderline.Size{}, true
		}
		candidates = append(candidates, candidate)
	}
	return workers, candidates
}

// batchRoom returns what holds leave to further batch tasks on a worker, and whether any hold applies.
func (c *Core) batchRoom(w *worker) (oleanderline.Size, bool) {
	held, applies := placement.Held(c.rules, w.vm, c.now)
	if !applies || c.cfg.Without.Holds {
		return oleanderline.Size{}, false
	}
	room := w.vm.Size.Sub(held)
	take := func(t *task) {
		if t.reserved && t.room == w.id && t.job.Kind == oleanderline.KindBatch {
			room = room.Sub(t.size())
		}
	}
	for _, t := range w.tasks {
		take(t)
	}
	for _, t := range w.incoming {
		take(t)
	}
	return room, true
}

// startable reports whether a task that waits at its worker may start there now.
func (c *Core) startable(w *worker, t *task) bool {
	if !t.size().Fits(w.free()) || (!t.job.Urgent && (w.id == c.clearing || c.now.Before(w.claimedTo))) {
		return false
	}
	room, held := c.batchRoom(w)
	return !held || t.job.Kind != oleanderline.KindBatch || t.size().Fits(room)
}

// aheadSize is what the tasks that wait at the worker need. They have a claim to the room that becomes free.
func (w *worker) aheadSize() oleanderline.Size {
	var sum oleanderline.Size
	w.eachAhead(func(t *task) { sum = sum.Add(t.size()) })
	return sum
}

func (c *Core) placeWaiting(workers []*worker, candidates []placement.Candidate) {
	earlier := c.clearing
	c.clearing = ""
	spreads := map[*job]*placement.Spread{}
	c.queue.Each(c.now, c.load(), func(t *task, starved bool) queue.Verdict {
		if !c.withinQuota(t) {
			return queue.Blocked
		}
		need := t.need()
		need.Spread = c.spreadOf(t.job, spreads)
		if len(t.failedOn) < len(candidates) {
			need.Avoid = t.failedOn // one of the others can still show whether the task or the worker is at fault
		}
		if i, ok := c.cfg.Chooser.Choose(need, candidates); ok {
			candidates[i].Take(&need)
			if !c.health.Good(workers[i].id) {
				candidates[i].Free = oleanderline.Size{} // a probe is one task at a time
			}
			c.workers.reserve(t, workers[i])
			c.assign(t, workers[i])
			return queue.Placed
		}
		c.preempt(t)
		if starved {
			c.clear(t, earlier, workers, candidates)
		}
		if w := c.chooseAhead(t, workers); w != nil {
			c.assign(t, w)
			return queue.Placed
		}
		return queue.Misfit
	})
}

func (t *task) need() placement.Need {
	return placement.Need{Size: t.size(), Kind: t.job.Kind, Team: t.job.Team, Job: t.job.ID, Urgent: t.job.Urgent}
}

// spreadOf counts where the instances of a latency-critical job are. The count is kept for one pass.
func (c *Core) spreadOf(j *job, known map[*job]*placement.Spread) *placement.Spread {
	if j.Kind != oleanderline.KindCritical || known[j] != nil {
		return known[j]
	}
	spread := placement.NewSpread()
	for _, t := range j.tasks {
		for _, id := range []oleanderline.WorkerID{t.worker, t.target} {
			if w := c.workers.byID[id]; w != nil {
				spread.Add(w.id, w.vm.Domain, w.vm.Rack)
			}
		}
	}
	known[j] = spread
	return spread
}

// chooseAhead returns the worker with the shortest queue that is large enough for the task.
func (c *Core) chooseAhead(t *task, workers []*worker) *worker {
	if t.job.Kind != oleanderline.KindBatch || t.job.Urgent {
		return nil // urgent tasks wait for the first room anywhere, not for room at one worker
	}
	var best *worker
	bestLength := c.cfg.Limits.Ahead
	for _, w := range workers {
		if !t.size().Fits(w.vm.Size) || w.id == c.clearing || w.inWave() || !c.health.Good(w.id) || slices.Contains(t.failedOn, w.id) {
			continue
		}
		if length := w.ahead(); length < bestLength {
			best, bestLength = w, length
		}
	}
	return best
}

func (c *Core) assign(t *task, w *worker) {
	t.pending = journal.KindAssign
	c.countQuota(t)
	c.workers.expect(t, w)
	record := journal.Record{Kind: journal.KindAssign, Task: t.id, Attempt: t.attempt + 1, Worker: w.id}
	c.record(t.job.Urgent, record)
	if c.cfg.Without.ReadBack {
		c.applyAssign(record, c.now)
	}
}

func (c *Core) anyAhead() bool {
	for _, w := range c.workers.order {
		if w.ahead() > 0 {
			return true
		}
	}
	return false
}

// takeBack frees tasks that wait at a worker while another has room for them.
func (c *Core) takeBack(candidates []placement.Candidate) {
	moves := 0
	for _, w := range c.workers.order {
		for _, t := range w.tasks {
			if moves == maxMoves {
				return
			}
			if t.reserved || t.ended || t.stop || t.pending != "" || !c.neverRan(w, t) || t.size().Fits(w.free()) {
				continue
			}
			need := t.need()
			if i, ok := c.cfg.Chooser.Choose(need, candidates); ok && candidates[i].Worker != w.id {
				candidates[i].Take(&need)
				c.free(t, "another worker has room", "")
				moves++
			}
		}
	}
}
