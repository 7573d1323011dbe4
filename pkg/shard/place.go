package shard

import (
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
	var workers []*worker
	var candidates []placement.Candidate
	for _, w := range c.workers.order {
		if !c.workers.usable(w) {
			continue
		}
		workers = append(workers, w)
		candidates = append(candidates, placement.Candidate{
			Worker: w.id, Domain: w.vm.Domain, Rack: w.vm.Rack, Capacity: w.vm.Size, Free: w.free().Sub(w.aheadSize()),
		})
	}
	return workers, candidates
}

// aheadSize is what the tasks that wait at the worker need. They have a claim to the room that becomes free.
func (w *worker) aheadSize() oleanderline.Size {
	var sum oleanderline.Size
	w.eachAhead(func(t *task) { sum = sum.Add(t.size()) })
	return sum
}

func (c *Core) placeWaiting(workers []*worker, candidates []placement.Candidate) {
	c.queue.Each(c.now, c.load(), func(t *task, _ bool) queue.Verdict {
		if i, ok := c.cfg.Chooser.Choose(t.need(), candidates); ok {
			candidates[i].Free = candidates[i].Free.Sub(t.size())
			c.workers.reserve(t, workers[i])
			c.assign(t, workers[i])
			return queue.Placed
		}
		if w := c.chooseAhead(t, workers); w != nil {
			c.assign(t, w)
			return queue.Placed
		}
		return queue.Misfit
	})
}

func (t *task) need() placement.Need {
	return placement.Need{Size: t.size(), Kind: t.job.Kind, Team: t.job.Team, Job: t.job.ID}
}

// chooseAhead returns the worker with the shortest queue that is large enough for the task.
func (c *Core) chooseAhead(t *task, workers []*worker) *worker {
	if t.job.Kind != oleanderline.KindBatch {
		return nil
	}
	var best *worker
	bestLength := c.cfg.Limits.Ahead
	for _, w := range workers {
		if !t.size().Fits(w.vm.Size) {
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
			if i, ok := c.cfg.Chooser.Choose(t.need(), candidates); ok && candidates[i].Worker != w.id {
				candidates[i].Free = candidates[i].Free.Sub(t.size())
				c.free(t, "another worker has room", "")
				moves++
			}
		}
	}
}
