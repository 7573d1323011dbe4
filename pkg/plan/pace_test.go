package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// newCellWithSlowWorker lets the tasks of a job run on all workers of a cell, at a tenth of the normal speed on w0, and ends them.
func newCellWithSlowWorker(t *testing.T, settings Settings) *testCell {
	t.Helper()
	c := newCell(t, 2)
	c.planner.settings = settings
	c.add("first", oleanderline.Step{Count: 8, Size: testSize, Estimate: time.Second})
	c.place()
	for elapsed := 1; elapsed <= 4; elapsed++ {
		c.advance(250 * time.Millisecond)
		for id, w := range c.workers {
			for key, status := range w.running {
				status.Percent = 20 * elapsed
				if id == "w0" {
					status.Percent = 2 * elapsed
				}
				w.running[key] = status
			}
		}
		c.reportAll()
	}
	for index := range 8 {
		c.endTask(taskOf("first", 0, index), oleanderline.EndStopped)
	}
	c.planner.Cancel("first")
	c.reportAll()
	c.planner.Orders()
	return c
}

// Guards against urgent tasks on a slow worker, against a slow worker that gets no tasks at all and so is never seen to recover, and against a
// worker that is avoided for ever.
func TestUrgentTasksAvoidASlowWorker(t *testing.T) {
	type scenario struct {
		name     string
		settings Settings
		age      time.Duration // of the job
		later    time.Duration // after the last observation
		tasks    int
		want     int // tasks on the slow worker
	}
	for _, s := range []scenario{
		{"little slack", testSettings(), 1500 * time.Millisecond, 0, 4, 0},
		{"little slack, no other room", testSettings(), 1500 * time.Millisecond, 0, 8, 4},
		{"recovered", testSettings(), 1500 * time.Millisecond, time.Minute, 4, 2},
		{"switched off", Settings{IgnoreSpeed: true}, 1500 * time.Millisecond, 0, 4, 2},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCellWithSlowWorker(t, s.settings)
			c.advance(s.later)
			c.reportAll()
			job := oleanderline.Job{ID: "next", Queue: "q", Steps: []oleanderline.Step{{Count: s.tasks, Size: testSize, Estimate: time.Second}}}
			c.planner.AddJob(job, record.Progress{}, c.now, s.age)
			c.place()
			require.Len(t, c.workers["w0"].running, s.want)
		})
	}
	c := newCellWithSlowWorker(t, testSettings())
	relaxed := oleanderline.Queue{ID: "relaxed", Pool: "pool", MaxAttempts: 2, Stretch: 100, Latency: time.Second}
	c.planner.AddJob(oleanderline.Job{
		ID: "next", Queue: "relaxed", Policy: relaxed, Steps: []oleanderline.Step{{Count: 4, Size: testSize, Estimate: time.Second}},
	}, record.Progress{}, c.now, 0)
	c.place()
	require.Len(t, c.workers["w0"].running, 2, "a job with much slack")
}
