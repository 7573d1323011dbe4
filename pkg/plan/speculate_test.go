package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

const (
	copyWorkers  = 20
	copyEstimate = 500 * time.Millisecond
)

// copyStep returns a step whose tasks may have copies, and are so small that the share of the room for copies holds several.
func copyStep() oleanderline.Step {
	return oleanderline.Step{Count: 6, Size: oleanderline.Size{CPU: 100, Memory: 100}, Estimate: copyEstimate, Speculative: true}
}

// slowTask is the task of job "a" whose worker becomes slow in runSlow.
var slowTask = taskOf("a", 0, 0)

// runSlow starts the tasks of step, of which slowTask advances at a tenth of the speed of the others, and lets time pass until a copy is worthwhile.
// It returns the worker of slowTask.
func runSlow(t *testing.T, step oleanderline.Step, settings Settings) (*testCell, oleanderline.WorkerID) {
	t.Helper()
	c := newCell(t, copyWorkers)
	c.planner.settings = settings
	c.add("a", step)
	c.place()
	slow := c.workerOf(slowTask)
	for elapsed := 200 * time.Millisecond; elapsed <= 1200*time.Millisecond; elapsed += 200 * time.Millisecond {
		c.advance(200*time.Millisecond - rerankInterval)
		for id, w := range c.workers {
			for key, status := range w.running {
				status.Percent = int(100 * elapsed / (4 * copyEstimate))
				if id == slow {
					status.Percent /= 10
				}
				w.running[key] = status
			}
		}
		c.reportAll()
		c.place()
	}
	return c, slow
}

func (c *testCell) workerOf(task oleanderline.TaskKey) oleanderline.WorkerID {
	for id, w := range c.workers {
		for key := range w.running {
			if key.Task == task {
				return id
			}
		}
	}
	require.Fail(c.t, "the task is not running")
	return ""
}

// copyOf returns the worker of the second run of slowTask.
func (c *testCell) copyOf(first oleanderline.WorkerID) oleanderline.WorkerID {
	for id, w := range c.workers {
		for key := range w.running {
			if key.Task == slowTask && id != first {
				return id
			}
		}
	}
	require.Fail(c.t, "there is no copy")
	return ""
}

// end ends the run of slowTask on a worker and lets the leader know.
func (c *testCell) end(id oleanderline.WorkerID, how oleanderline.EndKind) {
	for key := range c.workers[id].running {
		if key.Task == slowTask {
			c.workers[id].end(key, how)
		}
	}
	c.report(id)
}

// Guards against a task that stays late because of its worker, and against copies of tasks that must not have two runs or do not need them.
func TestWhichTasksGetACopy(t *testing.T) {
	type scenario struct {
		name   string
		change func(*oleanderline.Step, *Settings)
		want   int // runs of the task
	}
	for _, s := range []scenario{
		{"copies allowed", func(*oleanderline.Step, *Settings) {}, 2},
		{"copies not allowed", func(step *oleanderline.Step, _ *Settings) { step.Speculative = false }, 1},
		{"gang", func(step *oleanderline.Step, _ *Settings) { step.Gang = true }, 1},
		{"long-running", func(step *oleanderline.Step, _ *Settings) { step.LongRunning = true }, 1},
		{"best-effort", func(step *oleanderline.Step, _ *Settings) { step.BestEffort = true }, 1},
		{"too large for the share of the room", func(step *oleanderline.Step, _ *Settings) { step.Size.CPU = 2000 }, 1},
		{"switched off", func(_ *oleanderline.Step, settings *Settings) { settings.NoCopies = true }, 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			step, settings := copyStep(), testSettings()
			s.change(&step, &settings)
			c, _ := runSlow(t, step, settings)
			require.Len(t, c.runsOf(slowTask), s.want)
			for i := 1; i < step.Count; i++ {
				require.Len(t, c.runsOf(taskOf("a", 0, i)), 1, "the others advance normally")
			}
		})
	}
}

// Guards against runs that go on, or are started, after another run of their task is done.
func TestFirstRunToEndCounts(t *testing.T) {
	for _, copyWins := range []bool{true, false} {
		c, slow := runSlow(t, copyStep(), testSettings())
		winner, loser := slow, c.copyOf(slow)
		if copyWins {
			winner, loser = loser, winner
		}
		c.end(winner, oleanderline.EndDone)
		require.Empty(t, c.runsOf(slowTask), "the other run is stopped at once")
		c.reportAll()
		for range 20 {
			c.place()
		}
		require.Empty(t, c.runsOf(slowTask))
		require.Zero(t, c.planner.workers[loser].used.CPU, "its room is free")
		counts := c.planner.CopyCounts()
		require.Equal(t, copyWins, counts.Won == 1)
		require.Equal(t, 1, counts.Started)
		require.Equal(t, !copyWins, counts.Stopped == 1)
	}
}

