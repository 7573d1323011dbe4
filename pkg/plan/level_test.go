package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against service levels that count late jobs as in time, or count time as served in which long-running tasks wait or
// miss their tail latency target.
func TestServiceLevelsCountOnlyTargetsMet(t *testing.T) {
	c := newCell(t, 2)
	step := oleanderline.Step{Count: 1, Size: testSize, Estimate: time.Second}
	c.add("quick", step)
	c.add("slow", step)
	c.add("serve", oleanderline.Step{Count: 2, MaxPerWorker: 1, Size: testSize, LongRunning: true, TailTarget: 100 * time.Millisecond})
	c.add("wait", oleanderline.Step{Count: 1, Size: oleanderline.Size{CPU: 9000}, LongRunning: true})
	c.place()
	c.endTask(taskOf("quick", 0, 0), oleanderline.EndDone)
	c.setGauges("w0", 50)
	c.setGauges("w1", 150)
	c.reportAll()
	c.planner.ServiceLevels()
	for range 12 {
		c.advance(checkInterval)
		c.place()
	}
	level := c.planner.ServiceLevels()["q"]
	require.Equal(t, 3*level.Served, level.Asked)
	c.advance(time.Second)
	c.endTask(taskOf("slow", 0, 0), oleanderline.EndDone)
	c.reportAll()
	level = c.planner.ServiceLevels()["q"]
	require.Equal(t, ServiceLevel{Late: 1}, ServiceLevel{InTime: level.InTime, Late: level.Late, Missed: level.Missed})
}
