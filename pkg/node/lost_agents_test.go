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

const (
	// lostAgentSeeds is the number of seeds of TestLostAgents: half of them with agents that serve one worker each, half with two.
	lostAgentSeeds = 12
	agentLosses    = 6 // in a row
	// serveTime is how long after the last loss all workers are served again: until the agent is invited again, and two answers.
	serveTime = 8 * time.Second
	// startTime is how long a task may wait until other tasks have left it room.
	startTime = 4 * time.Second
)

// Guards against workers that stay unserved, and jobs that never end or tasks that run twice, after a leader has lost its agents
// one after the other and then all of them.
func TestLostAgents(t *testing.T) {
	for i := range lostAgentSeeds {
		seed := uint64(3*(i/2) + i%2 + 1) // vmLimits 1 and 2
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) { runAgentLosses(newTestCell(t, seed, commons)) })
		})
	}
}

func runAgentLosses(c *testCell) {
	defer c.close()
	time.Sleep(4 * time.Second)
	c.wg.Go(c.runBatchCallers)
	for loss := range agentLosses {
		c.loseAgent(loss%2, loss%3 == 0)
		time.Sleep(500*time.Millisecond + time.Duration(c.faultRand.IntN(3000))*time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	c.loseAgent(0, false)
	c.loseAgent(1, false)
	time.Sleep(serveTime)
	c.requireAllServed()
	time.Sleep(recoveryTime)
	c.requireFinished(c.process(0).node)
}

// runBatchCallers submits jobs without long-running tasks.
func (c *testCell) runBatchCallers() {
	for i := range jobsPerRun {
		job := cellfake.RandomJob(c.callerRand, testQueue, fmt.Sprintf("%016x", i+1))
		for s := range job.Steps {
			job.Steps[s].LongRunning = false
		}
		c.submit(job)
		time.Sleep(time.Duration(c.callerRand.IntN(1000)) * time.Millisecond)
	}
}

// loseAgent stops the first or second process that does not lead, if it runs, and restarts it 1 to 3 s later. A planned stop announces
// itself first.
func (c *testCell) loseAgent(number int, planned bool) {
	leader := c.leaderIndex()
	for i := range processCount {
		p := c.process(i)
		if i == leader || p == nil {
			continue
		}
		if number--; number >= 0 {
			continue
		}
		if planned {
			p.node.Drain(c.ctx)
		}
		c.killProcess(i, time.Second+time.Duration(c.faultRand.IntN(2000))*time.Millisecond)
		return
	}
}

// startOnAll submits long-running tasks of which each worker has room for one, as many as there are workers.
func (c *testCell) startOnAll() []oleanderline.TaskKey {
	leader := c.process(c.leaderIndex()).node
	var tasks []oleanderline.TaskKey
	for i := range workerCount {
		step := oleanderline.Step{Count: 1, Size: oleanderline.Size{CPU: 10, Memory: 2500}, LongRunning: true}
		tasks = append(tasks, oleanderline.TaskKey{Job: c.submitTo(leader, 1000+i, step)})
	}
	return tasks
}

// requireAllServed requires that a task starts on every worker.
func (c *testCell) requireAllServed() {
	tasks := c.startOnAll()
	time.Sleep(startTime)
	for _, task := range tasks {
		require.Equal(c.t, 1, c.checker.RunCount(task), task.String())
	}
}

// Guards against runs that are lost because an agent that has been restarted at once is invited again only after the leases on its
// workers have expired.
func TestQuickRestartOfAnAgentLosesNoRun(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, shortageSeed, commons)
		defer c.close()
		time.Sleep(8 * time.Second) // until all workers are served, some of them by the leader beyond its capacity
		tasks := c.startOnAll()
		time.Sleep(time.Second)
		c.killProcess((c.leaderIndex()+1)%processCount, 700*time.Millisecond)
		time.Sleep(10 * time.Second)
		for _, task := range tasks {
			require.Equal(t, 1, c.checker.RunCount(task), task.String())
		}
		require.Zero(t, c.lostRuns())
	})
}

// lostRuns returns the number of runs that have ended because their lease has expired, reported by their worker or not.
func (c *testCell) lostRuns() uint64 {
	set := c.commons[c.leaderIndex()].Metrics
	return set.GetOrCreateCounter("oleander_cell_runs_lost_total").Get() + set.GetOrCreateCounter("oleander_cell_runs_ended_total").Get()
}
