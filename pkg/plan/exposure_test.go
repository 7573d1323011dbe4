package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// Guards against a job of unknown best-effort tasks that is packed beside long-running tasks before it is known whether it
// interferes, and overloads them for seconds, and against a limit that keeps known harmless tasks waiting.
func TestUnknownTasksArePlacedOneAWorker(t *testing.T) {
	small := oleanderline.Size{CPU: 100, Memory: 100}
	for _, s := range []struct {
		name      string
		evidence  []pairs.Evidence
		size      oleanderline.Size
		serving   bool // long-running tasks run on the workers
		perWorker int
	}{
		{"unknown", nil, testSize, true, 1},
		{"unknown and small", nil, small, true, 3},
		{"known as harmless", []pairs.Evidence{{Serving: "s", BestEffort: "f", Harm: 0.01}}, testSize, true, 3},
		{"unknown without long-running tasks", nil, testSize, false, 3},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.planner.Pairs().Restore(s.evidence)
			if s.serving {
				c.add("serve", oleanderline.Step{
					Count: 2, MaxPerWorker: 1, Size: testSize, LongRunning: true, Image: "s", TailTarget: 100 * time.Millisecond,
				})
				c.place()
			}
			c.add("fill", oleanderline.Step{Count: 6, Size: s.size, BestEffort: true, Image: "f"})
			c.place()
			for id, w := range c.workers {
				count := 0
				for key := range w.running {
					if key.Task.Job == "fill" {
						count++
					}
				}
				require.Equal(t, s.perWorker, count, "best-effort tasks on %s", id)
			}
		})
	}
}

// Guards against best-effort tasks that wait for good because a worker has no known harmless ones: the limit ends with what is
// learned.
func TestExposureEndsOnceThePairIsLearned(t *testing.T) {
	c := newCell(t, 2)
	c.add("serve", oleanderline.Step{
		Count: 2, MaxPerWorker: 1, Size: testSize, LongRunning: true, Image: "s", TailTarget: 100 * time.Millisecond,
	})
	c.place()
	c.add("fill", oleanderline.Step{Count: 4, Size: testSize, BestEffort: true, Image: "f"})
	running := func() (count int) {
		for i := range 4 {
			count += len(c.runsOf(taskOf("fill", 0, i)))
		}
		return count
	}
	c.place()
	require.Equal(t, 2, running())
	for range 8 {
		c.advance(sampleInterval)
		for id := range c.workers {
			c.setGauges(id, 30)
		}
		c.reportAll()
		c.place()
	}
	require.Equal(t, 4, running())
}
