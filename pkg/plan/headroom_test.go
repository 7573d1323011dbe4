package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against short jobs that wait forever because long-running tasks have taken the whole capacity. Jobs of both kinds
// compete for a cell with room for 40 tasks.
func TestLongRunningTasksLeaveRoomForShortJobs(t *testing.T) {
	c := newCell(t, 10)
	c.add("short", oleanderline.Step{Count: 4, Size: testSize, Estimate: time.Second})
	c.advance(checkInterval)
	c.place()
	c.add("serve", oleanderline.Step{Count: 40, Size: testSize, LongRunning: true})
	c.place()
	for i := range 4 {
		c.endTask(taskOf("short", 0, i), oleanderline.EndDone)
	}
	c.reportAll()
	c.place()
	c.add("next", oleanderline.Step{Count: 4, Size: testSize, Estimate: time.Second})
	c.place()
	for i := range 4 {
		require.Len(t, c.runsOf(taskOf("next", 0, i)), 1)
	}
}

// Guards against a long-running task that has run before and is held back to keep headroom for short jobs after its run has
// ended, by the same leader or a new one.
func TestLongRunningTaskThatHasRunIsNotHeldBack(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		c := newCell(t, 10)
		c.add("serve", oleanderline.Step{Count: 38, Size: testSize, LongRunning: true})
		c.place()
		c.reportAll()
		c.flush()
		c.endTask(taskOf("serve", 0, 30), oleanderline.EndFailed)
		if newLeader {
			c.reportAll()
			c.flush()
			for _, w := range c.workers {
				w.ended = nil // acknowledged, so that no report tells the new leader that the task has run
			}
			c.newTerm(2)
		}
		c.reportAll()
		c.flush()
		c.add("short", oleanderline.Step{Count: 20, Size: oleanderline.Size{CPU: 4000}, Estimate: time.Second})
		c.add("another", oleanderline.Step{Count: 2, Size: oleanderline.Size{CPU: 1}, LongRunning: true})
		c.advance(checkInterval)
		c.place()
		require.Len(t, c.runsOf(taskOf("serve", 0, 30)), 1)
		require.Len(t, c.runsOf(taskOf("another", 0, 0)), 1, "the first half of a job's tasks is not held back")
		require.Empty(t, c.runsOf(taskOf("another", 0, 1)))
	}
}
