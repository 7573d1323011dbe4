package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a second run of a task while an unanswered call of its start may still be carried out by the next incarnation of the
// worker, which has seen no order that would refuse it. Once that incarnation has answered a stop, the task starts again.
func TestRepeatedStartIsStoppedOnTheNextIncarnation(t *testing.T) {
	type scenario struct {
		name  string
		steps func(c *testCell, start Order)
	}
	running := func(start Order) oleanderline.WorkerReport {
		return oleanderline.WorkerReport{Life: testIncarnation, Running: []oleanderline.RunStatus{{Key: start.Key}}}
	}
	restarted := oleanderline.WorkerReport{Life: testIncarnation + 1}
	for _, s := range []scenario{
		{"answered before the restart", func(c *testCell, start Order) {
			c.planner.HandleResult(Result{Order: start, Attempts: 2}, c.now)
			c.advance(time.Second)
			c.planner.Report(start.Worker, restarted, c.now, c.now)
		}},
		{"reported before the answer", func(c *testCell, start Order) {
			c.planner.Report(start.Worker, running(start), c.now, c.now)
			c.planner.HandleResult(Result{Order: start, Attempts: 2}, c.now)
			c.advance(time.Second)
			c.planner.Report(start.Worker, restarted, c.now, c.now)
		}},
		{"result after the report of the restart", func(c *testCell, start Order) {
			c.planner.Report(start.Worker, restarted, c.now, c.now)
			c.planner.HandleResult(Result{Order: start, Attempts: 2}, c.now)
			c.advance(time.Second)
			c.planner.Report(start.Worker, restarted, c.now, c.now)
		}},
		{"stopped before the restart", func(c *testCell, start Order) {
			c.planner.HandleResult(Result{Order: start, Attempts: 1, Err: oleanderline.ErrUncertain}, c.now)
			c.planner.HandleResult(Result{Order: c.planner.Orders()[0], Attempts: 1}, c.now)
			c.advance(time.Second)
			c.planner.Report(start.Worker, restarted, c.now, c.now)
		}},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.add("a", oleanderline.Step{Count: 1, Size: testSize})
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			start := c.planner.Orders()[0]
			s.steps(c, start)
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			orders := c.planner.Orders()
			require.NotEmpty(t, orders)
			require.Equal(t, OrderStop, orders[0].Kind)
			require.Equal(t, start.Key, orders[0].Key)
			c.planner.HandleResult(Result{Order: orders[0], Attempts: 1}, c.now)
			c.advance(time.Second)
			c.planner.Report(start.Worker, restarted, c.now, c.now)
			c.advance(rerankInterval)
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			orders = c.planner.Orders()
			require.NotEmpty(t, orders)
			require.Equal(t, OrderStart, orders[0].Kind)
			require.Greater(t, orders[0].Key.Run, start.Key.Run)
		})
	}
}

// Guards against work that waits for a stop after each restart of a worker: a start that was answered at once leaves no call behind.
func TestAnsweredStartIsReleasedOnTheNextIncarnation(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.planner.Place(c.now, c.now, maxStartsPerPass)
	start := c.planner.Orders()[0]
	c.planner.HandleResult(Result{Order: start, Attempts: 1}, c.now)
	c.advance(time.Second)
	c.planner.Report(start.Worker, oleanderline.WorkerReport{Life: testIncarnation + 1}, c.now, c.now)
	c.planner.Place(c.now, c.now, maxStartsPerPass)
	orders := c.planner.Orders()
	require.NotEmpty(t, orders)
	require.Equal(t, OrderStart, orders[0].Kind)
}

// Guards against a worker whose reports are ignored for ever because its time of day was set back before it restarted.
func TestRestartWithAnEarlierTimeOfDayIsRead(t *testing.T) {
	c := newCell(t, 1)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.place()
	key := c.runsOf(taskOf("a", 0, 0))[0]
	c.advance(time.Second)
	c.planner.Report("w0", oleanderline.WorkerReport{
		Life: testIncarnation - 1, Ended: []oleanderline.RunEnd{{Number: 1, Key: key, How: oleanderline.EndDone}},
	}, c.now, c.now)
	require.Equal(t, oleanderline.JobCompleted, c.planner.jobs["a"].state())
}

// Guards against tasks that count as lost because a report of an earlier incarnation was read after one of its successor, on another
// link.
func TestLateReportOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	for _, s := range []struct {
		name    string
		earlier oleanderline.WorkerIncarnation
	}{
		{"time of day went on", testIncarnation - 1},
		{"time of day was set back", testIncarnation + 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 1)
			c.add("a", oleanderline.Step{Count: 1, Size: testSize})
			c.place()
			requested := c.now
			c.advance(time.Second)
			c.report("w0")
			c.planner.Report("w0", oleanderline.WorkerReport{Life: s.earlier}, requested, c.now)
			c.report("w0")
			require.Equal(t, taskRunning, c.planner.task(taskOf("a", 0, 0)).state)
			require.Equal(t, testIncarnation, c.planner.workers["w0"].incarnation)
		})
	}
}

// Guards against a task that waits for a stop, or for ever, although its start was not sent because the worker had restarted.
func TestStartNotSentAfterARestartIsPlacedAgain(t *testing.T) {
	for _, s := range []struct {
		name        string
		resultFirst bool // the result is read before the report of the new incarnation
	}{
		{"result before the report", true},
		{"report before the result", false},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 1)
			c.add("a", oleanderline.Step{Count: 1, Size: testSize})
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			start := c.planner.Orders()[0]
			notSent := Result{Order: start, Err: oleanderline.ErrUnavailable}
			if s.resultFirst {
				c.planner.HandleResult(notSent, c.now)
			}
			c.planner.Report(start.Worker, oleanderline.WorkerReport{Life: testIncarnation + 1}, c.now, c.now)
			if !s.resultFirst {
				c.planner.HandleResult(notSent, c.now)
			}
			require.Empty(t, c.planner.Orders())
			c.flush()
			c.advance(max(failedStartBackoff, rerankInterval))
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			orders := c.planner.Orders()
			require.Len(t, orders, 1)
			require.Equal(t, OrderStart, orders[0].Kind)
			require.Equal(t, testIncarnation+1, orders[0].Life)
		})
	}
}

// Guards against tasks that start on a worker by the labels and the capacity of its former life: it has restarted as another kind, and
// its report is read before its entry in the directory.
func TestNothingStartsByTheEntryOfAFormerIncarnation(t *testing.T) {
	type scenario struct {
		name    string
		entry   oleanderline.WorkerIncarnation // in the directory; 0 if it names none
		reports oleanderline.WorkerIncarnation
		starts  int
	}
	for _, s := range []scenario{
		{"entry of the incarnation that reports", 7, 7, 1},
		{"entry of the former incarnation", 7, 8, 0},
		{"entry of a later incarnation that has not reported", 8, 7, 0},
		{"entry without an incarnation", 0, 8, 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 1)
			c.entries[0].Incarnation, c.entries[0].Labels = s.entry, []string{"a"}
			c.planner.SetWorkers(c.entries, c.now)
			c.planner.Report("w0", oleanderline.WorkerReport{Life: s.reports}, c.now, c.now)
			c.flush()
			c.add("a", oleanderline.Step{Count: 1, Size: testSize, Label: "a"})
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			require.Len(t, c.planner.Orders(), s.starts)
		})
	}
}
