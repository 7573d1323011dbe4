package plan

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// group is the tasks of one step in one occurrence of its job.
type group struct {
	job    *job
	k      int
	index  int
	step   *oleanderline.Step
	tasks  []task
	left   int       // tasks that are not done
	ready  int       // tasks that are ready to start
	rankAt time.Time // when workers are looked at again after none could take a task
	// tickets holds what the queue's adviser, if it has one, has said about workers.
	tickets map[oleanderline.WorkerID]ticket
	// next is where the search for a ready task begins.
	next int
}

// task is one task of a group. It holds room on a worker from the moment its start is decided until its end is known.
type task struct {
	group  *group
	index  int
	state  taskState
	done   bool
	unseen bool // may run on a worker that has not reported in this term
	// suspect is a silent worker on which the record of an earlier leader says that the task may run.
	suspect *worker
	run     int
	fails   int
	worker  *worker
	avoid   oleanderline.WorkerID
	saved   string
	pace    int // percent that the worker was told
	// since is when the worker answered the order that led to the state; reports requested later tell the truth about it.
	since    time.Time
	queued   time.Time // when it became ready
	began    time.Time // when the start was decided
	paced    time.Time // when the pace was ordered last
	percent  int
	moved    time.Time // when percent changed last
	gauge    int
	stopping time.Time // when the last stop was ordered
}

type taskState int

const (
	taskIdle taskState = iota
	taskReady
	taskStarting
	taskRunning
	taskLeaving // a stop was ordered, or it is not known whether a start was carried out
)

func newGroup(j *job, k, index int) *group {
	step := &j.spec.Steps[index]
	g := &group{job: j, k: k, index: index, step: step, tasks: make([]task, step.Count)}
	done := j.progress.Done[g.number()]
	for i := range g.tasks {
		t := &g.tasks[i]
		t.group, t.index = g, i
		t.done = record.Bit(done, i)
		t.unseen = true
		t.fails = len(j.progress.Fails[failKey(g, i)])
		if !t.done {
			g.left++
		}
	}
	return g
}

// number counts the groups of a job over all occurrences.
func (g *group) number() int { return g.k*len(g.job.spec.Steps) + g.index }

func (t *task) key() oleanderline.TaskKey {
	return oleanderline.TaskKey{Job: t.group.job.spec.ID, Occurrence: t.group.k, Step: t.group.index, Index: t.index}
}

func (t *task) runKey() oleanderline.RunKey { return oleanderline.RunKey{Task: t.key(), Run: t.run} }

func (p *Planner) task(key oleanderline.TaskKey) *task {
	j := p.jobs[key.Job]
	if j == nil || key.Step < 0 || key.Step >= len(j.spec.Steps) || key.Occurrence < 0 || key.Occurrence >= j.spec.Occurrences() {
		return nil
	}
	number := key.Occurrence*len(j.spec.Steps) + key.Step
	if number >= len(j.groups) || key.Index < 0 || key.Index >= len(j.groups[number].tasks) {
		return nil
	}
	return &j.groups[number].tasks[key.Index]
}

// dependenciesDone reports whether all earlier steps that g needs are done.
func (g *group) dependenciesDone() bool {
	base := g.k * len(g.job.spec.Steps)
	for _, earlier := range g.step.After {
		if g.job.groups[base+earlier].left > 0 {
			return false
		}
	}
	return true
}

// openIfReady makes the tasks of a group ready once its dependencies are done. Groups with a due time wait for it.
func (p *Planner) openIfReady(g *group) {
	if g.left == 0 || !g.job.active() || !g.dependenciesDone() {
		return
	}
	if g.job.spec.Timed() {
		p.timed[g] = struct{}{}
		return
	}
	p.openGroup(g)
}

func (p *Planner) openGroup(g *group) {
	for i := range g.tasks {
		p.queue(&g.tasks[i])
	}
}

// openDue opens the groups whose due time has come by the time of day.
func (p *Planner) openDue(wall time.Time) {
	for g := range p.timed {
		if !wall.Before(g.job.spec.Due(g.k)) {
			delete(p.timed, g)
			p.openGroup(g)
		}
	}
}

// queue makes an idle task ready. The tasks of a gang become ready only when all of them are idle.
func (p *Planner) queue(t *task) {
	g := t.group
	if t.done || t.state != taskIdle || !g.job.active() || !g.dependenciesDone() {
		return
	}
	if _, waits := p.timed[g]; waits {
		return
	}
	if g.step.Gang {
		p.queueGang(g)
		return
	}
	t.state, t.queued = taskReady, p.now
	g.ready++
	g.next = min(g.next, t.index)
	p.open[g] = struct{}{}
}

func (p *Planner) queueGang(g *group) {
	for i := range g.tasks {
		if g.tasks[i].state != taskIdle {
			return
		}
	}
	for i := range g.tasks {
		g.tasks[i].state = taskReady
	}
	g.ready, g.next = len(g.tasks), 0
	p.open[g] = struct{}{}
}

// takeReady returns the next ready task without changing its state, or nil.
func (g *group) takeReady() *task {
	for ; g.next < len(g.tasks); g.next++ {
		if g.tasks[g.next].state == taskReady {
			return &g.tasks[g.next]
		}
	}
	return nil
}

// unready takes a task out of the ready ones.
func (p *Planner) unready(t *task) {
	if t.state != taskReady {
		return
	}
	t.state = taskIdle
	t.group.ready--
	if t.group.ready == 0 {
		delete(p.open, t.group)
	}
}

// complete marks a task as done, whichever run has ended.
func (p *Planner) complete(t *task) {
	if t.done {
		return
	}
	g := t.group
	if g.step.Gang {
		for i := range g.tasks {
			p.completeOne(&g.tasks[i])
		}
	} else {
		p.completeOne(t)
	}
	if g.left > 0 {
		return
	}
	g.job.left--
	if g.job.left == 0 {
		p.finish(g.job, oleanderline.JobCompleted)
		return
	}
	base := g.k * len(g.job.spec.Steps)
	for _, later := range g.job.groups[base : base+len(g.job.spec.Steps)] {
		p.openIfReady(later)
	}
}

func (p *Planner) completeOne(t *task) {
	if t.done {
		return
	}
	g := t.group
	p.unready(t)
	t.done = true
	g.left--
	if g.job.progress.Done == nil {
		g.job.progress.Done = map[int][]byte{}
	}
	number := g.number()
	g.job.progress.Done[number] = record.SetBit(g.job.progress.Done[number], t.index, len(g.tasks))
	p.dirty[g.job] = struct{}{}
}

// fail counts a failed run of a task, and fails the job after too many.
func (p *Planner) fail(t *task, run int) {
	g := t.group
	if g.step.Lasting || t.done || !g.job.active() {
		return
	}
	counted := t
	if g.step.Gang {
		counted = &g.tasks[0]
	}
	key := failKey(g, counted.index)
	if slices.Contains(g.job.progress.Fails[key], run) {
		return
	}
	if g.job.progress.Fails == nil {
		g.job.progress.Fails = map[string][]int{}
	}
	g.job.progress.Fails[key] = append(g.job.progress.Fails[key], run)
	counted.fails++
	p.dirty[g.job] = struct{}{}
	if counted.fails >= g.job.queue.MaxAttempts {
		p.finish(g.job, oleanderline.JobFailed)
	}
}
