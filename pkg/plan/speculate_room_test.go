package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against more tasks of a step on a worker than allowed.
func TestCopiesCountAgainstMaxPerWorker(t *testing.T) {
	step := copyStep()
	step.Count, step.MaxPerWorker = copyWorkers, 1
	c, _ := runSlow(t, step, testSettings())
	require.Len(t, c.runsOf(slowTask), 1, "every other worker has a task of the step")
	step.Count--
	c, slow := runSlow(t, step, testSettings())
	second := c.copyOf(slow)
	require.Equal(t, 1, c.planner.task(slowTask).group.onWorker(c.planner.workers[second]))
}

// Guards against copies that take the room for which a task without a run waits.
func TestNoCopyWhileATaskWaitsForRoom(t *testing.T) {
	c := newCell(t, copyWorkers)
	c.add("a", copyStep())
	c.place()
	slow := c.workerOf(slowTask)
	c.add("large", oleanderline.Step{Count: 1, Size: oleanderline.Size{CPU: 5000, Memory: 100}, Estimate: time.Second})
	c.place()
	c.planner.CallFailed(slow, oleanderline.ErrUncertain)
	c.advance(silenceBeforeCopy)
	c.place()
	require.Zero(t, c.planner.CopyCounts().Started)
	c.planner.Cancel("large")
	c.advance(speculateInterval)
	c.place()
	require.Equal(t, 1, c.planner.CopyCounts().Started)
}

// Guards against two runs of a task on one worker, where the leader could not tell them apart.
func TestNoCopyOnTheSameWorker(t *testing.T) {
	c := newCell(t, 1)
	c.add("a", copyStep())
	c.place()
	require.Nil(t, c.planner.workerForCopy(c.planner.task(slowTask), c.now))
}

// Guards against a leader that fails because a gang has needed more starts than the pass had left, and against copies beyond that bound.
func TestNoCopyBeyondTheStartsOfAPass(t *testing.T) {
	for _, gang := range []int{1, 3} {
		c := newCell(t, copyWorkers)
		c.add("a", copyStep())
		c.place()
		c.planner.CallFailed(c.workerOf(slowTask), oleanderline.ErrUncertain)
		c.add("gang", oleanderline.Step{Count: gang, Size: testSize, Gang: true})
		c.advance(silenceBeforeCopy)
		c.planner.Place(c.now, c.now, 1)
		c.deliver()
		require.Zero(t, c.planner.CopyCounts().Started)
		c.place()
		require.Equal(t, 1, c.planner.CopyCounts().Started)
	}
}

// Guards against more copies than their share of the room, also if workers of earlier copies cannot be reached.
func TestCopiesStayWithinTheirShareOfTheRoom(t *testing.T) {
	step := copyStep()
	step.Count, step.Size.CPU = 8, 400 // 2% of the capacity of the 12 other workers is room for two
	c := newCell(t, copyWorkers)
	c.add("a", step)
	c.place()
	for id, w := range c.workers {
		if len(w.running) > 0 {
			c.planner.CallFailed(id, oleanderline.ErrUncertain)
		}
	}
	c.advance(silenceBeforeCopy)
	c.place()
	require.Equal(t, 2, c.planner.CopyCounts().Started)
	for id, w := range c.workers {
		if len(w.running) > 0 {
			c.planner.CallFailed(id, oleanderline.ErrUncertain)
		}
	}
	c.advance(silenceBeforeCopy)
	c.place()
	require.Zero(t, c.planner.CopyCounts().Started)
}
