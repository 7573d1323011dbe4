package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against short jobs that wait for good because lasting tasks have taken all room: a load of both at the same time,
// on a cell with room for 40 tasks.
func TestLastingTasksLeaveRoomForShortJobs(t *testing.T) {
	c := newCell(t, 10)
	c.add("short", oleanderline.Step{Count: 4, Size: testSizes, Estimate: time.Second})
	c.pass(checkInterval)
	c.place()
	c.add("serve", oleanderline.Step{Count: 40, Size: testSizes, Lasting: true})
	c.place()
	for i := range 4 {
		c.endTask(taskOf("short", 0, i), oleanderline.EndDone)
	}
	c.reportAll()
	c.place()
	c.add("next", oleanderline.Step{Count: 4, Size: testSizes, Estimate: time.Second})
	c.place()
	for i := range 4 {
		require.Len(t, c.where(taskOf("next", 0, i)), 1)
	}
}

// Guards against a lasting task that was at work and is held back in favour of short jobs after its run has ended, also by a
// new leader.
func TestLastingTaskThatHasRunIsNotHeldBack(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		c := newCell(t, 10)
		c.add("serve", oleanderline.Step{Count: 38, Size: testSizes, Lasting: true})
		c.place()
		c.reportAll()
		c.flush()
		c.endTask(taskOf("serve", 0, 30), oleanderline.EndFailed)
		if newLeader {
			c.reportAll()
			c.flush()
			for _, a := range c.workers {
				a.ended = nil // acknowledged, so that the new leader does not see that the task has run
			}
			c.successor(2)
		}
		c.reportAll()
		c.flush()
		c.add("short", oleanderline.Step{Count: 20, Size: oleanderline.Size{CPU: 4000}, Estimate: time.Second})
		c.add("another", oleanderline.Step{Count: 2, Size: oleanderline.Size{CPU: 1}, Lasting: true})
		c.pass(checkInterval)
		c.place()
		require.Len(t, c.where(taskOf("serve", 0, 30)), 1)
		require.Len(t, c.where(taskOf("another", 0, 0)), 1, "the first half of a job's tasks is not held back")
		require.Empty(t, c.where(taskOf("another", 0, 1)))
	}
}
