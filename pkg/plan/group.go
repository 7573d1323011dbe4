package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/breaker"
	"github.com/oleanderline/oleanderline/pkg/runtimes"
	"github.com/oleanderline/oleanderline/pkg/speed"
)

// group is the tasks of one step in one occurrence of its job.
type group struct {
	job        *job
	occurrence *occurrence
	stepIndex  int
	step       *oleanderline.Step
	tasks      []task
	unfinished int // tasks that are not done
	// dependencies is the number of steps on which the group depends and which are not done, as often as the step names them.
	dependencies int
	readyCount   int       // tasks that are ready to start
	retryAt      time.Time // when workers are ranked again after none could take a task
	obstacle     obstacle  // why none could take a task when workers were last ranked in vain
	// tickets holds the answers of the queue's adviser about workers, if the queue has one.
	tickets map[oleanderline.WorkerID]ticket
	// nextIndex is the index at which the search for a ready task begins.
	nextIndex int
	breaker   breaker.Breaker // limits the tasks while every run of the step fails
	runtimes  runtimes.Sample // of runs that have ended as done
	typical   time.Duration   // see Planner.typical
	typicalIn int64           // the pass in which it was computed
}

// task is one task of a group. It holds room on a worker from the decision to start it until the end of its run is known.
type task struct {
	group      *group
	index      int
	state      taskState
	done       bool
	unreported bool // no run was reported in this term, or one that has ended: another may exist on a worker that has not reported yet
	// inheritedWorkers are the unreachable workers on which the task may run, by the records of an earlier leader. There are several
	// if the task was started elsewhere after its run on one of them had ended.
	inheritedWorkers []*worker
	run              int     // number of the run in progress, or of the last one
	highest          int     // highest known run number, copies included
	adopted          bool    // an earlier leader has started that run
	failures         int     // failed runs that count against the job
	worker           *worker // on which it holds room, if any
	// speculative is the second run of the task, if any. It is a task value of its own, of which original is this task. A task without
	// a run has no second run.
	speculative, original *task
	// startUnanswered is whether a call of the start of that run had no answer, so that the worker may still carry it out.
	// stopFirst is whether the worker has restarted since, so that only a stop makes it refuse that call.
	startUnanswered, stopFirst bool
	listed                     bool                  // a report of its worker has listed the run in progress
	avoidWorker                oleanderline.WorkerID // the worker of the last failed or stuck run
	checkpoint                 string                // newest checkpoint
	throttle                   int                   // last ordered throttle, in percent of full speed; -1 if unknown
	// answeredAt is when the worker answered the order that led to the current state. Only reports requested later reflect this
	// state.
	answeredAt        time.Time
	readyAt           time.Time                      // when it became ready
	startedAt         time.Time                      // when the start was decided
	throttleOrderedAt time.Time                      // when the throttle was last ordered
	percent           int                            // reported progress
	progressAt        time.Time                      // when percent last changed
	pace              speed.Run                      // of the run in progress
	gauge             int                            // reported tail latency or CPU use, see RunStatus
	stopOrderedAt     time.Time                      // when the stop was last ordered
	stoppedOn         oleanderline.WorkerIncarnation // the one that answered the stop
}

type taskState int

const (
	taskIdle     taskState = iota // done, or waiting for dependencies or a due time
	taskReady                     // in the queue
	taskStarting                  // a start was ordered and has no result yet
	taskRunning
	taskStopping // a stop was ordered, possibly after a start of which the effect is unknown
)

func newGroup(j *job, o *occurrence, stepIndex int) *group {
	step := &j.spec.Steps[stepIndex]
	g := &group{job: j, occurrence: o, stepIndex: stepIndex, step: step, tasks: make([]task, step.Count)}
	for i := range g.tasks {
		t := &g.tasks[i]
		t.group, t.index = g, i
		t.done = j.progress.IsDone(g.number(), i)
		t.unreported = true
		t.failures = len(j.progress.FailedRuns[failureKey(g, i)])
		if !t.done {
			g.unfinished++
		}
	}
	return g
}

// number returns the index of the group among the groups of its job, over all occurrences.
func (g *group) number() int { return g.occurrence.number*len(g.job.spec.Steps) + g.stepIndex }

func (t *task) key() oleanderline.TaskKey {
	return oleanderline.TaskKey{Job: t.group.job.spec.ID, Occurrence: t.group.occurrence.number, Step: t.group.stepIndex, Index: t.index}
}

// nextRun returns the number of the next run of a task.
func (p *Planner) nextRun(t *task) int { return max(t.run, t.highest, p.runBase) + 1 }

func (t *task) runKey() oleanderline.RunKey { return oleanderline.RunKey{Task: t.key(), Run: t.run} }

// task returns the task of a key, or nil if there is none. Keys come from workers' reports and may be invalid.
func (p *Planner) task(key oleanderline.TaskKey) *task {
	j := p.jobs[key.Job]
	if j == nil || key.Step < 0 || key.Step >= len(j.spec.Steps) || key.Occurrence < 0 || key.Occurrence >= j.spec.Occurrences() {
		return nil
	}
	if key.Index < 0 || key.Index >= j.spec.Steps[key.Step].Count || !j.active() && j.occurrences[key.Occurrence] == nil {
		return nil
	}
	return &p.occurrence(j, key.Occurrence).groups[key.Step].tasks[key.Index]
}

// enqueueIfReady queues the tasks of a group if its occurrence is due and its dependencies are done.
func (p *Planner) enqueueIfReady(g *group) {
	if g.unfinished == 0 || !g.mayStart() {
		return
	}
	for i := range g.tasks {
		p.enqueue(&g.tasks[i])
	}
}

// mayStart reports whether tasks of the group that are not done may start.
func (g *group) mayStart() bool {
	return g.job.active() && g.occurrence.due && g.dependencies == 0
}

// enqueue makes an idle task ready. The tasks of a gang become ready together, once all of them are idle.
func (p *Planner) enqueue(t *task) {
	g := t.group
	if t.done || t.state != taskIdle || !g.mayStart() {
		return
	}
	if g.step.Gang {
		p.enqueueGang(g)
		return
	}
	t.state, t.readyAt = taskReady, p.now
	g.readyCount++
	g.nextIndex = min(g.nextIndex, t.index)
	p.ready[g] = struct{}{}
}

// enqueueGang makes the tasks of a gang ready if all of them are idle.
func (p *Planner) enqueueGang(g *group) {
	for i := range g.tasks {
		if g.tasks[i].state != taskIdle {
			return
		}
	}
	for i := range g.tasks {
		g.tasks[i].state, g.tasks[i].readyAt = taskReady, p.now
	}
	g.readyCount, g.nextIndex = len(g.tasks), 0
	p.ready[g] = struct{}{}
}

// nextReady returns the next ready task, or nil if there is none. The task stays ready.
func (g *group) nextReady() *task {
	for ; g.nextIndex < len(g.tasks); g.nextIndex++ {
		if g.tasks[g.nextIndex].state == taskReady {
			return &g.tasks[g.nextIndex]
		}
	}
	return nil
}

// dequeue makes a ready task idle. It does nothing in any other state.
func (p *Planner) dequeue(t *task) {
	if t.state != taskReady {
		return
	}
	t.state = taskIdle
	t.group.readyCount--
	if t.group.readyCount == 0 {
		delete(p.ready, t.group)
	}
}

func (p *Planner) dequeueGang(g *group) {
	for i := range g.tasks {
		p.dequeue(&g.tasks[i])
	}
}
