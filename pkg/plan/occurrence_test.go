package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// minutely returns a job of one task that is due each minute, for the first time after first.
func minutely(c *testCell, id oleanderline.JobID, count int, first time.Duration) oleanderline.Job {
	return oleanderline.Job{
		ID: id, Queue: "q", Steps: []oleanderline.Step{{Count: 1, Size: testSize, Estimate: time.Second}},
		Repeat: oleanderline.Repeat{Count: count, First: c.now.Add(first), Every: time.Minute},
	}
}

func (c *testCell) heldOccurrences() int {
	held := 0
	for _, j := range c.planner.jobs {
		held += len(j.occurrences)
	}
	return held
}

func occurrenceOf(job oleanderline.JobID, number int) oleanderline.TaskKey {
	return oleanderline.TaskKey{Job: job, Occurrence: number}
}

// Guards against a leader that holds every occurrence of scheduled jobs at once: 60 jobs that run once a minute for a week took more
// memory than a process may use, so that each leader in turn was killed.
func TestOccurrencesAreHeldWhileDue(t *testing.T) {
	c := newCell(t, 20)
	const jobs, week = 60, 7 * 24 * 60
	for i := range jobs {
		c.planner.AddJob(minutely(c, oleanderline.JobID(fmt.Sprintf("j%d", i)), week, time.Hour), record.Progress{}, c.now, 0)
	}
	c.place()
	require.Zero(t, c.heldOccurrences())
	require.Empty(t, c.planner.ready)
	c.advance(time.Hour)
	for minute := range 3 {
		c.reportAll()
		c.place()
		c.place() // a pass places the tasks of at most maxRankedPerPass groups
		require.Equal(t, jobs, c.heldOccurrences())
		for i := range jobs {
			task := occurrenceOf(oleanderline.JobID(fmt.Sprintf("j%d", i)), minute)
			require.Len(t, c.runsOf(task), 1)
			c.endTask(task, oleanderline.EndDone)
		}
		c.reportAll()
		c.place()
		require.Zero(t, c.heldOccurrences())
		c.advance(time.Minute)
	}
}

// Guards against occurrences that are skipped, run before their time or run again when they become due while others run, and against
// a job that completes too early or never.
func TestOccurrencesOfAScheduledJob(t *testing.T) {
	c := newCell(t, 4)
	job := minutely(c, "a", 4, time.Minute)
	c.planner.AddJob(job, record.Progress{}, c.now, 0)
	c.place()
	require.Empty(t, c.runsOf(occurrenceOf("a", 0)))
	c.advance(3 * time.Minute) // three are due at once
	c.reportAll()
	c.place()
	for number := range 3 {
		require.Len(t, c.runsOf(occurrenceOf("a", number)), 1)
	}
	require.Empty(t, c.runsOf(occurrenceOf("a", 3)))
	c.endTask(occurrenceOf("a", 1), oleanderline.EndDone)
	c.endTask(occurrenceOf("a", 2), oleanderline.EndFailed)
	c.reportAll()
	c.flush()

	c.newTerm(2) // the next leader reads that one is done, and two runs are reported or start again
	c.advance(time.Minute)
	c.reportAll()
	c.place()
	require.Empty(t, c.runsOf(occurrenceOf("a", 1)))
	for _, number := range []int{0, 2, 3} {
		require.Len(t, c.runsOf(occurrenceOf("a", number)), 1, "occurrence %d", number)
		c.endTask(occurrenceOf("a", number), oleanderline.EndDone)
	}
	c.reportAll()
	require.Equal(t, oleanderline.JobCompleted, c.planner.jobs["a"].state())
	c.place()
	require.Empty(t, c.planner.scheduled)
}

// Guards against a cancelled job that becomes due later, and against a leader that keeps it in memory until then.
func TestCancelledJobIsNotScheduled(t *testing.T) {
	c := newCell(t, 1)
	for _, id := range []oleanderline.JobID{"a", "b", "c"} {
		c.planner.AddJob(minutely(c, id, 5, time.Hour), record.Progress{}, c.now, 0)
	}
	c.planner.Cancel("b")
	c.planner.Forget("b")
	require.Len(t, c.planner.scheduled, 2)
	c.advance(time.Hour)
	c.reportAll()
	c.place()
	require.Empty(t, c.runsOf(occurrenceOf("b", 0)))
	require.Len(t, c.runsOf(occurrenceOf("a", 0)), 1)
	require.Len(t, c.runsOf(occurrenceOf("c", 0)), 1)
}

// Guards against ended jobs that take up memory until their retention is over, and against a count of held tasks, by which new jobs are
// refused, that does not return to zero.
func TestEndedJobsHoldNoTasks(t *testing.T) {
	c := newCell(t, 2)
	step := oleanderline.Step{Count: 4, Size: testSize}
	c.add("a", step, oleanderline.Step{Count: 100, Size: testSize, After: []int{0}})
	c.add("b", step)
	c.planner.AddJob(minutely(c, "c", 5, time.Hour), record.Progress{}, c.now, 0)
	require.Equal(t, 108, c.planner.HeldTasks())
	c.place()
	c.planner.Cancel("a") // its tasks are held until their runs have ended
	c.deliver()
	for i := range step.Count {
		c.endTask(taskOf("b", 0, i), oleanderline.EndDone)
	}
	c.reportAll()
	require.Equal(t, oleanderline.JobCompleted, c.planner.jobs["b"].state())
	c.place()
	require.Zero(t, c.planner.HeldTasks())
	require.Zero(t, c.heldOccurrences())
}
