package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against long-running tasks that wait for the longest lease of a lost worker because another start there had no answer, and
// against a second run of the task of that start, which may run that long.
func TestAnsweredLeasesExpireFirst(t *testing.T) {
	type scenario struct {
		name     string
		listed   bool // a later report lists the run whose start had no answer
		released bool // with the answered ones
	}
	for _, s := range []scenario{
		{"start without an answer", false, false},
		{"listed in a report since", true, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 1)
			c.add("a", oleanderline.Step{Count: 1, Size: testSize, LongRunning: true})
			c.place()
			c.advance(time.Second)
			c.reportAll()
			c.add("b", oleanderline.Step{Count: 1, Size: testSize})
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			orders := c.planner.Orders()
			require.Len(t, orders, 1)
			unanswered := Result{Order: orders[0], Attempts: 3, Err: oleanderline.ErrUncertain}
			if s.listed {
				unanswered.Err = nil // the last attempt was answered
				c.workers["w0"].running[orders[0].Key] = oleanderline.RunStatus{Key: orders[0].Key}
			}
			c.planner.HandleResult(unanswered, c.now)
			c.planner.Orders()
			if s.listed {
				c.advance(time.Second)
				c.report("w0")
			}
			c.planner.CallFailed("w0", oleanderline.ErrUncertain)
			c.advance(5 * time.Second)
			c.planner.LeaseExpired("w0", Expiry{End: c.now, AnsweredOnly: true}, c.now)
			require.Nil(t, c.planner.task(taskOf("a", 0, 0)).worker)
			require.Equal(t, s.released, c.planner.task(taskOf("b", 0, 0)).worker == nil)
			c.planner.LeaseExpired("w0", Expiry{End: c.now}, c.now)
			require.Nil(t, c.planner.task(taskOf("b", 0, 0)).worker)
		})
	}
}

// Guards against tasks that wait for the leases of a worker although another incarnation has answered in its place, and against runs
// that are given up because a call went to an address that is not that of the worker.
func TestReplacedWorkerRunsNothing(t *testing.T) {
	type scenario struct {
		name     string
		steps    func(c *testCell)
		released bool
	}
	for _, s := range []scenario{
		{"replaced", func(*testCell) {}, true},
		{"a later call was answered", func(c *testCell) {
			c.advance(time.Second)
			c.report("w0")
			c.planner.CallFailed("w0", oleanderline.ErrUncertain)
			c.advance(-time.Second)
		}, false},
		{"no report since the address has changed", func(c *testCell) { c.planner.SetServed("w0", true) }, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 1)
			c.add("a", oleanderline.Step{Count: 2, Size: testSize, LongRunning: true})
			c.place()
			c.reportAll()
			c.planner.CallFailed("w0", &oleanderline.RefusedError{Reason: oleanderline.RefusedIncarnation})
			s.steps(c)
			c.planner.Replaced("w0", c.now, c.now)
			require.Equal(t, s.released, c.planner.task(taskOf("a", 0, 0)).worker == nil)
			require.Equal(t, s.released, c.planner.task(taskOf("a", 0, 1)).worker == nil)
		})
	}
}
