package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against a second run of a task after two changes of leader in a row: a leader that has no report of a worker must not
// store a record that lists the tasks there.
func TestTasksOnSilentWorkerOutlastTwoLeaders(t *testing.T) {
	type scenario struct {
		name  string
		first func(c *testCell) // what the first leader observes after it has started the tasks
	}
	for _, s := range []scenario{
		{"recorded as in use by the first leader", func(*testCell) {}},
		{"recorded as unreachable by the first leader", func(c *testCell) {
			c.planner.CallFailed("w0", oleanderline.ErrUncertain)
		}},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 2)
			c.add("a", oleanderline.Step{Count: 4, Size: testSize})
			c.place()
			require.Len(t, c.workers["w0"].running, 2)
			s.first(c)
			c.flush()
			for claims := 2; claims <= 4; claims++ {
				c.newTerm(claims)
				c.flush()
				c.planner.CallFailed("w0", oleanderline.ErrUncertain)
				c.report("w1")
				c.flush()
				c.advance(time.Second)
				c.place()
				require.Len(t, c.workers["w1"].running, 2, "leader %d starts tasks that run on w0", claims)
			}
			c.workers["w0"].running = map[oleanderline.RunKey]oleanderline.RunStatus{}
			c.advance(testSettings().Horizon)
			c.place()
			require.Len(t, c.workers["w1"].running, 4, "the tasks start again once their runs have expired")
		})
	}
}

// Guards against a second run of a task after an upgrade: an earlier version stored an empty list for a worker that had not reported.
func TestEmptyListOfTasksIsNotTrusted(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 4, Size: testSize})
	c.place()
	c.flush()
	rec, err := record.ForWorker(record.Worker{ID: "w0", Address: "w0", Unreachable: true})
	require.NoError(t, err)
	c.stored = append(c.stored, rec)
	c.newTerm(3)
	c.report("w1")
	c.flush()
	c.advance(time.Second)
	c.place()
	require.Len(t, c.workers["w1"].running, 2)
}

// Guards against a second run of a task whose job the leader had not read when the worker that runs it became unreachable: the
// record of that worker must not say that it is empty.
func TestRunOfUnreadJobOutlastsItsLeader(t *testing.T) {
	c := newCell(t, 2)
	c.add("a", oleanderline.Step{Count: 1, Size: testSize})
	c.place()
	run := c.runsOf(taskOf("a", 0, 0))[0]
	holder, other := oleanderline.WorkerID("w0"), oleanderline.WorkerID("w1")
	if _, ok := c.workers[other].running[run]; ok {
		holder, other = other, holder
	}
	spec := c.planner.jobs["a"].spec
	delete(c.planner.jobs, "a")
	c.newTerm(2)
	c.reportAll()
	c.flush()
	c.planner.CallFailed(holder, oleanderline.ErrUncertain)
	c.flush()
	c.newTerm(3)
	c.planner.AddJob(spec, record.Progress{}, c.now, 0)
	c.report(other)
	c.flush()
	c.advance(time.Second)
	c.place()
	require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
}
