package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a task that starts again while its run is still being stopped, on a worker that no longer lists the run, and against a
// task that waits although its run is certainly over.
func TestStoppedRunIsReleasedOnceItIsOver(t *testing.T) {
	type scenario struct {
		name   string
		wait   time.Duration // from the answer to the stop until the report is requested
		report oleanderline.WorkerReport
		over   bool
	}
	key := oleanderline.RunKey{Task: taskOf("a", 0, 0), Run: 1}
	ended := []oleanderline.RunEnd{{Number: 1, Key: key, How: oleanderline.EndStopped}}
	for _, s := range []scenario{
		{"missing within the grace time", testSettings().StopGrace, oleanderline.WorkerReport{Life: testIncarnation}, false},
		{"end listed", time.Millisecond, oleanderline.WorkerReport{Life: testIncarnation, Ended: ended}, true},
		{"missing after the grace time", testSettings().StopGrace + time.Millisecond, oleanderline.WorkerReport{Life: testIncarnation}, true},
		{"worker restarted", time.Millisecond, oleanderline.WorkerReport{Life: testIncarnation + 1}, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 1)
			c.add("a", oleanderline.Step{Count: 1, Size: testSize})
			c.place()
			task := c.planner.task(key.Task)
			c.planner.stop(task, "test")
			c.planner.HandleResult(Result{Order: c.planner.Orders()[0], Attempts: 1}, c.now)
			c.advance(s.wait)
			c.planner.Report("w0", s.report, c.now, c.now)
			require.Equal(t, s.over, task.worker == nil)
		})
	}
}
