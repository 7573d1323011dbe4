package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against a step that starts before the steps on which it depends are done.
func TestStepsWaitForTheirDependencies(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 2, Size: testSize}, oleanderline.Step{Count: 1, Size: testSize, After: []int{0}})
	c.place()
	require.Empty(t, c.runsOf(taskOf("a", 1, 0)))
	c.endTask(taskOf("a", 0, 0), oleanderline.EndDone)
	c.reportAll()
	c.place()
	require.Empty(t, c.runsOf(taskOf("a", 1, 0)))
	c.endTask(taskOf("a", 0, 1), oleanderline.EndDone)
	c.reportAll()
	c.place()
	require.Len(t, c.runsOf(taskOf("a", 1, 0)), 1)
}

// Guards against a worker whose capacity is exceeded because the room of a task is reused before its run has ended.
func TestRoomIsFreeOnlyAfterTheEnd(t *testing.T) {
	c := newCell(t, 1)
	c.add("a", oleanderline.Step{Count: 4, Size: testSize})
	c.place()
	c.add("b", oleanderline.Step{Count: 1, Size: testSize})
	c.planner.Cancel("a")
	c.planner.Place(c.now, c.now, maxStartsPerPass)
	for _, order := range c.planner.Orders() {
		require.Equal(t, OrderStop, order.Kind)
		c.workers[order.Worker].end(order.Key, oleanderline.EndStopped)
	}
	c.reportAll()
	c.place()
	require.Len(t, c.runsOf(taskOf("b", 0, 0)), 1)
}

// Guards against a failure that is counted twice because the worker reports it again to the next leader.
func TestFailureIsCountedOnceOverLeaders(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.place()
	c.endTask(taskOf("a", 0, 0), oleanderline.EndFailed)
	c.reportAll()
	c.flush()
	c.newTerm(2)
	c.reportAll()
	require.Equal(t, oleanderline.JobPending, c.planner.jobs["a"].state())
	c.flush()
	c.place()
	require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
}

// Guards against a second run of a task that may still run on a worker which the new leader cannot reach, and against holding
// back tasks that certainly do not run there.
func TestUnreachableWorkerHoldsBackOnlyItsTasks(t *testing.T) {
	type scenario struct {
		name     string
		recorded bool // the earlier leader has recorded that the worker is unreachable
		started  int  // tasks that the new leader may start at once
	}
	for _, s := range []scenario{
		{"recorded as unreachable", true, 1},
		{"not recorded", false, 0},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.add("a", oleanderline.Step{Count: 8, Size: testSize})
			c.place()
			if s.recorded {
				c.planner.CallFailed("w0", oleanderline.ErrUncertain)
			}
			c.flush()
			c.endTaskOn("w1")
			c.add("b", oleanderline.Step{Count: 1, Size: testSize})
			c.newTerm(2)
			c.report("w1")
			c.flush()
			c.advance(time.Second)
			c.place()
			require.Len(t, c.workers["w1"].running, 3+s.started)
			for i := range 8 {
				require.LessOrEqual(t, len(c.runsOf(taskOf("a", 0, i))), 1)
			}
			c.advance(testSettings().Horizon)
			c.workers["w0"].running = map[oleanderline.RunKey]oleanderline.RunStatus{}
			c.place()
			require.Len(t, c.workers["w1"].running, 4)
		})
	}
}

// endTaskOn ends one run on a worker as done, which frees its room.
func (c *testCell) endTaskOn(id oleanderline.WorkerID) {
	for key := range c.workers[id].running {
		c.workers[id].end(key, oleanderline.EndDone)
		break
	}
	c.report(id)
	c.flush()
}

// Guards against a second run of a task while it is unknown whether the start of the first one took effect.
func TestStartWithoutAnswerIsStoppedFirst(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.planner.Place(c.now, c.now, maxStartsPerPass)
	orders := c.planner.Orders()
	require.Len(t, orders, 1)
	c.planner.HandleResult(Result{Order: orders[0], Err: oleanderline.ErrUncertain, Attempts: 3}, c.now)
	stops := c.planner.Orders()
	require.Len(t, stops, 1)
	require.Equal(t, OrderStop, stops[0].Kind)
	c.place()
	require.Empty(t, c.runsOf(taskOf("a", 0, 0)), "a second run may not begin before the stop is answered")
	c.planner.HandleResult(Result{Order: stops[0], Attempts: 1}, c.now)
	answered := c.now
	c.advance(time.Millisecond)
	c.reportAll()
	c.place()
	require.Empty(t, c.runsOf(taskOf("a", 0, 0)), "the run may have begun and be missing from the list while it is stopped")
	c.now = answered.Add(testSettings().StopGrace + time.Millisecond)
	c.reportAll()
	c.place()
	runs := c.runsOf(taskOf("a", 0, 0))
	require.Len(t, runs, 1)
	require.Equal(t, 2, runs[0].Run)
}

