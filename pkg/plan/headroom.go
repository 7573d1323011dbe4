package plan

import (
	"math"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// headroomHalfLife is how fast an earlier peak of the demand for batch tasks is forgotten: longer than one swing of the
	// load.
	headroomHalfLife = 12 * time.Second
	// headroomFactor allows for room that is scattered over workers in pieces too small for a task.
	headroomFactor = 1.25
	// headroomLimit is the share of a pool's processors that is kept for batch tasks at most.
	headroomLimit = 0.2
)

// headroom is the room that lasting tasks leave to the batch tasks of a pool. It answers a load in which ever more lasting
// tasks arrive: each holds its room until its job is cancelled, while the same room would serve many short jobs in turn.
type headroom struct {
	capacity oleanderline.Millicores
	free     oleanderline.Millicores
	running  oleanderline.Millicores // committed to batch tasks
	peak     float64                 // decaying maximum of the millicores that batch tasks use or wait for
}

// measure takes in what a pool has and what its batch tasks need, a time after the last measurement.
func (h *headroom) measure(capacity, free, running, waiting oleanderline.Millicores, since time.Duration) {
	h.capacity, h.free, h.running = capacity, free, running
	h.peak *= math.Exp2(-since.Seconds() / headroomHalfLife.Seconds())
	h.peak = max(h.peak, float64(running+waiting))
}

// leaves reports whether a task leaves the room that batch tasks need.
func (h *headroom) leaves(need oleanderline.Millicores) bool {
	return h.free-need >= h.kept()
}

// kept returns the free room that batch tasks need.
func (h *headroom) kept() oleanderline.Millicores {
	return oleanderline.Millicores(min(headroomFactor*h.peak, headroomLimit*float64(h.capacity))) - h.running
}

// measureHeadroom measures the room of every pool.
func (p *Planner) measureHeadroom(since time.Duration) {
	type sums struct{ capacity, free, running, waiting oleanderline.Millicores }
	pools := map[oleanderline.PoolID]*sums{}
	for _, w := range p.workers {
		if !w.listed || w.silent || w.leaves() {
			continue
		}
		pool := pools[w.entry.Pool]
		if pool == nil {
			pool = &sums{}
			pools[w.entry.Pool] = pool
		}
		pool.capacity += w.entry.Capacity.CPU
		pool.free += w.free().CPU
		pool.running += w.used.CPU - w.lastingCPU
	}
	for g := range p.open {
		if pool := pools[g.job.queue.Pool]; pool != nil && !g.step.Lasting && !g.step.Filler {
			pool.waiting += oleanderline.Millicores(g.ready) * g.step.Size.CPU
		}
	}
	for id, pool := range pools {
		h := p.headroom[id]
		if h == nil {
			h = &headroom{}
			p.headroom[id] = h
		}
		h.measure(pool.capacity, pool.free, pool.running, pool.waiting, since)
	}
}

// leavesHeadroom takes the room of a lasting task, or reports false if batch tasks of its pool need the room. A lasting task
// that has run before is never held back, nor is the first half of a job's tasks: a job with a few of its tasks at work serves,
// one with none does not.
func (p *Planner) leavesHeadroom(t *task) bool {
	h := p.headroom[t.group.job.queue.Pool]
	if h == nil || !t.group.step.Lasting {
		return true
	}
	need := t.group.step.Size.CPU
	first := 2*t.index < t.group.step.Count
	if !first && t.run == 0 && !t.group.job.startedBefore && !h.leaves(need) {
		return false
	}
	h.free -= need
	return true
}
