package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// setGauges sets the reported gauges of all runs on a worker: the given tail latency for long-running tasks, the declared CPU
// for the others.
func (c *testCell) setGauges(id oleanderline.WorkerID, tailMs int) {
	for key, status := range c.workers[id].running {
		step := c.planner.task(key.Task).group.step
		status.Gauge = int(step.Size.CPU)
		if step.LongRunning {
			status.Percent, status.Gauge = percentComplete, tailMs
		}
		c.workers[id].running[key] = status
	}
}

// Guards against harm that is detected only once targets are missed, and against best-effort tasks that count as harmful under
// a load that all replicas serve. The test compares the tail latencies of two replicas on two workers, one of them beside a
// best-effort task.
func TestReplicasDistinguishHarmFromLoad(t *testing.T) {
	type scenario struct {
		name              string
		beside, elsewhere int // tail latencies in milliseconds, beside the best-effort task and on the other worker
		harmful           bool
	}
	for _, s := range []scenario{
		{"slower beside the best-effort task, below the target", 60, 30, true},
		{"both at high load", 95, 90, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.add("serve", oleanderline.Step{
				Count: 2, MaxPerWorker: 1, Size: testSize, LongRunning: true, Image: "s", TailTarget: 100 * time.Millisecond,
			})
			c.place()
			c.add("fill", oleanderline.Step{Count: 1, Size: testSize, BestEffort: true, Image: "f"})
			c.place()
			beside := c.planner.task(taskOf("fill", 0, 0)).worker.entry.ID
			for range 8 {
				c.advance(maxReplicaAge / 2)
				for id := range c.workers {
					tail := s.elsewhere
					if id == beside {
						tail = s.beside
					}
					c.setGauges(id, tail)
					c.report(id)
				}
			}
			require.Equal(t, s.harmful, c.planner.pairs.Harmful("s", "f"))
		})
	}
}

// Guards against best-effort tasks that count as harmless or harmful by a report that still covers a best-effort task that has
// just ended.
func TestEndedBestEffortTaskIsStillSampled(t *testing.T) {
	c := newCell(t, 2)
	c.add("serve", oleanderline.Step{
		Count: 2, MaxPerWorker: 1, Size: testSize, LongRunning: true, Image: "s", TailTarget: 100 * time.Millisecond,
	})
	c.place()
	c.add("fill", oleanderline.Step{Count: 1, Size: testSize, BestEffort: true, Image: "f"})
	c.place()
	worker := c.planner.task(taskOf("fill", 0, 0)).worker
	c.advance(2 * reportLag)
	c.endTask(taskOf("fill", 0, 0), oleanderline.EndDone)
	c.report(worker.entry.ID)
	_, recent := worker.sampledImages(nil, c.now)
	require.Len(t, recent, 1)
	c.advance(2 * reportLag)
	_, recent = worker.sampledImages(nil, c.now)
	require.Empty(t, recent)
}