// Guards against a worker on which every start fails at once and which each pass chooses again, because it is always empty: the
// task does not run although another worker has room.
func TestFailedStartsGoElsewhere(t *testing.T) {
	type scenario struct {
		name string
		err  error
	}
	for _, s := range []scenario{
		{"unavailable", oleanderline.ErrUnavailable},
		{"invalid", &oleanderline.RefusedError{Reason: oleanderline.RefusedInvalid}},
		{"expired", &oleanderline.RefusedError{Reason: oleanderline.RefusedExpired}},
		{"no room", &oleanderline.RefusedError{Reason: oleanderline.RefusedCapacity}},
		{"unhealthy", &oleanderline.RefusedError{Reason: oleanderline.RefusedUnhealthy}},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.add("a", oleanderline.Step{Count: 1, Size: testSize})
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			orders := c.planner.Orders()
			require.Len(t, orders, 1)
			c.planner.HandleResult(Result{Order: orders[0], Err: s.err}, c.now)
			c.advance(20 * time.Millisecond)
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			next := c.planner.Orders()
			require.Len(t, next, 1)
			require.NotEqual(t, orders[0].Worker, next[0].Worker)
		})
	}
}

// Guards against a job that fails before the last attempt of a task, and against one that continues after it.
func TestJobFailsAfterItsLastAttempt(t *testing.T) {
	c := newCell(t, 3)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	for attempt := 1; attempt <= testQueue.MaxAttempts; attempt++ {
		require.True(t, c.planner.jobs["a"].active())
		c.place()
		c.endTask(taskOf("a", 0, 0), oleanderline.EndFailed)
		c.reportAll()
	}
	require.Equal(t, oleanderline.JobFailed, c.planner.jobs["a"].state())
}

// Guards against a long-running task that counts as done, or is not restarted, after its run has ended in any way.
func TestLongRunningTasksStartAgain(t *testing.T) {
	for _, how := range []oleanderline.EndKind{oleanderline.EndDone, oleanderline.EndFailed, oleanderline.EndExpired} {
		t.Run(how.String(), func(t *testing.T) {
			c := newCell(t, 3)
			c.add("a", oleanderline.Step{Count: 1, Size: testSize, LongRunning: true})
			for range 5 {
				c.place()
				require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
				c.endTask(taskOf("a", 0, 0), how)
				c.reportAll()
			}
			require.True(t, c.planner.jobs["a"].active())
		})
	}
}

// Guards against members of a gang that start without the others, or with different run numbers.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	c := newCell(t, 1)
	c.add("a", oleanderline.Step{Count: 2, Size: testSize})
	c.place()
	c.add("b", oleanderline.Step{Count: 3, Size: testSize, Gang: true})
	c.place()
	for i := range 3 {
		require.Empty(t, c.runsOf(taskOf("b", 0, i)))
	}
	c.endTask(taskOf("a", 0, 0), oleanderline.EndDone)
	c.reportAll()
	c.place()
	for i := range 3 {
		runs := c.runsOf(taskOf("b", 0, i))
		require.Len(t, runs, 1)
		require.Equal(t, 1, runs[0].Run)
	}
}

// Guards against more tasks of a step on one worker than the step allows.
func TestSpreadBoundsTasksPerWorker(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 4, Size: testSize, MaxPerWorker: 1})
	c.place()
	running := 0
	for i := range 4 {
		running += len(c.runsOf(taskOf("a", 0, i)))
	}
	require.Equal(t, 2, running)
}

// Guards against a task that stays on a worker on which it makes no progress.
func TestStuckRunMovesToAnotherWorker(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.place()
	first := c.runsOf(taskOf("a", 0, 0))[0]
	for range 10 {
		c.advance(stuckTimeout / 5)
		c.reportAll()
		c.place()
	}
	runs := c.runsOf(taskOf("a", 0, 0))
	require.Len(t, runs, 1)
	require.Greater(t, runs[0].Run, first.Run)
}

// Guards against long-running tasks that stay on a draining worker until it is gone, and against new tasks there.
func TestLongRunningTasksLeaveADrainingWorker(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 4, Size: testSize, LongRunning: true})
	c.place()
	c.entries[0].Draining = true
	c.planner.SetWorkers(c.entries, c.now)
	for range 4 {
		c.advance(checkInterval)
		c.place()
		c.reportAll()
	}
	c.place()
	require.Empty(t, c.workers["w0"].running)
	require.Len(t, c.workers["w1"].running, 4)
}

