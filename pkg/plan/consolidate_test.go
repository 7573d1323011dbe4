package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// newScattered returns a cell with one lasting task of a job on each of four workers, beside which a waiting filler would do
// harm.
func newScattered(t *testing.T, size oleanderline.Size, mayMiss *int) *cell {
	t.Helper()
	c := newCell(t, 4)
	c.planner.Pairs().Restore([]pairs.Evidence{{Serving: "s", Filler: "f", Harm: 0.99}})
	c.add("l", oleanderline.Step{
		Count: 4, Size: size, Lasting: true, Image: "s", TailTarget: 100 * time.Millisecond, Spread: 1, MayMiss: mayMiss,
	})
	c.place()
	c.planner.jobs["l"].spec.Steps[0].Spread = 0
	c.add("f", oleanderline.Step{Count: 4, Size: testSizes, Filler: true, Image: "f", Checkpoint: true})
	return c
}

// play lets time pass, and returns how many lasting tasks were away at most, and how many fillers run in the end.
func (c *cell) playScattered(lasts time.Duration) (away, fillers int) {
	for end := c.now.Add(lasts); c.now.Before(end); {
		for id := range c.workers {
			c.gauges(id, 10)
		}
		c.reportAll()
		c.place()
		c.pass(checkInterval)
		gone := 4
		for i := range 4 {
			gone -= len(c.where(taskOf("l", 0, i)))
		}
		away = max(away, gone)
	}
	for i := range 4 {
		fillers += len(c.where(taskOf("f", 0, i)))
	}
	return away, fillers
}

// Guards against batch tasks that wait while most of the room is free, because a few lasting tasks are left on every worker;
// against lasting tasks that are moved where nothing is gained or no room is left; and against more of them away than may be.
func TestStarvedFillersGetAWorker(t *testing.T) {
	none, one := 0, 1
	type scenario struct {
		name    string
		size    oleanderline.Size
		mayMiss *int
		starts  bool
	}
	for _, s := range []scenario{
		{"may move one by one", testSizes, &one, true},
		{"may move", testSizes, nil, true},
		{"may not move", testSizes, &none, false},
		{"no room elsewhere", oleanderline.Size{CPU: 3000, Memory: 1000}, nil, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newScattered(t, s.size, s.mayMiss)
			away, fillers := c.playScattered(8 * time.Second)
			require.Equal(t, s.starts, fillers > 0)
			require.LessOrEqual(t, away, 1)
			if !s.starts {
				require.Zero(t, away)
			}
		})
	}
}
