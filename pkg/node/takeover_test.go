package node

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// leaderIndex returns the index of the leader process, or -1.
func (c *testCell) leaderIndex() int {
	for i := range c.commons {
		if p := c.process(i); p != nil && p.node.isLeader() == 1 {
			return i
		}
	}
	return -1
}

// Guards against a restarted process that waits for the leader timeout although the leader was its own predecessor on the same
// VM, as after a power loss of all VMs.
func TestRestartedLeaderClaimsAtOnce(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 1, commons)
		defer c.close()
		time.Sleep(4 * time.Second)
		first := c.leaderIndex()
		require.GreaterOrEqual(t, first, 0)
		for i := range processCount {
			c.killProcess(i, time.Second)
		}
		time.Sleep(time.Second + maxClaimJitter + 500*time.Millisecond)
		require.Equal(t, first, c.leaderIndex())
	})
}

// Guards against tasks of a cancelled job that continue or start because the leader, which stored the cancellation itself,
// cannot read it back while reads of the log fail.
func TestLeaderActsOnItsOwnCancellation(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 1, commons)
		defer c.close()
		time.Sleep(4 * time.Second)
		job := oleanderline.Job{ID: "1", Queue: testQueue.ID, Policy: testQueue, Steps: []oleanderline.Step{
			{Count: 2, Size: oleanderline.Size{CPU: 1000, Memory: 500}, LongRunning: true},
		}}
		c.checker.Submitted(job)
		node := c.process(c.leaderIndex()).node
		require.NoError(t, node.Submit(c.ctx, job))
		c.checker.Accepted(job.ID)
		time.Sleep(time.Second)
		require.Equal(t, 2, c.runningCount())
		c.failRecordReads.Store(true)
		require.NoError(t, node.Cancel(c.ctx, job.Queue, job.ID))
		c.checker.Cancelled(job.ID)
		time.Sleep(time.Second)
		require.Zero(t, c.runningCount())
	})
}

// Guards against a process that becomes the leader after it was told to stop, because its claim was under way, and that leads on
// until it is killed.
func TestStopDuringAClaimPassesLeadershipOn(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		const none = -1
		var stopped atomic.Int64
		stopped.Store(none)
		c := newTestCell(t, 0, commons, func(c *testCell) {
			c.onClaim = func(index int) {
				if stopped.CompareAndSwap(none, int64(index)) {
					c.process(index).node.Drain(c.ctx)
				}
			}
		})
		defer c.close()
		time.Sleep(4 * time.Second)
		require.NotEqual(t, int64(none), stopped.Load())
		require.NotContains(t, []int{none, int(stopped.Load())}, c.leaderIndex())
	})
}

// runningCount returns the number of runs on all workers.
func (c *testCell) runningCount() int {
	count := 0
	for _, worker := range c.workers {
		count += worker.RunCount()
	}
	return count
}
