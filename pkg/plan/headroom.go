package plan

import (
	"math"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// headroomHalfLife is the half-life of the recorded peak of batch demand. It is longer than one load cycle.
	headroomHalfLife = 12 * time.Second
	// headroomFactor allows for fragmentation: some of the free room on workers is too small for a task.
	headroomFactor = 1.25
	// headroomLimit is the maximum share of a pool's CPU that is kept for batch tasks.
	headroomLimit = 0.2
)

// headroom is the CPU of a pool that is kept for batch tasks. Without it a stream of long-running tasks takes the whole
// pool: each holds its room until its job is cancelled, while the same room could run many short jobs one after another.
type headroom struct {
	capacity oleanderline.Millicores // of the pool
	free     oleanderline.Millicores // not committed to any task
	running  oleanderline.Millicores // committed to batch tasks
	peak     float64                 // decaying maximum of the millicores that batch tasks use or wait for
}

// update updates the headroom with the CPU of a pool and the CPU that its batch tasks use and wait for. since is the time
// since the last update.
func (h *headroom) update(capacity, free, running, waiting oleanderline.Millicores, since time.Duration) {
	h.capacity, h.free, h.running = capacity, free, running
	h.peak *= math.Exp2(-since.Seconds() / headroomHalfLife.Seconds())
	h.peak = max(h.peak, float64(running+waiting))
}

// permits reports whether the headroom stays free after a task has taken its CPU.
func (h *headroom) permits(need oleanderline.Millicores) bool {
	return h.free-need >= h.required()
}

// required returns the free CPU that must stay available to batch tasks.
func (h *headroom) required() oleanderline.Millicores {
	return oleanderline.Millicores(min(headroomFactor*h.peak, headroomLimit*float64(h.capacity))) - h.running
}

// updateHeadroom updates the headroom of every pool.
func (p *Planner) updateHeadroom(since time.Duration) {
	type sums struct{ capacity, free, running, waiting oleanderline.Millicores }
	pools := map[oleanderline.PoolID]*sums{}
	for _, w := range p.workers {
		if !w.inDirectory || w.service == serviceNone || w.unreachable || w.evacuating() || w.outOfService {
			continue
		}
		pool := pools[w.entry.Pool]
		if pool == nil {
			pool = &sums{}
			pools[w.entry.Pool] = pool
		}
		pool.capacity += w.entry.Capacity.CPU
		pool.free += w.free().CPU
		pool.running += w.used.CPU - w.longRunningCPU
	}
	for g := range p.ready {
		if pool := pools[g.job.queue.Pool]; pool != nil && !g.step.LongRunning && !g.step.BestEffort && !g.breaker.Open() {
			pool.waiting += oleanderline.Millicores(g.readyCount) * g.step.Size.CPU
		}
	}
	for id, pool := range pools {
		h := p.headroom[id]
		if h == nil {
			h = &headroom{}
			p.headroom[id] = h
		}
		h.update(pool.capacity, pool.free, pool.running, pool.waiting, since)
	}
}

// takeHeadroom deducts the CPU of a long-running task from the free CPU of its pool, or reports false if the headroom for
// batch tasks would be used up. A long-running task that has run before is never held back, and neither is the first half of
// a job's tasks: a job with some of its tasks running can serve, one with none cannot.
func (p *Planner) takeHeadroom(t *task) bool {
	h := p.headroom[t.group.job.queue.Pool]
	if h == nil || !t.group.step.LongRunning {
		return true
	}
	need := t.group.step.Size.CPU
	firstHalf := 2*t.index < t.group.step.Count
	if !firstHalf && t.run == 0 && !t.group.job.startedBefore && !h.permits(need) {
		return false
	}
	h.free -= need
	return true
}
