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

// Guards against a second run of a task whose first run has ended but whose end was not processed yet, because it is behind the end of
// a run of an unread job or beyond the ends that fit into one report.
func TestRunIsNotLostWhileItsEndIsDelayed(t *testing.T) {
	key := oleanderline.RunKey{Task: taskOf("a", 0, 0), Run: 1}
	unread := oleanderline.RunEnd{Number: 1, Key: oleanderline.RunKey{Task: taskOf("unread", 0, 0), Run: 1}, How: oleanderline.EndDone}
	full := make([]oleanderline.RunEnd, maxEndsPerReport)
	for i := range full {
		full[i] = oleanderline.RunEnd{Number: int64(i + 1), Key: oleanderline.RunKey{Task: taskOf("a", 0, 1), Run: 1}, How: oleanderline.EndStopped}
	}
	for _, s := range []struct {
		name  string
		first []oleanderline.RunEnd
		last  int64 // number of the end of the run
	}{
		{"behind an unread job", []oleanderline.RunEnd{unread, {Number: 2, Key: key, How: oleanderline.EndDone}}, 2},
		{"beyond a full report", full, maxEndsPerReport + 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.add("a", oleanderline.Step{Count: 1, Size: testSize})
			c.place()
			holder := c.planner.task(key.Task).worker.entry.ID
			c.advance(time.Millisecond)
			c.planner.Report(holder, oleanderline.WorkerReport{Life: testIncarnation, Ended: s.first}, c.now, c.now)
			c.place()
			require.Equal(t, key, c.planner.task(key.Task).runKey(), "the run may have ended as done")
			c.advance(unreadJobTimeout)
			last := []oleanderline.RunEnd{{Number: s.last, Key: key, How: oleanderline.EndDone}}
			c.planner.Report(holder, oleanderline.WorkerReport{Life: testIncarnation, Ended: append(s.first[:1:1], last...)}, c.now, c.now)
			require.Equal(t, oleanderline.JobCompleted, c.planner.jobs["a"].state())
		})
	}
}

// Guards against a second run of a task after a change of leader, whose end is not in the part of the first report that can be processed.
func TestFirstReportWithoutAllEndsDoesNotCount(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.place()
	task := c.planner.task(taskOf("a", 0, 0))
	holder, key := task.worker.entry.ID, task.runKey()
	c.endTask(key.Task, oleanderline.EndDone)
	end := c.workers[holder].ended[0]
	unread := oleanderline.RunEnd{Number: 1, Key: oleanderline.RunKey{Task: taskOf("unread", 0, 0), Run: 1}, How: oleanderline.EndDone}
	end.Number = 2
	c.workers[holder].ended = []oleanderline.RunEnd{unread, end}
	c.newTerm(2)
	c.reportAll()
	c.flush()
	c.advance(testSettings().Settle)
	c.place()
	require.Empty(t, c.runsOf(key.Task), "the run has ended as done")
	c.advance(unreadJobTimeout)
	c.reportAll()
	require.Equal(t, oleanderline.JobCompleted, c.planner.jobs["a"].state())
}
