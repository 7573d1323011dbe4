package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
)

// Guards against a second run of the tasks on a worker that two leaders in a row cannot reach while it runs on.
func TestTasksOnSilentWorkerOutlastTwoLeaders(t *testing.T) {
	const taskCount = 2 * workerCount
	type scenario struct {
		name string
		seed uint64 // selects the limits of the VMs, see vmLimits
	}
	for _, s := range []scenario{
		{"the leader serves all workers", 0},
		{"agents serve some workers", 2},
	} {
		t.Run(s.name, func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, s.seed, commons)
				defer c.close()
				time.Sleep(4 * time.Second) // until there is a leader
				job := oleanderline.Job{ID: "1", Queue: testQueue.ID, Payload: "1", Policy: testQueue, Steps: []oleanderline.Step{
					{Count: taskCount, Size: oleanderline.Size{CPU: 1000, Memory: 500}, LongRunning: true},
				}}
				require.True(t, c.submit(job))
				time.Sleep(time.Second)
				require.Equal(t, taskCount, c.runningCount())
				c.silence(c.busiestWorker())
				for range processCount - 1 {
					c.drainLeader()
					time.Sleep(1200 * time.Millisecond) // the next leader takes over within 0.5 s
					require.GreaterOrEqual(t, c.leaderIndex(), 0)
				}
				require.Empty(t, c.checker.Violations())
				time.Sleep(recoveryTime)
				require.Empty(t, c.checker.Violations())
				require.Equal(t, taskCount, c.runningCount())
			})
		})
	}
}

// busiestWorker returns the worker with the most runs.
func (c *testCell) busiestWorker() oleanderline.WorkerID {
	busiest := 0
	for i, worker := range c.workers {
		if worker.RunCount() > c.workers[busiest].RunCount() {
			busiest = i
		}
	}
	return oleanderline.WorkerID(fmt.Sprintf("w%d", busiest))
}

// silence makes all calls to a worker fail, while it runs on.
func (c *testCell) silence(id oleanderline.WorkerID) {
	for i := range processCount {
		c.process(i).paths[id].SetFault(cellfake.FaultRefuse)
	}
}

// drainLeader stops the leader as planned and does not start it again.
func (c *testCell) drainLeader() {
	index := c.leaderIndex()
	require.GreaterOrEqual(c.t, index, 0)
	p := c.process(index)
	p.node.Drain(c.ctx)
	c.setProcess(index, nil)
	c.wg.Go(func() {
		p.node.Stop()
		p.wait()
	})
}
