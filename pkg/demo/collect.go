package demo

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// minionSlots is the number of slots of each minion, as the VM list gives it.
const minionSlots = 8

// drainGrace is the time after which a leaving VM must get no new work, from the design's invariants.
const drainGrace = 2 * time.Second

// collect completes the facts after the sequence.
func (d *Demo) collect(ctx context.Context) {
	d.facts.Requests = d.load.seen()
	d.facts.RequestRuns = d.platform.RequestRuns()
	for _, minion := range d.platform.Minions {
		if minion.PeakBusy() > minionSlots {
			d.facts.OverSlots++
		}
		d.facts.OverConns += minion.RefusedConns()
	}
	d.collectTasks(ctx)
}

func (d *Demo) collectTasks(ctx context.Context) {
	runs := d.platform.WorkerRuns()
	d.facts.Jobs, d.facts.JobErrors = d.jobs.states(ctx)
	for i := range d.facts.Jobs {
		d.facts.Jobs[i].Completed = completed(runs, d.facts.Jobs[i].ID)
	}
	d.facts.TaskFaults = standin.Violations(runs)
	for _, worker := range d.platform.Workers {
		if worker.CapacityRefusals() > 0 || !worker.Committed().Fits(d.layout.WorkerSize) {
			d.facts.OverCapacity++
		}
	}
	if worker, ok := d.platform.Workers[d.facts.DrainedVM]; ok {
		d.facts.DrainedTasks, d.facts.DrainedStarts = drained(worker.Runs(), d.inForce)
	}
}

// drained counts the runs that have not ended, and those that began after the drain was in force.
func drained(runs []standin.Run, inForce time.Time) (running, begun int) {
	for _, run := range runs {
		if run.End.IsZero() {
			running++
		}
		if run.Begin.After(inForce.Add(drainGrace)) {
			begun++
		}
	}
	return running, begun
}

// completed counts the tasks of a job that have run to their end.
func completed(runs []standin.Run, id oleanderline.JobID) int {
	tasks := map[oleanderline.TaskID]bool{}
	for _, run := range runs {
		if run.State == oleanderline.OutcomeDone && jobOf(run.Task) == id {
			tasks[run.Task] = true
		}
	}
	return len(tasks)
}
