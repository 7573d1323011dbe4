package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

const testAttempts = 3

// newProbeCell returns a cell with room for 16 tasks whose queue allows testAttempts runs of each task.
func newProbeCell(t *testing.T) *testCell {
	c := newCell(t, 4)
	queue := testQueue
	queue.MaxAttempts = testAttempts
	c.planner.SetConfig(&oleanderline.CellConfig{Version: 2, Queues: []oleanderline.Queue{queue}, Pools: testConfig.Pools})
	return c
}

// endAll ends the runs of a job in progress, at most limit of them, and returns how many it has ended.
func (c *testCell) endAll(job oleanderline.JobID, limit int, how oleanderline.EndKind) int {
	ended := 0
	for _, w := range c.workers {
		for key := range w.running {
			if key.Task.Job == job && ended < limit {
				w.end(key, how)
				ended++
			}
		}
	}
	return ended
}

// runningOf returns the number of runs of a job in progress.
func (c *testCell) runningOf(job oleanderline.JobID) int {
	count := 0
	for _, w := range c.workers {
		for key := range w.running {
			if key.Task.Job == job {
				count++
			}
		}
	}
	return count
}

// failRounds lets all runs of a job fail together until the job has ended, and returns the number of its runs. closeBreaker switches the
// breaker of its step off.
func (c *testCell) failRounds(job oleanderline.JobID, closeBreaker bool) int {
	runs := 0
	for range testAttempts {
		if closeBreaker {
			c.planner.task(taskOf(job, 0, 0)).group.breaker.Succeeded()
		}
		c.place()
		runs += c.runningOf(job)
		c.endAll(job, c.runningOf(job), oleanderline.EndFailed)
		c.reportAll()
		c.advance(quarantineTime)
	}
	require.Equal(c.t, oleanderline.JobFailed, c.planner.jobs[job].state())
	return runs
}

// Guards against a job that can never be done and takes the room of other jobs until each of its tasks has failed for the last time.
func TestFailingStepRunsFewTasksAtATime(t *testing.T) {
	const count = 12
	for _, s := range []struct {
		name         string
		closeBreaker bool
		runs         int
	}{
		{"with the breaker", false, count + 2 + 2},
		{"without it", true, count * testAttempts},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newProbeCell(t)
			c.add("bad", oleanderline.Step{Count: count, Size: testSize})
			require.Equal(t, s.runs, c.failRounds("bad", s.closeBreaker))
		})
	}
}

// Guards against other jobs that wait behind the retries of a job that can never be done.
func TestFailingStepLeavesRoom(t *testing.T) {
	c := newProbeCell(t)
	c.add("bad", oleanderline.Step{Count: 16, Size: testSize})
	c.place()
	require.Equal(t, 16, c.runningOf("bad"))
	c.endAll("bad", 16, oleanderline.EndFailed)
	c.reportAll()
	c.advance(quarantineTime)
	c.add("good", oleanderline.Step{Count: 14, Size: testSize})
	c.place()
	require.Equal(t, 2, c.runningOf("bad"))
	require.Equal(t, 14, c.runningOf("good"))
}

// Guards against a sound job that runs a few tasks at a time for longer than until its first task is done.
func TestSuccessEndsTheProbes(t *testing.T) {
	c := newProbeCell(t)
	c.add("a", oleanderline.Step{Count: 12, Size: testSize})
	c.place()
	for _, w := range c.workers {
		for key := range w.running {
			w.end(key, oleanderline.EndFailed)
			break
		}
	}
	c.reportAll()
	c.place()
	require.Equal(t, 8+2, c.runningOf("a"))
	c.endAll("a", 1, oleanderline.EndDone)
	c.reportAll()
	c.place()
	require.Equal(t, 11, c.runningOf("a"))
	kinds := map[NoteKind]int{}
	for _, note := range c.planner.Notes() {
		kinds[note.Kind]++
	}
	require.Equal(t, []int{1, 1}, []int{kinds[NoteBreakerOpen], kinds[NoteBreakerShut]})
}

// Guards against workers that go into quarantine because jobs that can never be done have failed on them.
func TestFailingStepDoesNotQuarantineWorkers(t *testing.T) {
	for _, s := range []struct {
		name         string
		closeBreaker bool
	}{{"with the breaker", false}, {"without it", true}} {
		t.Run(s.name, func(t *testing.T) {
			c := newProbeCell(t)
			for _, job := range []oleanderline.JobID{"b1", "b2", "b3", "b4"} {
				c.add(job, oleanderline.Step{Count: len(c.workers), Size: testSize, MaxPerWorker: 1})
				if s.closeBreaker {
					c.planner.task(taskOf(job, 0, 0)).group.breaker.Succeeded()
				}
				c.place()
				require.Equal(t, len(c.workers), c.endAll(job, len(c.workers), oleanderline.EndFailed))
				for i := range len(c.workers) {
					c.report(c.entries[i].ID)
				}
				c.planner.Cancel(job)
			}
			last := c.planner.workers[c.entries[len(c.entries)-1].ID]
			require.Equal(t, !s.closeBreaker, last.health.admits(c.now))
		})
	}
}

// Guards against long-running tasks that are moved for tasks that would not start in the room that is made.
func TestHeldTasksAreNotStarved(t *testing.T) {
	c := newProbeCell(t)
	c.add("bad", oleanderline.Step{Count: 12, Size: testSize, BestEffort: true, Image: "x"})
	c.place()
	c.endAll("bad", 12, oleanderline.EndFailed)
	c.reportAll()
	c.place()
	c.advance(2 * starvedAfter)
	require.Empty(t, c.planner.starvedPools(c.now))
	c.planner.task(taskOf("bad", 0, 0)).group.breaker.Succeeded()
	require.NotEmpty(t, c.planner.starvedPools(c.now))
}

// Guards against gangs and long-running tasks that wait for a probe: a gang runs only as a whole, and a long-running task is started again
// however often it fails.
func TestGangsAndLongRunningTasksHaveNoProbes(t *testing.T) {
	for _, s := range []struct {
		name string
		step oleanderline.Step
	}{
		{"gang", oleanderline.Step{Count: 4, Size: testSize, MaxPerWorker: 1, Gang: true}},
		{"long-running", oleanderline.Step{Count: 4, Size: testSize, MaxPerWorker: 1, LongRunning: true}},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newProbeCell(t)
			c.add("a", s.step)
			c.place()
			require.Equal(t, s.step.Count, c.endAll("a", s.step.Count, oleanderline.EndFailed))
			c.reportAll()
			c.advance(quarantineTime)
			c.place()
			require.False(t, c.planner.task(taskOf("a", 0, 0)).group.breaker.Open())
		})
	}
}
