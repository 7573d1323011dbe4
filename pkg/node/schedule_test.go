package node

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
)

const (
	// defaultSchedules is the number of seeds per test run. OLEANDER_SCHEDULES sets another number, OLEANDER_SEED a single seed.
	defaultSchedules = 60
	jobsPerRun       = 16
	faultsPerRun     = 10
	recoveryTime     = 40 * time.Second
)

// Guards against violated invariants (a task that runs twice, starts too early, too often or without being ordered, a lost
// job) under random crashes, network partitions, log outages, and calls that are lost or executed late, on any process.
func TestSchedules(t *testing.T) {
	first, count := uint64(1), defaultSchedules
	if seed := os.Getenv("OLEANDER_SEED"); seed != "" {
		number, err := strconv.ParseUint(seed, 10, 64)
		require.NoError(t, err)
		first, count = number, 1
	} else if number, err := strconv.Atoi(os.Getenv("OLEANDER_SCHEDULES")); err == nil {
		count = number
	}
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) { runSchedule(t, newTestCell(t, seed, commons)) })
		})
	}
}

func runSchedule(t *testing.T, c *testCell) {
	defer c.close()
	time.Sleep(4 * time.Second) // until there is a leader
	c.wg.Go(c.runCallers)
	evacuating, stopEvacuating := context.WithCancel(c.ctx)
	c.wg.Go(func() { c.runEvacuations(evacuating) })
	for range faultsPerRun {
		time.Sleep(time.Duration(c.faultRand.IntN(3000)) * time.Millisecond)
		c.injectFault()
	}
	time.Sleep(12 * time.Second) // until the longest fault has ended
	stopEvacuating()
	c.clearFaults()
	time.Sleep(recoveryTime)
	c.checker.CheckFinal(func(id oleanderline.JobID) (oleanderline.JobState, error) {
		return c.process(0).node.State(c.ctx, "q", id)
	})
	require.Empty(t, c.checker.Violations())
}

// runCallers submits jobs while faults occur, and cancels some of them.
func (c *testCell) runCallers() {
	for i := range c.jobs {
		job := cellfake.RandomJob(c.callerRand, testQueue, fmt.Sprintf("%016x", i+1))
		if c.submit(job) && c.callerRand.IntN(6) == 0 {
			time.Sleep(500 * time.Millisecond)
			c.cancelJob(job.ID)
		}
		time.Sleep(time.Duration(c.callerRand.IntN(1000)) * time.Millisecond)
	}
}

// injectFault starts one random fault, which ends after a random time.
func (c *testCell) injectFault() {
	index := c.faultRand.IntN(processCount)
	duration := time.Second + time.Duration(c.faultRand.IntN(8000))*time.Millisecond
	fault := []cellfake.Fault{cellfake.FaultRefuse, cellfake.FaultBlackhole, cellfake.FaultAnswerLost, cellfake.FaultLate}[c.faultRand.IntN(4)]
	switch c.faultRand.IntN(8) {
	case 0:
		c.killProcess(index, duration)
	case 1:
		c.setStoreFault(index, fault, duration)
	case 2:
		for i := range processCount {
			c.setStoreFault(i, fault, duration)
		}
		c.checker.NoneInTouch(time.Now().Add(duration)) // no process can learn what operators request
	case 3:
		c.setWorkerFaults(index, fault, 1+c.faultRand.IntN(workerCount), duration)
	case 4:
		c.crashWorker(c.faultRand.IntN(workerCount), duration)
	case 5:
		c.killLeader(duration)
	case 6:
		c.setWorkerFaults(index, cellfake.FaultBlackhole, workerCount, duration)
	case 7:
		c.setPeerFault(index, fault, duration)
	}
}

// killProcess stops a process and restarts it after duration.
func (c *testCell) killProcess(index int, duration time.Duration) {
	p := c.process(index)
	if p == nil {
		return
	}
	c.setProcess(index, nil)
	c.wg.Go(func() {
		p.node.Stop()
		p.wait()
		time.Sleep(duration)
	})
	time.AfterFunc(duration, func() { c.restart(index) })
}

func (c *testCell) killLeader(duration time.Duration) {
	for i := range c.commons {
		if p := c.process(i); p != nil && p.node.session.Load() != nil {
			c.killProcess(i, duration)
			return
		}
	}
}

func (c *testCell) setStoreFault(index int, fault cellfake.Fault, duration time.Duration) {
	p := c.process(index)
	if p == nil {
		return
	}
	p.store.SetFault(fault)
	time.AfterFunc(duration, func() { p.store.SetFault(cellfake.FaultNone) })
}

func (c *testCell) setPeerFault(index int, fault cellfake.Fault, duration time.Duration) {
	p := c.process(index)
	if p == nil {
		return
	}
	p.peers.SetFault(fault)
	time.AfterFunc(duration, func() { p.peers.SetFault(cellfake.FaultNone) })
}

func (c *testCell) setWorkerFaults(index int, fault cellfake.Fault, count int, duration time.Duration) {
	p := c.process(index)
	if p == nil {
		return
	}
	for _, path := range p.paths {
		if count == 0 {
			return
		}
		count--
		path.SetFault(fault)
		time.AfterFunc(duration, func() { path.SetFault(cellfake.FaultNone) })
	}
}

func (c *testCell) crashWorker(index int, duration time.Duration) {
	worker, id := c.workers[index], oleanderline.WorkerID(fmt.Sprintf("w%d", index))
	worker.Crash()
	time.AfterFunc(duration/2, func() { c.unlistWorker(id) })
	time.AfterFunc(duration, func() {
		worker.Restart()
		c.listWorker(id)
	})
}
