package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against starts on a worker that no process serves, or whose process has not reached it yet: they fail at once, or wait
// until they are too old.
func TestTasksStartOnlyOnServedWorkers(t *testing.T) {
	c := newCell(t, 1)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.planner.SetServed("w0", false)
	c.place()
	require.Empty(t, c.runsOf(taskOf("a", 0, 0)), "no process serves the worker")
	c.report("w0") // over the link that is closed
	c.place()
	require.Empty(t, c.runsOf(taskOf("a", 0, 0)), "the report came from a process that serves the worker no longer")
	c.planner.SetServed("w0", true)
	c.place()
	require.Empty(t, c.runsOf(taskOf("a", 0, 0)), "its process has not passed on a report yet")
	c.report("w0")
	c.place()
	require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
}

// Guards against a move off a worker that no process serves: its stop fails, and the task counts as stopping from then on.
func TestNothingMovesFromAnUnservedWorker(t *testing.T) {
	type scenario struct {
		name   string
		served bool
		orders int
	}
	for _, s := range []scenario{{"served", true, 1}, {"not served", false, 0}} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.add("a", oleanderline.Step{Count: 1, Size: testSize, LongRunning: true})
			c.place()
			for i, entry := range c.entries {
				if len(c.workers[entry.ID].running) > 0 {
					c.entries[i].Draining = true
					c.planner.SetServed(entry.ID, s.served)
					if s.served {
						c.report(entry.ID)
					}
				}
			}
			c.planner.SetWorkers(c.entries, c.now)
			c.advance(checkInterval)
			c.planner.Place(c.now, c.now, maxStartsPerPass)
			require.Len(t, c.planner.Orders(), s.orders)
		})
	}
}

// Guards against a second run of a task that an earlier leader may still extend on a worker which has not reported in this term.
// The expiry of the leases that this term may have granted there says nothing about those of earlier leaders.
func TestExpiredLeaseOfThisTermSaysNothingAboutEarlierTerms(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize, MaxPerWorker: 1})
	c.place()
	c.flush()
	key := taskOf("a", 0, 0)
	require.Len(t, c.runsOf(key), 1)
	silent, other := oleanderline.WorkerID("w0"), oleanderline.WorkerID("w1")
	if len(c.workers[other].running) > 0 {
		silent, other = other, silent
	}
	c.newTerm(2)
	c.report(other)
	c.flush()
	c.advance(testSettings().Lease + time.Second)
	c.planner.CallFailed(silent, oleanderline.ErrUncertain)
	c.planner.LeaseExpired(silent, Expiry{End: c.now}, c.now)
	c.place()
	require.Len(t, c.runsOf(key), 1, "no majority has reported, and the horizon has not passed")
	c.advance(testSettings().Horizon)
	c.workers[silent].running = map[oleanderline.RunKey]oleanderline.RunStatus{}
	c.place()
	require.Len(t, c.runsOf(key), 1)
	require.Len(t, c.workers[other].running, 1)
}

// Guards against the release of running tasks by an expiry that was reported before the worker answered over its next link.
func TestLateExpiryOfAnEarlierLinkReleasesNothing(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.place()
	run := c.runsOf(taskOf("a", 0, 0))
	c.reportAll()
	c.planner.LeaseExpired("w0", Expiry{End: c.now}, c.now)
	c.planner.LeaseExpired("w1", Expiry{End: c.now}, c.now)
	c.place()
	require.Equal(t, run, c.runsOf(taskOf("a", 0, 0)))
}
