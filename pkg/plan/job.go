package plan

import (
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

type job struct {
	spec     oleanderline.Job
	queue    oleanderline.Queue
	progress record.Progress
	groups   []*group // by occurrence, then step
	arrived  time.Time
	chain    []time.Duration // by step: the longest estimated path from its start to the end of the job
	charged  int             // tasks that hold room on a worker
	left     int             // groups that are not done
	// startedBefore reports whether an earlier leader has started tasks of the job.
	startedBefore bool
}

// state returns the state to be recorded next.
func (j *job) state() oleanderline.JobState { return j.progress.State }

func (j *job) active() bool { return !j.progress.State.Final() }

// length returns the longest estimated path through the job.
func (j *job) length() time.Duration {
	var longest time.Duration
	for _, chain := range j.chain {
		longest = max(longest, chain)
	}
	return longest
}

// objective returns how long the job may take for full credit.
func (j *job) objective() time.Duration {
	return time.Duration(j.queue.Stretch*float64(j.length())) + j.queue.Latency
}

// AddJob takes over a job as recorded. It does nothing if the job is known.
func (p *Planner) AddJob(spec oleanderline.Job, progress record.Progress, now time.Time, age time.Duration) {
	if p.jobs[spec.ID] != nil {
		return
	}
	j := &job{spec: spec, queue: spec.Policy, progress: progress, arrived: now.Add(-age), startedBefore: progress.Started}
	if queue, ok := p.queues[spec.Queue]; ok {
		j.queue = queue
	}
	j.chain = chains(spec.Steps)
	p.jobs[spec.ID] = j
	if !j.active() {
		return
	}
	for k := range spec.Occurrences() {
		for index := range spec.Steps {
			j.groups = append(j.groups, newGroup(j, k, index))
		}
	}
	for _, g := range j.groups {
		if g.left > 0 {
			j.left++
		}
	}
	if j.left == 0 {
		p.finish(j, oleanderline.JobCompleted)
		return
	}
	p.adoptSeen(j)
	for _, g := range j.groups {
		p.openIfReady(g)
	}
}

// chains returns, for each step, the longest estimated path from its start to the end of the job.
func chains(steps []oleanderline.Step) []time.Duration {
	chain := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		chain[i] += steps[i].Estimate
		for _, earlier := range steps[i].After {
			chain[earlier] = max(chain[earlier], chain[i])
		}
	}
	return chain
}

// Cancel stops a job whose cancellation is recorded.
func (p *Planner) Cancel(id oleanderline.JobID) {
	j := p.jobs[id]
	if j == nil || !j.active() {
		return
	}
	p.finish(j, oleanderline.JobCancelled)
}

// Forget drops a finished job.
func (p *Planner) Forget(id oleanderline.JobID) {
	if j := p.jobs[id]; j != nil && !j.active() && j.charged == 0 {
		delete(p.jobs, id)
	}
}

// finish gives the job its final state and stops what still runs of it.
func (p *Planner) finish(j *job, state oleanderline.JobState) {
	j.progress.State = state
	p.countJob(j)
	p.dirty[j] = struct{}{}
	p.notes = append(p.notes, Note{Kind: NoteJob, Run: oleanderline.RunKey{Task: oleanderline.TaskKey{Job: j.spec.ID}}, Reason: state.String()})
	for _, g := range j.groups {
		delete(p.open, g)
		delete(p.timed, g)
		if state == oleanderline.JobCompleted {
			continue
		}
		for i := range g.tasks {
			p.stop(&g.tasks[i], "job "+state.String())
		}
	}
}

// failKey is the key of a task's failures in the record of progress.
func failKey(g *group, index int) string { return fmt.Sprintf("%d.%d", g.number(), index) }
