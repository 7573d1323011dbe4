package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// gauges lets every lasting task on a worker report a tail in milliseconds, and every other one its processor time.
func (c *cell) gauges(id oleanderline.WorkerID, tail int) {
	for key, status := range c.workers[id].running {
		step := c.planner.task(key.Task).group.step
		status.Gauge = int(step.Size.CPU)
		if step.Lasting {
			status.Percent, status.Gauge = atWork, tail
		}
		c.workers[id].running[key] = status
	}
}

// Guards against harm that is learned only once targets are missed, and against fillers that are blamed for a load which all
// replicas carry: the tails of two replicas on two workers are compared, of which one runs beside a filler.
func TestReplicasTellHarmFromLoad(t *testing.T) {
	type scenario struct {
		name           string
		beside, afield int // tails in milliseconds
		harmful        bool
	}
	for _, s := range []scenario{
		{"slower beside the filler, below the target", 60, 30, true},
		{"both at high load", 95, 90, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.add("serve", oleanderline.Step{
				Count: 2, Spread: 1, Size: testSizes, Lasting: true, Image: "s", TailTarget: 100 * time.Millisecond,
			})
			c.place()
			c.add("fill", oleanderline.Step{Count: 1, Size: testSizes, Filler: true, Image: "f"})
			c.place()
			beside := c.planner.task(taskOf("fill", 0, 0)).worker.entry.ID
			for range 8 {
				c.pass(replicaAge / 2)
				for id := range c.workers {
					tail := s.afield
					if id == beside {
						tail = s.beside
					}
					c.gauges(id, tail)
					c.report(id)
				}
			}
			require.Equal(t, s.harmful, c.planner.pairs.Harmful("s", "f"))
		})
	}
}

// Guards against a filler that is cleared, or one that is convicted, by a report that still covers one that has just left.
func TestFillerThatHasLeftIsStillASuspect(t *testing.T) {
	c := newCell(t, 2)
	c.add("serve", oleanderline.Step{
		Count: 2, Spread: 1, Size: testSizes, Lasting: true, Image: "s", TailTarget: 100 * time.Millisecond,
	})
	c.place()
	c.add("fill", oleanderline.Step{Count: 1, Size: testSizes, Filler: true, Image: "f"})
	c.place()
	worker := c.planner.task(taskOf("fill", 0, 0)).worker
	c.pass(2 * paceLag)
	c.endTask(taskOf("fill", 0, 0), oleanderline.EndDone)
	c.report(worker.entry.ID)
	_, recent := worker.working(nil, c.now)
	require.Len(t, recent, 1)
	c.pass(2 * paceLag)
	_, recent = worker.working(nil, c.now)
	require.Empty(t, recent)
}