// Guards against a task that is started a third time while its other run goes on, and against copies that use up the attempts of a task.
func TestRunThatFailsBesideAnother(t *testing.T) {
	for _, copyFails := range []bool{true, false} {
		c, slow := runSlow(t, copyStep(), testSettings())
		failing, other := slow, c.copyOf(slow)
		if copyFails {
			failing, other = other, failing
		}
		c.end(failing, oleanderline.EndFailed)
		for range 20 {
			c.place()
			c.report(failing)
		}
		require.Len(t, c.runsOf(slowTask), 1, "no copy of a task that has failed")
		require.Equal(t, other, c.workerOf(slowTask))
		require.Equal(t, 1, c.planner.task(slowTask).failures)
		c.end(other, oleanderline.EndFailed)
		require.Equal(t, oleanderline.JobFailed, c.planner.jobs["a"].state(), "each failed run counts once")
	}
}

// Guards against run numbers that are used twice: a worker refuses a number that is not higher than the last.
func TestRunNumbersOfCopies(t *testing.T) {
	c, slow := runSlow(t, copyStep(), testSettings())
	second := c.copyOf(slow)
	c.end(second, oleanderline.EndStopped)
	c.end(slow, oleanderline.EndStopped)
	c.place()
	require.Equal(t, 3, c.runsOf(slowTask)[0].Run)
}

// Guards against a new leader that stops one of two runs, that starts a third, or that does not stop the other once one is done.
func TestNewLeaderAdoptsBothRuns(t *testing.T) {
	for _, firstReport := range []bool{true, false} {
		c, slow := runSlow(t, copyStep(), testSettings())
		second := c.copyOf(slow)
		c.flush()
		c.newTerm(2)
		reporters := []oleanderline.WorkerID{slow, second}
		if !firstReport {
			reporters[0], reporters[1] = second, slow
		}
		for _, id := range reporters {
			c.report(id)
		}
		c.reportAll()
		c.flush()
		c.advance(time.Second)
		c.place()
		require.Len(t, c.runsOf(slowTask), 2)
		c.end(second, oleanderline.EndDone)
		require.Empty(t, c.runsOf(slowTask))
	}
}

// Guards against the stop of one run only when a job is cancelled.
func TestCancelStopsCopies(t *testing.T) {
	c, _ := runSlow(t, copyStep(), testSettings())
	c.planner.Cancel("a")
	c.deliver()
	require.Empty(t, c.runsOf(slowTask))
	c.reportAll()
	c.planner.Forget("a")
	require.Empty(t, c.planner.jobs, "nothing of the job is left")
}

// Guards against a task that waits for the lease of an unreachable worker although a second run is allowed, and against a record of that worker
// that does not name the task.
func TestCopyOfARunOnAnUnreachableWorker(t *testing.T) {
	c := newCell(t, copyWorkers)
	c.add("a", copyStep())
	c.place()
	slow := c.workerOf(slowTask)
	c.planner.CallFailed(slow, oleanderline.ErrUncertain)
	c.place()
	require.Len(t, c.runsOf(slowTask), 1, "a call that failed once")
	c.advance(silenceBeforeCopy)
	c.place()
	second := c.copyOf(slow)
	c.planner.CallFailed(second, oleanderline.ErrUncertain)
	for _, id := range []oleanderline.WorkerID{slow, second} {
		require.Contains(t, c.planner.workers[id].record().Tasks, slowTask)
	}
	c.planner.LeaseExpired(slow, Expiry{}, c.now)
	require.Equal(t, second, c.planner.task(slowTask).worker.entry.ID, "the copy is the only run")
	c.advance(speculateInterval)
	c.place()
	c.planner.LeaseExpired(second, Expiry{}, c.now)
	require.NotNil(t, c.planner.task(slowTask).worker, "a copy replaces the run on the second worker as well")
}

// Guards against a new leader that stops a run because another run of the task, of a higher number, has ended.
func TestNewLeaderAdoptsTheRunThatIsLeft(t *testing.T) {
	c, slow := runSlow(t, copyStep(), testSettings())
	second := c.copyOf(slow)
	c.flush()
	for key := range c.workers[second].running {
		if key.Task == slowTask {
			c.workers[second].end(key, oleanderline.EndFailed)
		}
	}
	c.newTerm(2)
	c.report(second)
	c.report(slow)
	c.reportAll()
	c.flush()
	c.advance(time.Second)
	c.place()
	require.Equal(t, slow, c.workerOf(slowTask))
	require.Len(t, c.runsOf(slowTask), 1)
	require.Equal(t, 1, c.planner.task(slowTask).failures)
}
