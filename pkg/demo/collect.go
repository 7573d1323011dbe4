package demo

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// minionSlots is the number of slots of each minion in the VM list.
const minionSlots = 8

// drainGrace is the time within which a draining VM may still receive new work, according to the design's invariants.
const drainGrace = 2 * time.Second

// collect records what the callers, minions and workers observed, after the sequence has ended.
func (d *Demo) collect(ctx context.Context) {
	d.facts.Requests = d.load.recorded()
	d.facts.RequestRuns = d.platform.RequestRuns()
	for _, minion := range d.platform.Minions {
		if minion.PeakBusy() > minionSlots {
			d.facts.OverSlots++
		}
		d.facts.OverConnections += minion.RefusedConns()
	}
	d.collectTasks(ctx)
}

func (d *Demo) collectTasks(ctx context.Context) {
	runs := d.platform.WorkerRuns()
	d.facts.Jobs, d.facts.JobErrors = d.jobs.states(ctx)
	for i := range d.facts.Jobs {
		d.facts.Jobs[i].Completed = countCompleted(runs, d.facts.Jobs[i].ID)
	}
	d.facts.TaskFaults = standin.Violations(runs)
	for _, worker := range d.platform.Workers {
		if worker.CapacityRefusals() > 0 || !worker.Committed().Fits(d.layout.WorkerSize) {
			d.facts.OverCapacity++
		}
	}
	if worker, ok := d.platform.Workers[d.facts.DrainedVM]; ok {
		d.facts.DrainedTasks, d.facts.DrainedStarts = countRuns(worker.Runs(), d.drainInForce)
	}
}

// countRuns returns the number of runs that have not ended, and of those that began more than drainGrace after a time.
func countRuns(runs []standin.Run, after time.Time) (running, begun int) {
	for _, run := range runs {
		if run.End.IsZero() {
			running++
		}
		if run.Begin.After(after.Add(drainGrace)) {
			begun++
		}
	}
	return running, begun
}

// countCompleted returns the number of tasks of a job that a worker has completed.
func countCompleted(runs []standin.Run, id oleanderline.JobID) int {
	tasks := map[oleanderline.TaskID]bool{}
	for _, run := range runs {
		if run.State == oleanderline.OutcomeDone && jobOf(run.Task) == id {
			tasks[run.Task] = true
		}
	}
	return len(tasks)
}
