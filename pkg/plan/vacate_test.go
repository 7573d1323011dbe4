package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against maintenance that makes more long-running tasks of a step unavailable at once than MaxUnavailable allows.
func TestVacatingLimitsUnavailableTasks(t *testing.T) {
	one := 1
	c := newCell(t, 3)
	c.add("a", oleanderline.Step{Count: 3, Size: testSize, LongRunning: true, MaxUnavailable: &one, MaxPerWorker: 2})
	c.place()
	for id := range c.workers {
		c.setGauges(id, 1)
	}
	c.reportAll()
	on := map[oleanderline.WorkerID]int{}
	for i := range 3 {
		on[c.planner.task(taskOf("a", 0, i)).worker.entry.ID]++
	}
	for id, count := range on {
		require.Equal(t, count <= one, c.planner.MayStopAll(id))
		c.planner.Vacate([]oleanderline.WorkerID{id}, c.now)
		c.advance(checkInterval)
		c.planner.Place(c.now, c.now, maxStartsPerPass)
		stops := 0
		for _, order := range c.planner.Orders() {
			if order.Kind == OrderStop {
				stops++
			}
		}
		require.LessOrEqual(t, stops, one)
		return
	}
}

// Guards against new tasks on a vacated worker.
func TestNothingStartsOnAVacatedWorker(t *testing.T) {
	c := newCell(t, 2)
	c.planner.Vacate([]oleanderline.WorkerID{"w0"}, c.now)
	c.add("a", oleanderline.Step{Count: 8, Size: testSize})
	c.place()
	require.Empty(t, c.workers["w0"].running)
	require.True(t, c.planner.Empty("w0"))
	c.planner.Vacate(nil, c.now)
	c.place()
	require.Len(t, c.workers["w0"].running, 4)
}

// Guards against tasks that move at the same time to room that suffices for only one of them.
func TestMovingTasksDoNotShareRoom(t *testing.T) {
	c := newCell(t, 2)
	for _, id := range []oleanderline.JobID{"a", "b", "c", "d", "e", "f", "g"} {
		c.add(id, oleanderline.Step{Count: 1, Size: testSize, LongRunning: true})
		c.place()
	}
	for id := range c.workers {
		c.setGauges(id, 1)
	}
	c.reportAll()
	full := c.planner.task(taskOf("a", 0, 0)).worker
	require.Len(t, full.tasks, 4)
	c.planner.Vacate([]oleanderline.WorkerID{full.entry.ID}, c.now)
	c.advance(checkInterval)
	c.planner.Place(c.now, c.now, maxStartsPerPass)
	require.Len(t, c.planner.Orders(), 1)
}

// Guards against a task that is stopped for maintenance while another task of its step waits for a worker and is unavailable,
// too.
func TestWaitingTasksCountAsUnavailable(t *testing.T) {
	one := 1
	c := newCell(t, 3)
	c.add("a", oleanderline.Step{Count: 3, Size: testSize, LongRunning: true, MaxUnavailable: &one, MaxPerWorker: 1})
	c.place()
	for id := range c.workers {
		c.setGauges(id, 1)
	}
	c.reportAll()
	kept := c.planner.task(taskOf("a", 0, 0))
	require.True(t, kept.mayMove())
	c.endTask(taskOf("a", 0, 1), oleanderline.EndFailed)
	c.reportAll()
	require.Nil(t, c.planner.task(taskOf("a", 0, 1)).worker)
	require.False(t, kept.mayMove())
}

// Guards against a VM that is taken down with tasks that users count on, because its worker has not reported to the new leader yet.
func TestWorkerWithoutReportMayNotBeStopped(t *testing.T) {
	c := newCell(t, 2)
	limit := 0
	c.add("a", oleanderline.Step{Count: 2, Size: testSize, LongRunning: true, MaxUnavailable: &limit})
	c.place()
	c.flush()
	c.newTerm(2)
	for id := range c.workers {
		require.False(t, c.planner.MayStopAll(id))
		require.False(t, c.planner.Empty(id))
	}
	c.advance(testSettings().Horizon)
	c.place()
	for id := range c.workers {
		require.True(t, c.planner.Empty(id), "everything there has expired")
	}
}

// Guards against more unavailable tasks than a step may miss, because the tasks on a VM that this leader has ordered down still count as
// serving: their worker reports nothing any more, and its leases last for seconds.
func TestTasksOnATakenDownVMAreUnavailable(t *testing.T) {
	one := 1
	c := newCell(t, 4)
	c.add("a", oleanderline.Step{Count: 4, Size: testSize, LongRunning: true, MaxUnavailable: &one, MaxPerWorker: 1})
	c.place()
	for id := range c.workers {
		c.setGauges(id, 1)
	}
	c.reportAll()
	kept := c.planner.task(taskOf("a", 0, 0))
	require.True(t, c.planner.MayStopAll("w0"))
	c.planner.TakeDown("w0")
	require.True(t, c.planner.MayStopAll("w0"))
	require.False(t, c.planner.MayStopAll("w1"))
	require.False(t, kept.mayMove())
	c.planner.Spare("w0")
	require.True(t, c.planner.MayStopAll("w1"))
	require.True(t, kept.mayMove())

	c.planner.TakeDown("w0")
	c.advance(time.Second)
	c.planner.Report("w0", oleanderline.WorkerReport{Life: testIncarnation + 1}, c.now, c.now)
	require.False(t, c.planner.MayStopAll("w1"), "the task has not started again")
	require.False(t, c.planner.workers["w0"].takenDown, "a new incarnation is up")
}