// Guards against a second run of a task whose job the new leader has not read yet when a worker reports a run of it, and
// against an acknowledgement of the end of such a run before it is processed.
func TestRunsOfUnreadJobsAreAwaited(t *testing.T) {
	type scenario struct {
		name string
		done bool
	}
	for _, s := range []scenario{{"running", false}, {"done", true}} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.add("a", oleanderline.Step{Count: 1, Size: testSize})
			c.place()
			spec := c.planner.jobs["a"].spec
			delete(c.planner.jobs, "a")
			c.newTerm(2)
			if s.done {
				c.endTask(taskOf("a", 0, 0), oleanderline.EndDone)
			}
			c.reportAll()
			c.flush()
			c.planner.AddJob(spec, record.Progress{}, c.now, 0)
			c.place()
			c.reportAll()
			c.advance(time.Second)
			c.place()
			runs := c.runsOf(taskOf("a", 0, 0))
			if s.done {
				require.Empty(t, runs)
				require.Equal(t, oleanderline.JobCompleted, c.planner.jobs["a"].state())
				return
			}
			require.Len(t, runs, 1)
			require.Equal(t, 1, runs[0].Run)
		})
	}
}

// Guards against a task that stays in the stopping state forever because neither its start nor its stop was carried out or
// answered.
func TestUnansweredStopIsRepeated(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.planner.Place(c.now, c.now, maxStartsPerPass)
	orders := c.planner.Orders()
	c.planner.HandleResult(Result{Order: orders[0], Err: oleanderline.ErrUncertain, Attempts: 3}, c.now)
	stops := c.planner.Orders()
	c.planner.HandleResult(Result{Order: stops[0], Err: oleanderline.ErrUncertain, Attempts: 2}, c.now)
	for range 3 {
		c.advance(stopRepeatInterval)
		c.reportAll()
		c.place()
	}
	require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
}

// Guards against a second run of a task whose start was carried out by a new incarnation of a worker. The first report of the
// new incarnation answers a call from before the start and does not list the run.
func TestStartInNewIncarnationIsNotLost(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	asked := c.now
	c.advance(10 * time.Millisecond)
	c.place()
	run := c.runsOf(taskOf("a", 0, 0))[0]
	for id, w := range c.workers {
		if _, ok := w.running[run]; ok {
			c.planner.Report(id, oleanderline.WorkerReport{Life: testIncarnation + 1}, asked, c.now)
		}
	}
	c.place()
	require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
}

// Guards against a task that is started again because a worker reports the end of an older run, while a later run of the
// earlier leader may continue on a worker that has not reported.
func TestOldEndDoesNotReplaceLaterRun(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.place()
	first := c.endTask(taskOf("a", 0, 0), oleanderline.EndFailed)
	c.reportAll()
	c.place()
	c.workers[first].ended = append([]oleanderline.RunEnd(nil), c.workers[first].ended...)
	c.newTerm(2)
	c.report(first)
	c.advance(time.Second)
	c.place()
	require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
}

// Guards against a worker that gets no more tasks after it was unreachable so briefly that no record of it was written.
func TestBriefSilenceDoesNotExcludeAWorker(t *testing.T) {
	c := newCell(t, 1)
	c.planner.CallFailed("w0", oleanderline.ErrUncertain)
	c.reportAll()
	c.flush()
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.place()
	require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
}

// Guards against starts without a ticket or with an expired one, and against repeated requests about the same workers.
func TestStartsNeedTicketsOfTheAdviser(t *testing.T) {
	c := newCell(t, 3)
	queue := testQueue
	queue.Advice = oleanderline.AdvicePolicy{Decision: time.Second, PerWorker: time.Millisecond, Validity: 3 * time.Second}
	c.planner.SetConfig(&oleanderline.CellConfig{Version: 2, Queues: []oleanderline.Queue{queue}})
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.place()
	require.Empty(t, c.runsOf(taskOf("a", 0, 0)))
	requests := c.planner.AdviceRequests()
	require.Len(t, requests, 1)
	require.Len(t, requests[0].Workers, 3)
	c.planner.HandleAdvice(requests[0], oleanderline.Advice{
		Tickets: map[oleanderline.WorkerID]string{"w1": "ticket"}, Validity: queue.Advice.Validity,
	}, nil, c.now)
	c.place()
	require.Len(t, c.workers["w1"].running, 1)
	require.Equal(t, "ticket", c.workers["w1"].orders[0].Ticket)
	require.Empty(t, c.planner.AdviceRequests())
	c.endTask(taskOf("a", 0, 0), oleanderline.EndStopped)
	c.advance(queue.Advice.Validity)
	c.reportAll()
	c.place()
	require.Empty(t, c.runsOf(taskOf("a", 0, 0)), "the ticket has expired")
	require.Equal(t, []oleanderline.WorkerID{"w1"}, c.planner.AdviceRequests()[0].Workers)
}

// Guards against a pass that starts more tasks than the leader may have outstanding, because those of a gang are not counted.
func TestGangsCountAgainstTheMaximumOfAPass(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 2, Size: testSize, Gang: true})
	c.add("b", oleanderline.Step{Count: 1, Size: testSize})
	c.advance(rerankInterval)
	c.planner.Place(c.now, c.now, 1)
	c.deliver()
	require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
	require.Len(t, c.runsOf(taskOf("a", 0, 1)), 1)
	require.Empty(t, c.runsOf(taskOf("b", 0, 0)))
	c.place()
	require.Len(t, c.runsOf(taskOf("b", 0, 0)), 1)
}
