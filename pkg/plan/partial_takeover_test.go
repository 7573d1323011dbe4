package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a whole gang that a new leader starts again beside the members that run already.
func TestGangWithAMissingMemberIsNotStartedBesideTheOthers(t *testing.T) {
	c := newCell(t, 3)
	c.add("a", oleanderline.Step{Count: 2, Size: testSize, Gang: true, MaxPerWorker: 1})
	c.place()
	first := taskOf("a", 0, 0)
	require.Len(t, c.runsOf(first), 1)
	for _, w := range c.workers {
		for key := range w.running {
			if key.Task != first {
				delete(w.running, key) // the second member's start was not sent before the leader changed
			}
		}
	}
	c.flush()
	c.newTerm(2)
	c.reportAll()
	c.flush()
	c.place()
	require.Len(t, c.runsOf(first), 1)
}

// Guards against a second run of a task that two unreachable workers list, of which only one reports to the next leader.
func TestTaskInTwoWorkerRecordsWaitsForBothWorkers(t *testing.T) {
	for range 20 { // the records are inherited in any order
		c := newCell(t, 1)
		c.workers["w1"] = &fakeWorker{running: map[oleanderline.RunKey]oleanderline.RunStatus{}}
		c.workers["w2"] = &fakeWorker{running: map[oleanderline.RunKey]oleanderline.RunStatus{}}
		c.add("b", oleanderline.Step{Count: 1, Size: testSize}) // keeps the record of w0
		c.place()
		c.add("a", oleanderline.Step{Count: 1, Size: testSize})
		c.advance(rerankInterval)
		c.planner.Place(c.now, c.now, maxStartsPerPass)
		orders := c.planner.Orders()
		require.Len(t, orders, 1)
		c.planner.CallFailed("w0", oleanderline.ErrUncertain)
		for _, id := range []oleanderline.WorkerID{"w1", "w2"} {
			entry := c.entries[0]
			entry.ID, entry.Address = id, string(id)
			c.entries = append(c.entries, entry)
		}
		c.planner.SetWorkers(c.entries, c.now)
		c.serveAll()
		c.report("w1")
		c.report("w2")
		c.flush()
		c.planner.HandleResult(Result{Order: orders[0], Err: oleanderline.ErrUnavailable}, c.now)
		c.place()
		holder := oleanderline.WorkerID("w1")
		if len(c.workers["w2"].running) > 0 {
			holder = "w2"
		}
		require.Len(t, c.workers[holder].running, 1)
		c.planner.CallFailed(holder, oleanderline.ErrUncertain)
		c.flush()
		c.newTerm(2)
		for _, id := range []oleanderline.WorkerID{"w0", "w1", "w2"} {
			if id != holder {
				c.report(id)
			}
		}
		c.flush()
		c.advance(time.Second)
		c.place()
		require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
	}
}
