package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// newScatteredCell returns a cell of four workers with one long-running task of a job on each, and a job of best-effort tasks that would
// interfere with these tasks.
func newScatteredCell(t *testing.T, size oleanderline.Size, maxUnavailable *int) *testCell {
	t.Helper()
	c := newCell(t, 4)
	c.planner.Pairs().Restore([]pairs.Evidence{{Serving: "s", BestEffort: "f", Harm: 0.99}})
	c.add("l", oleanderline.Step{
		Count: 4, Size: size, LongRunning: true, Image: "s", TailTarget: 100 * time.Millisecond, MaxPerWorker: 1, MaxUnavailable: maxUnavailable,
	})
	c.place()
	c.planner.jobs["l"].spec.Steps[0].MaxPerWorker = 0
	c.add("f", oleanderline.Step{Count: 4, Size: testSize, BestEffort: true, Image: "f", Checkpoint: true})
	return c
}

// simulate runs the cell for a time. It returns the highest number of long-running tasks that were not running at once, and
// the number of best-effort tasks that run in the end.
func (c *testCell) simulate(duration time.Duration) (maxUnavailable, bestEffort int) {
	for end := c.now.Add(duration); c.now.Before(end); {
		for id := range c.workers {
			c.setGauges(id, 10)
		}
		c.reportAll()
		c.place()
		c.advance(checkInterval)
		unavailable := 4
		for i := range 4 {
			unavailable -= len(c.runsOf(taskOf("l", 0, i)))
		}
		maxUnavailable = max(maxUnavailable, unavailable)
	}
	for i := range 4 {
		bestEffort += len(c.runsOf(taskOf("f", 0, i)))
	}
	return maxUnavailable, bestEffort
}

// Guards against best-effort tasks that wait while most of the capacity is free because a few long-running tasks are left on every
// worker, against long-running tasks that are moved without a gain or although the other workers have no room for them, and
// against more of them unavailable at once than MaxUnavailable allows.
func TestStarvedBestEffortTasksGetAWorker(t *testing.T) {
	zero, one := 0, 1
	type scenario struct {
		name           string
		size           oleanderline.Size
		maxUnavailable *int
		starts         bool
	}
	for _, s := range []scenario{
		{"may move one at a time", testSize, &one, true},
		{"may move", testSize, nil, true},
		{"may not move", testSize, &zero, false},
		{"no room elsewhere", oleanderline.Size{CPU: 3000, Memory: 1000}, nil, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newScatteredCell(t, s.size, s.maxUnavailable)
			maxUnavailable, bestEffort := c.simulate(8 * time.Second)
			require.Equal(t, s.starts, bestEffort > 0)
			require.LessOrEqual(t, maxUnavailable, 1)
			if !s.starts {
				require.Zero(t, maxUnavailable)
			}
		})
	}
}

// Guards against best-effort tasks that wait because each worker serves two images and each of them excludes other best-effort
// tasks. There is no room to clear a worker, but enough to separate the images.
func TestImagesAreSeparatedForStarvedTasks(t *testing.T) {
	c := newCell(t, 4)
	c.planner.Pairs().Restore([]pairs.Evidence{
		{Serving: "a", BestEffort: "fa", Harm: 0.99},
		{Serving: "a", BestEffort: "fb", Harm: 0.01},
		{Serving: "b", BestEffort: "fb", Harm: 0.99},
		{Serving: "b", BestEffort: "fa", Harm: 0.01},
	})
	one := 1
	for image, cores := range map[string]oleanderline.Millicores{"a": 2000, "b": 1000} {
		c.add(oleanderline.JobID(image), oleanderline.Step{
			Count: 4, Size: oleanderline.Size{CPU: cores, Memory: 1000}, LongRunning: true, Image: image, TailTarget: 100 * time.Millisecond, MaxPerWorker: 1, MaxUnavailable: &one,
		})
		c.place()
	}
	for _, image := range []string{"a", "b"} {
		c.planner.jobs[oleanderline.JobID(image)].spec.Steps[0].MaxPerWorker = 0
	}
	for _, image := range []string{"fa", "fb"} {
		c.add(oleanderline.JobID(image), oleanderline.Step{Count: 2, Size: testSize, BestEffort: true, Image: image})
	}
	c.simulate(5 * time.Second)
	for _, image := range []string{"fa", "fb"} {
		for i := range 2 {
			require.Len(t, c.runsOf(taskOf(oleanderline.JobID(image), 0, i)), 1, "task %d of %s runs", i, image)
		}
	}
	for _, w := range c.planner.workers {
		for serving := range w.servingImages {
			for bestEffort := range w.bestEffortImages {
				require.False(t, c.planner.pairs.Harmful(serving, bestEffort), "%s beside %s", bestEffort, serving)
			}
		}
	}
}

// Guards against an exchange of images between workers of different pools, whose tasks then have no place to go to.
func TestImagesAreNotExchangedBetweenPools(t *testing.T) {
	c := newCell(t, 12)
	c.entries[11].Pool = "other"
	c.planner.SetWorkers(c.entries, c.now)
	other := testQueue
	other.ID, other.Pool = "o", "other"
	c.planner.SetConfig(&oleanderline.CellConfig{
		Version: 2, Queues: []oleanderline.Queue{testQueue, other}, Pools: []oleanderline.Pool{{ID: "pool"}, {ID: "other"}},
	})
	c.planner.Pairs().Restore([]pairs.Evidence{{Serving: "b", BestEffort: "f", Harm: 0.99}, {Serving: "a", BestEffort: "f", Harm: 0.01}})
	add := func(id oleanderline.JobID, queue oleanderline.QueueID, step oleanderline.Step) {
		step.LongRunning, step.TailTarget = true, 100*time.Millisecond
		c.planner.AddJob(oleanderline.Job{ID: id, Queue: queue, Steps: []oleanderline.Step{step}}, record.Progress{}, c.now, 0)
		c.place()
	}
	size := func(cpu oleanderline.Millicores) oleanderline.Size { return oleanderline.Size{CPU: cpu, Memory: 1000} }
	none := 0
	add("full", "q", oleanderline.Step{Count: 10, Size: size(4000), Image: "b", MaxUnavailable: &none})
	add("qa", "q", oleanderline.Step{Count: 2, Size: size(1000), Image: "a"})
	add("qb", "q", oleanderline.Step{Count: 1, Size: size(2000), Image: "b"})
	add("oa", "o", oleanderline.Step{Count: 1, Size: size(2000), Image: "a"})
	add("ob", "o", oleanderline.Step{Count: 2, Size: size(1000), Image: "b"})
	c.add("f", oleanderline.Step{Count: 4, Size: testSize, BestEffort: true, Image: "f"})
	c.simulate(4 * time.Second)
	for _, job := range []oleanderline.JobID{"qa", "qb", "oa", "ob"} {
		runs := c.runsOf(taskOf(job, 0, 0))
		require.Len(t, runs, 1, "job %s", job)
		require.Equal(t, 1, runs[0].Run, "job %s was not moved", job)
	}
}
