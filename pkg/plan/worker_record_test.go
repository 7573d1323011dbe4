package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against a second run of a task whose job was read after its worker was recorded as unreachable.
func TestRecordOfAnUnreachableWorkerListsRunsOfJobsReadLater(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.add("b", oleanderline.Step{Count: 6, Size: testSize}) // some on each worker
	c.place()
	task := taskOf("a", 0, 0)
	require.Len(t, c.runsOf(task), 1)
	var on, other oleanderline.WorkerID = "w0", "w1"
	for key := range c.workers["w1"].running {
		if key.Task == task {
			on, other = other, on
		}
	}
	c.newTerm(2)
	spec := c.planner.jobs["a"].spec
	delete(c.planner.jobs, "a") // not read yet
	c.reportAll()
	c.planner.CallFailed(on, oleanderline.ErrUncertain)
	c.flush()
	c.planner.AddJob(spec, c.progressOf("a"), c.now, 0)
	c.flush()
	c.newTerm(3)
	c.report(other)
	c.flush()
	c.place()
	require.Len(t, c.runsOf(task), 1)
}

// Guards against a second run of a task that two records of unreachable workers list: one of a start that was refused, and one of
// the worker that runs it.
func TestTaskListedByTwoUnreachableWorkersStartsAfterBothHaveReported(t *testing.T) {
	for range 50 {
		c := newCell(t, 2)
		c.add("a", oleanderline.Step{Count: 8, Size: testSize}) // fills both workers
		c.advance(rerankInterval)
		c.planner.Place(c.now, c.now, maxStartsPerPass)
		orders := c.planner.Orders()
		var refused Order
		for _, order := range orders {
			if order.Worker == "w0" && refused.Worker == "" {
				refused = order
				continue
			}
			c.workers[order.Worker].running[order.Key] = oleanderline.RunStatus{Key: order.Key}
			c.planner.HandleResult(Result{Order: order, Attempts: 1}, c.now)
		}
		task := refused.Key.Task
		c.planner.CallFailed("w0", oleanderline.ErrUnavailable)
		c.flush() // lists the task, whose start has no result yet
		c.planner.HandleResult(Result{Order: refused, Attempts: 1, Err: &oleanderline.RefusedError{Reason: oleanderline.RefusedUnhealthy}}, c.now)
		ended := ""
		for key := range c.workers["w1"].running {
			c.workers["w1"].end(key, oleanderline.EndDone)
			ended = key.Task.String()
			break
		}
		require.NotEmpty(t, ended)
		c.report("w1")
		c.flush()
		c.place()
		require.Len(t, c.runsOf(task), 1) // on w1
		c.planner.CallFailed("w1", oleanderline.ErrUncertain)
		c.flush()
		c.newTerm(2)
		c.report("w0")
		c.flush()
		c.place()
		require.Len(t, c.runsOf(task), 1)
	}
}

func (c *testCell) progressOf(id oleanderline.JobID) (p record.Progress) {
	for _, rec := range c.stored {
		if kind, of := record.ParseKey(rec.Key); kind == record.KindProgress && of == string(id) {
			decoded, err := record.Decode[record.Progress](rec)
			require.NoError(c.t, err)
			p = decoded
		}
	}
	return p
}
