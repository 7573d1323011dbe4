package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/backlog"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// job is a job with its progress.
type job struct {
	spec          oleanderline.Job
	queue         oleanderline.Queue
	progress      record.Progress
	occurrences   map[int]*occurrence // those that are held, by number
	dependents    [][]int             // by step: see dependentSteps
	arrived       time.Time           // when the job was submitted
	criticalPath  []time.Duration     // by step: the estimated critical path from its start to the end of the job
	estimate      time.Duration       // the estimated critical path of the job
	work          backlog.Work        // estimated work of one occurrence
	tasks         int                 // of one occurrence
	placed        int                 // tasks that hold room on a worker
	unfinished    int                 // occurrences that are not done
	nextDue       int                 // the first occurrence that has not been due yet, if the job has due times
	scheduleIndex int                 // in Planner.scheduled; -1 if it is not there
	// startedBefore is whether an earlier leader has started tasks of the job.
	startedBefore bool
}

// state returns the state that the next flush records.
func (j *job) state() oleanderline.JobState { return j.progress.State }

func (j *job) active() bool { return !j.progress.State.Final() }

// objective returns the time in which the job should complete, from its arrival: the critical path times the queue's stretch
// factor, plus the queue's latency.
func (j *job) objective() time.Duration {
	return time.Duration(min(j.queue.Stretch*float64(j.estimate), maxObjective)) + j.queue.Latency
}

// maxObjective bounds the stretched critical path in nanoseconds: sums and small multiples of objectives do not overflow.
const maxObjective = 1 << 60

// AddJob adds a recorded job with a copy of its recorded progress. age is the time since its arrival. It does nothing if the job
// is known.
func (p *Planner) AddJob(spec oleanderline.Job, progress record.Progress, now time.Time, age time.Duration) {
	if p.jobs[spec.ID] != nil {
		return
	}
	j := &job{
		spec: spec, queue: spec.Policy, progress: progress.Clone(), arrived: now.Add(-age), startedBefore: progress.Started,
		occurrences: map[int]*occurrence{}, scheduleIndex: -1,
	}
	if queue, ok := p.queues[spec.Queue]; ok {
		j.queue = queue
	}
	j.criticalPath, j.dependents, j.work = criticalPaths(spec.Steps), j.dependentSteps(), totalWork(spec.Steps)
	for i := range spec.Steps {
		j.tasks += spec.Steps[i].Count
	}
	j.estimate = slices.Max(j.criticalPath)
	p.jobs[spec.ID] = j
	p.countWork(j)
	if !j.active() {
		return
	}
	j.progress.Compact(j.taskCount)
	j.unfinished = j.countUnfinished()
	if j.unfinished == 0 {
		p.finish(j, oleanderline.JobCompleted)
		return
	}
	p.adoptUnread(j)
	if spec.HasDueTimes() {
		p.schedule(j)
		return
	}
	p.enqueueOccurrence(p.occurrence(j, 0))
}

// taskCount returns the number of tasks of a step, numbered over all occurrences. Numbers come from records and may be invalid.
func (j *job) taskCount(step int) int {
	if step < 0 {
		return 0
	}
	return j.spec.Steps[step%len(j.spec.Steps)].Count
}

// criticalPaths returns the estimated critical path from the start of each step to the end of the job.
func criticalPaths(steps []oleanderline.Step) []time.Duration {
	paths := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		paths[i] += steps[i].Estimate
		for _, earlier := range steps[i].After {
			paths[earlier] = max(paths[earlier], paths[i])
		}
	}
	return paths
}

// Cancel cancels a job whose cancellation is recorded, and stops its runs.
func (p *Planner) Cancel(id oleanderline.JobID) {
	j := p.jobs[id]
	if j == nil || !j.active() {
		return
	}
	p.finish(j, oleanderline.JobCancelled)
}

// Forget removes a finished job that has no runs left. Otherwise it does nothing.
func (p *Planner) Forget(id oleanderline.JobID) {
	if j := p.jobs[id]; j != nil && !j.active() && j.placed == 0 {
		delete(p.jobs, id)
	}
}

// finish sets the final state of a job. If the job has not completed, it stops the job's runs.
func (p *Planner) finish(j *job, state oleanderline.JobState) {
	j.progress.State = state
	p.countJob(j)
	p.dirty[j] = struct{}{}
	p.unschedule(j)
	p.notes = append(p.notes, Note{Kind: NoteJob, Run: oleanderline.RunKey{Task: oleanderline.TaskKey{Job: j.spec.ID}}, Reason: state.String()})
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			delete(p.ready, g)
			if state == oleanderline.JobCompleted {
				continue
			}
			for i := range g.tasks {
				p.stop(&g.tasks[i], "job "+state.String())
			}
		}
		p.doneOccurrences[o] = struct{}{}
	}
	p.dropDoneOccurrences()
}

// failureKey returns the key of a task's failures in the progress record.
func failureKey(g *group, index int) string { return fmt.Sprintf("%d.%d", g.number(), index) }
