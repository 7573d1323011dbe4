package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// shortageSeed makes a cell in which the leader serves two workers, four at most, and each agent one.
const shortageSeed = 1

// agentOutage is how long killed agents are down, which is longer than any of the checks.
const agentOutage = time.Minute

// fullWorker is the size of a task that takes a whole worker.
var fullWorker = oleanderline.Size{CPU: 4000, Memory: 4000}

// killAgents stops all processes but the leader, and returns the leader.
func (c *testCell) killAgents() *Node {
	leader := c.leaderIndex()
	require.GreaterOrEqual(c.t, leader, 0)
	for i := range processCount {
		if i != leader {
			c.killProcess(i, agentOutage)
		}
	}
	return c.process(leader).node
}

// closeAfterOutage ends the cell once the killed agents have been restarted.
func (c *testCell) closeAfterOutage() {
	time.Sleep(agentOutage)
	c.close()
}

// submitTo submits a job of one step to a node and returns its id.
func (c *testCell) submitTo(n *Node, number int, step oleanderline.Step) oleanderline.JobID {
	job := oleanderline.Job{
		ID: oleanderline.JobID(fmt.Sprintf("%016x", number+1)), Queue: testQueue.ID, Policy: testQueue, Payload: fmt.Sprint(number),
		Steps: []oleanderline.Step{step},
	}
	c.checker.Submitted(job)
	require.NoError(c.t, n.Submit(c.ctx, job))
	c.checker.Accepted(job.ID)
	return job.ID
}

// requireFinished requires the final states of all jobs that were submitted.
func (c *testCell) requireFinished(n *Node) {
	c.checker.CheckFinal(func(id oleanderline.JobID) (oleanderline.JobState, error) { return n.State(c.ctx, testQueue.ID, id) })
	require.Empty(c.t, c.checker.Violations())
}

// failedOrders returns the number of orders of the leader that were not executed or not answered.
func (c *testCell) failedOrders() uint64 {
	return c.commons[c.leaderIndex()].Metrics.GetOrCreateCounter("oleander_cell_orders_unanswered_total").Get()
}

// Guards against tasks that are placed over and over on a worker that no process serves, where every start fails at once, so that
// the worker looks empty and the jobs never end.
func TestNothingStartsOnAnUnservedWorker(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, shortageSeed, commons)
		defer c.closeAfterOutage()
		time.Sleep(4 * time.Second)
		leader := c.killAgents()
		time.Sleep(10 * time.Second) // until the leader serves as many workers as it can, and two are left
		failed := c.failedOrders()
		for i := range 8 {
			c.submitTo(leader, i, oleanderline.Step{Count: 4, Size: oleanderline.Size{CPU: 1000, Memory: 500}})
		}
		time.Sleep(15 * time.Second)
		require.Equal(t, failed, c.failedOrders())
		c.requireFinished(leader)
	})
}

// Guards against tasks that never end because no process serves their worker any more: their leases expire there unnoticed.
func TestTasksLeaveAnUnservedWorker(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, shortageSeed, commons)
		defer c.closeAfterOutage()
		time.Sleep(4 * time.Second)
		leader := c.process(c.leaderIndex()).node
		for i := range workerCount {
			c.submitTo(leader, i, oleanderline.Step{Count: 1, Size: fullWorker})
		}
		for range 20 {
			if c.runningCount() < workerCount {
				time.Sleep(10 * time.Millisecond)
			}
		}
		require.Equal(t, workerCount, c.runningCount())
		c.killAgents()
		time.Sleep(15 * time.Second)
		c.requireFinished(leader)
	})
}
